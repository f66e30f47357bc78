package membudget

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// client is an account and whether it was interrupted.
type client struct {
	*Account
	isInterrupted bool
}

func newClient(b *Budget) *client {
	c := new(client)
	c.Account = b.NewAccount(func() { c.isInterrupted = true })
	c.Begin()
	return c
}

// leaveWhenEvicted releases the bytes of an evicted client, as its handler does.
func (c *client) leaveWhenEvicted() {
	if c.isInterrupted {
		c.Clear()
	}
}

const (
	kib = 1 << 10
	mib = 1 << 20
)

// Guards against ordinary callers that are refused while others hold all memory: a request of at most FreeBytes is
// always accepted.
func TestSmallRequestsAreNeverRefused(t *testing.T) {
	b := New(0)
	for range 100 {
		c := newClient(b)
		qt.Assert(t, c.Grow(FreeBytes), qt.IsNil)
		qt.Assert(t, c.Grow(1), qt.Equals, ErrExhausted)
	}
	qt.Check(t, b.Stats(), qt.Equals, Stats{Refusals: 100})
}

// Guards against large requests that do not finish and keep smaller ones out.
func TestLargestRequestYieldsToSmallerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(mib)
		large, larger := newClient(b), newClient(b)
		qt.Assert(t, large.Grow(FreeBytes+400*kib), qt.IsNil)
		qt.Assert(t, larger.Grow(FreeBytes+600*kib), qt.IsNil)
		small := newClient(b)
		result := make(chan error, 1)
		go func() { result <- small.Grow(FreeBytes + 100*kib) }()
		synctest.Wait()
		qt.Assert(t, larger.isInterrupted, qt.IsTrue)
		qt.Assert(t, large.isInterrupted, qt.IsFalse)
		qt.Assert(t, len(result), qt.Equals, 0) // it waits until the memory is free
		larger.Clear()
		qt.Assert(t, <-result, qt.IsNil)
		qt.Check(t, larger.Grow(1), qt.Equals, ErrEvicted)
		qt.Check(t, b.Stats(), qt.Equals, Stats{Capacity: mib, Charged: 500 * kib, Evictions: 1})
	})
}

// Guards against a request that is dropped in favour of a larger one, and against one that waits although nothing
// will be released.
func TestLargestRequestIsRefusedItself(t *testing.T) {
	b := New(mib)
	first, second := newClient(b), newClient(b)
	qt.Assert(t, first.Grow(FreeBytes+mib/2), qt.IsNil)
	qt.Assert(t, second.Grow(FreeBytes+mib/2), qt.IsNil)
	qt.Check(t, second.Grow(1), qt.Equals, ErrExhausted)
	qt.Check(t, first.isInterrupted, qt.IsFalse)
	qt.Check(t, second.held, qt.Equals, int64(FreeBytes+mib/2))
}

// Guards against clients that stop just before the end and keep out a request that is as large as theirs.
func TestSlowRequestYieldsToLargerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(mib)
		slow := newClient(b)
		qt.Assert(t, slow.Grow(FreeBytes+600*kib), qt.IsNil)
		newcomer := newClient(b)
		qt.Assert(t, newcomer.Grow(FreeBytes+900*kib), qt.Equals, ErrExhausted) // not slow yet
		time.Sleep(2 * time.Second)
		newcomer.Begin()
		go func() {
			synctest.Wait()
			slow.leaveWhenEvicted()
		}()
		qt.Check(t, newcomer.Grow(FreeBytes+900*kib), qt.IsNil)
		qt.Check(t, slow.isInterrupted, qt.IsTrue)
	})
}

// Guards against a job that was accepted and is dropped while it waits for its answer.
func TestCompleteRequestsAndJobsAreNotEvicted(t *testing.T) {
	b := New(mib)
	complete, job := newClient(b), b.NewJobAccount()
	qt.Assert(t, complete.Grow(FreeBytes+mib/2), qt.IsNil)
	qt.Assert(t, complete.Complete(), qt.IsNil)
	qt.Assert(t, job.Grow(mib/2), qt.IsNil)
	qt.Check(t, newClient(b).Grow(FreeBytes+1), qt.Equals, ErrExhausted)
	qt.Check(t, complete.isInterrupted, qt.IsFalse)
	job.Clear()
	qt.Check(t, newClient(b).Grow(FreeBytes+mib/2), qt.IsNil)
}

// Guards against a request that waits forever for one that has been completed instead of evicted.
func TestWaitEndsWhenEvictedRequestCompletes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(mib)
		large, small := newClient(b), newClient(b)
		qt.Assert(t, large.Grow(FreeBytes+mib), qt.IsNil)
		result := make(chan error, 1)
		go func() { result <- small.Grow(FreeBytes + kib) }()
		synctest.Wait()
		qt.Assert(t, large.Complete(), qt.Equals, ErrEvicted) // its handler refuses it
		large.Clear()
		qt.Check(t, <-result, qt.IsNil)
	})
}

// Guards against bytes that nobody releases: a connection is closed while its request waits for memory.
func TestClosedAccountCannotGrow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(mib)
		large, small := newClient(b), newClient(b)
		qt.Assert(t, large.Grow(FreeBytes+mib), qt.IsNil)
		result := make(chan error, 1)
		go func() { result <- small.Grow(FreeBytes + kib) }()
		synctest.Wait()
		small.Close()
		qt.Check(t, <-result, qt.Equals, ErrEvicted)
		large.Clear()
		qt.Check(t, small.Grow(FreeBytes+kib), qt.Equals, ErrEvicted)
		qt.Check(t, b.Stats().Charged, qt.Equals, int64(0))
	})
}

// Guards against a budget that is exceeded, leaks, or blocks a client for good, for any order of clients' actions.
func TestBudgetHoldsForAnyOrderOfClients(t *testing.T) {
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 0))
			b := New(mib)
			clients := make(chan struct{}, 20)
			for range cap(clients) {
				seed := rng.Uint64()
				go func() {
					playClient(t, b, rand.New(rand.NewPCG(seed, 1)))
					clients <- struct{}{}
				}()
			}
			for range cap(clients) {
				<-clients // synctest fails the test if all clients wait for each other
			}
			stats := b.Stats()
			qt.Check(t, stats.Charged, qt.Equals, int64(0), qt.Commentf("seed %d", seed))
			qt.Check(t, len(b.accounts), qt.Equals, 0)
		})
	}
}

// playClient sends some requests in pieces, with pauses, and ends each one.
func playClient(t *testing.T, b *Budget, rng *rand.Rand) {
	for range 5 {
		interrupted := make(chan struct{}, 1)
		a := b.NewAccount(func() { interrupted <- struct{}{} })
		a.Begin()
		for range rng.IntN(12) {
			if a.Grow(rng.Int64N(200*kib)) != nil {
				break
			}
			qt.Check(t, b.Stats().Charged <= b.capacity, qt.IsTrue)
			select {
			case <-interrupted: // its read fails
				a.Clear()
			case <-time.After(time.Duration(rng.Int64N(int64(time.Second)))):
			}
			if rng.IntN(4) == 0 {
				a.Shrink(rng.Int64N(100 * kib))
			}
		}
		if a.Complete() == nil {
			time.Sleep(time.Duration(rng.Int64N(int64(time.Second)))) // it is served
		}
		a.Clear()
	}
}
