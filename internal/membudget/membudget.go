// Package membudget limits the memory that the requests of clients occupy in one process.
//
// Each connection has an account, to which the bytes of its request are charged from their arrival until
// the response. The first FreeBytes of an account are part of the cost of its connection, for which the
// limit on connections leaves room. What all accounts have beyond that shares one budget. When the budget is
// used up, accounts whose requests have not arrived completely are evicted: first those whose requests arrive
// slowly, then those that are larger than the one that grows. If that is not enough, the one that grows is
// refused. A request of at most FreeBytes is therefore never refused or evicted.
//
// The package imports no other package of the project.
package membudget

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

// FreeBytes is how much of an account is not charged to the budget, in bytes.
const FreeBytes = 16 << 10

// A request arrives slowly if it takes longer than SlowAfter, and longer than at MinBytesPerSecond.
const (
	SlowAfter         = time.Second
	MinBytesPerSecond = 1 << 20
)

// ArrivesSlowly reports whether a request is slow of which so many bytes have arrived in a time.
func ArrivesSlowly(bytes int64, elapsed time.Duration) bool {
	return elapsed >= SlowAfter+time.Duration(bytes)*time.Second/MinBytesPerSecond
}

// ErrExhausted reports that a request does not fit into the budget.
var ErrExhausted = errors.New("the memory for requests is used up")

// ErrEvicted reports that an account has been evicted in favour of smaller ones.
var ErrEvicted = errors.New("the request was dropped to make room for smaller ones")

// Budget is the memory for the requests of one process. A nil Budget sets no limit.
type Budget struct {
	mu        sync.Mutex
	released  *sync.Cond // signalled when bytes are released or an account is evicted
	capacity  int64      // bytes
	charged   int64      // bytes of all accounts beyond their free ones
	evictions int64
	refusals  int64
	// connections is the number of connections that were closed for new ones.
	connections int64
	accounts    map[*Account]struct{} // those with charged bytes
	onLimit     func()                // called when a limit acts; nil for none
}

// New returns a budget of so many bytes.
func New(capacity int64) *Budget {
	b := &Budget{capacity: capacity, accounts: make(map[*Account]struct{})}
	b.released = sync.NewCond(&b.mu)
	return b
}

// Stats is the state of a budget.
type Stats struct {
	Capacity, Charged int64 // bytes
	// Since the start of the process: requests that were evicted or refused, and connections that were closed for
	// new ones.
	Evictions, Refusals, Connections int64
}

// Stats returns the state of the budget.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{Capacity: b.capacity, Charged: b.charged, Evictions: b.evictions, Refusals: b.refusals, Connections: b.connections}
}

// OnLimit sets a function that is called when a limit acts: a request is evicted or refused, or a connection is closed
// for a new one. It must not block or use the budget. OnLimit must be called before the budget is used.
func (b *Budget) OnLimit(f func()) { b.onLimit = f }

// CountConnection counts a connection that was closed for a new one.
func (b *Budget) CountConnection() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.connections++
	b.limitActed()
}

// limitActed calls onLimit. mu must be held.
func (b *Budget) limitActed() {
	if b.onLimit != nil {
		b.onLimit()
	}
}

// Account is the memory of one connection's request. Its methods are safe for concurrent use. A nil
// Account has no limit.
type Account struct {
	budget *Budget
	// interrupt makes the connection's pending and later reads fail. It must not block.
	interrupt   func()
	free        int64     // bytes that are not charged
	held        int64     // bytes
	beganAt     time.Time // when its request began to arrive
	isEvictable bool      // its request has not arrived completely
	isEvicted   bool
}

// NewAccount returns an empty account. interrupt is called when the account is evicted: it must make the
// connection's pending and later reads fail, without blocking.
func (b *Budget) NewAccount(interrupt func()) *Account {
	if b == nil {
		return nil
	}
	return &Account{budget: b, interrupt: interrupt, free: FreeBytes}
}

// NewJobAccount returns an empty account for a job, which may outlive its request. All of its bytes are charged, and
// it is never evicted.
func (b *Budget) NewJobAccount() *Account {
	if b == nil {
		return nil
	}
	return &Account{budget: b}
}

// Begin records that a request has begun to arrive: the account may be evicted.
func (a *Account) Begin() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.isEvictable, a.beganAt = true, time.Now()
}

// Complete records that the request has arrived completely: the account cannot be evicted any more. It
// fails with ErrEvicted if it has been evicted before.
func (a *Account) Complete() error {
	if a == nil {
		return nil
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.isEvicted {
		return ErrEvicted
	}
	a.isEvictable = false
	return nil
}

// Grow charges n more bytes. It waits while other accounts are being evicted for it, and fails with
// ErrExhausted or ErrEvicted; nothing is charged then.
func (a *Account) Grow(n int64) error { return a.Replace(0, n) }

// Replace charges n more bytes that will replace before bytes of the account, which are released with Shrink
// afterwards. It fails as Grow does.
func (a *Account) Replace(before, n int64) error {
	if a == nil {
		return nil
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		switch need := a.chargeable(a.held+n) - a.chargeable(a.held); {
		case a.isEvicted:
			return ErrEvicted
		case need <= 0 || b.charged+need <= b.capacity:
			b.set(a, a.held+n)
			return nil
		case !b.makeRoom(a, need, a.held+n-before):
			b.refusals++
			b.limitActed()
			return ErrExhausted
		}
		b.released.Wait()
	}
}

// Shrink releases n bytes.
func (a *Account) Shrink(n int64) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.set(a, max(0, a.held-n))
}

// contextKey is the context key of an account.
type contextKey struct{}

// NewContext returns a context that carries the account of a connection to handlers.
func NewContext(ctx context.Context, a *Account) context.Context {
	return context.WithValue(ctx, contextKey{}, a)
}

// FromContext returns the account of a request's connection; nil for none.
func FromContext(ctx context.Context) *Account {
	a, _ := ctx.Value(contextKey{}).(*Account)
	return a
}

// Clear releases all bytes at the end of a request.
func (a *Account) Clear() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.isEvictable = false
	a.budget.set(a, 0)
}

// Close releases all bytes of a connection that is closed. A Grow that waits, and later ones, fail with ErrEvicted:
// nothing would release what they charge.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.isEvicted, a.isEvictable = true, false
	a.budget.set(a, 0)
	a.budget.released.Broadcast()
}

// chargeable returns the part of held bytes that is charged to the budget.
func (a *Account) chargeable(held int64) int64 { return max(0, held-a.free) }

// set changes the bytes of an account. mu must be held.
func (b *Budget) set(a *Account, held int64) {
	change := a.chargeable(held) - a.chargeable(a.held)
	a.held = held
	b.charged += change
	if a.chargeable(held) > 0 {
		b.accounts[a] = struct{}{}
	} else {
		delete(b.accounts, a)
	}
	if change < 0 {
		b.released.Broadcast()
	}
}

// makeRoom evicts accounts until need bytes are free for grower, whose size will be size bytes, once those that are
// evicted have released theirs. It returns false, and evicts none, if that is not enough. mu must be held.
func (b *Budget) makeRoom(grower *Account, need, size int64) bool {
	missing := b.charged + need - b.capacity
	now := time.Now()
	var candidates []*Account
	for a := range b.accounts {
		switch {
		case a == grower:
		case a.isEvicted:
			missing -= a.chargeable(a.held)
		case a.isEvictable && (a.isSlow(now) || a.held > size):
			candidates = append(candidates, a)
		}
	}
	slices.SortFunc(candidates, func(x, y *Account) int { return compareForEviction(x, y, now) })
	count := 0
	for ; missing > 0 && count < len(candidates); count++ {
		missing -= candidates[count].chargeable(candidates[count].held)
	}
	if missing > 0 {
		return false
	}
	for _, a := range candidates[:count] {
		a.isEvicted = true
		b.evictions++
		a.interrupt()
	}
	if count > 0 {
		b.released.Broadcast() // an evicted account may itself be waiting
		b.limitActed()
	}
	return true
}

func (a *Account) isSlow(now time.Time) bool { return ArrivesSlowly(a.held, now.Sub(a.beganAt)) }

// compareForEviction orders accounts: slow ones first, then by size, so that few are evicted.
func compareForEviction(x, y *Account, now time.Time) int {
	if x.isSlow(now) != y.isSlow(now) {
		if x.isSlow(now) {
			return -1
		}
		return 1
	}
	return cmp.Compare(y.held, x.held)
}
