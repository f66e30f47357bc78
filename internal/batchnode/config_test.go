package batchnode

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/wire"
)

// counted counts the documents that pass a link.
type counted struct {
	wire.Link
	documents *documents
	address   string
}

// documents counts documents by the entry that sent or got them.
type documents struct {
	mu      sync.Mutex
	from    map[string]int
	to      map[string]int
	bytes   map[string]int // of documents that an entry sent
	largest int            // bytes of one in a frame
}

func (c *counted) Send(f *wire.Frame) error {
	c.documents.count(c.documents.to, c.address, f)
	return c.Link.Send(f)
}

func (c *counted) Recv(ctx context.Context) (*wire.Frame, error) {
	f, err := c.Link.Recv(ctx)
	if err == nil {
		c.documents.count(c.documents.from, c.address, f)
		c.documents.weigh(c.address, f)
	}
	return f, err
}

func (d *documents) count(by map[string]int, address string, f *wire.Frame) {
	if f.Desired != nil && len(f.Desired.Document) > 0 && f.Desired.Offset == 0 {
		d.mu.Lock()
		defer d.mu.Unlock()
		by[address]++
	}
}

func (d *documents) weigh(address string, f *wire.Frame) {
	if f.Desired != nil {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.bytes[address] += len(f.Desired.Document)
		d.largest = max(d.largest, len(f.Desired.Document))
	}
}

// sent gives how many bytes of documents an entry has sent.
func (d *documents) sent(address string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bytes[address]
}

// of gives how many an entry has sent and got.
func (d *documents) of(address string) (sent, got int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.from[address], d.to[address]
}

const (
	configEntries = 6
	configGuards  = 60
	largeConfig   = 400 << 10 // bytes
)

// configFleet is entries, one of which the store turns away, and ten times as many guards.
func configFleet(t *testing.T) (*fleet, *documents, []string) {
	f := newFleet(t)
	d := &documents{from: make(map[string]int), to: make(map[string]int), bytes: make(map[string]int)}
	f.wrap = func(l wire.Link, address string) wire.Link { return &counted{Link: l, documents: d, address: address} }
	var addresses []string
	for i := range configEntries {
		addresses = append(addresses, fmt.Sprint("e", i))
		f.entry(addresses[i])
	}
	for range configGuards {
		f.guard(newWorker(f, time.Second), nil, addresses...)
	}
	time.Sleep(time.Second)
	return f, d, addresses
}

// Guards against all guards fetching the configuration from the first entry that has it.
func TestGuardsAskDifferentEntriesForTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, d, addresses := configFleet(t)
		defer f.stop()
		for _, a := range addresses {
			f.Assert(f.entries[a].Offer(5, []byte("five")), qt.IsNil)
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(time.Second)
		sum := 0
		for _, a := range addresses {
			sent, got := d.of(a)
			sum += sent
			f.Check(sent <= 3*configGuards/configEntries, qt.IsTrue, qt.Commentf("%s sent %d", a, sent))
			f.Check(got, qt.Equals, 0, qt.Commentf("%s", a))
		}
		f.Check(sum, qt.Equals, configGuards)
	})
}

// Guards against each guard sending its copy to an entry that the store turns away.
func TestEntryThatTheStoreTurnsAwayGetsTheConfigurationOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, d, addresses := configFleet(t)
		defer f.stop()
		away := addresses[0]
		for _, a := range addresses[1:] {
			f.Assert(f.entries[a].Offer(5, []byte("five")), qt.IsNil)
		}
		time.Sleep(time.Second)
		f.Check(f.inForce(away), qt.Equals, int64(5))
		_, got := d.of(away)
		f.Check(got, qt.Equals, 1)
	})
}

// Guards against requests refused while copies of a large configuration fill the link.
func TestCopiesOfALargeConfigurationLeaveTheLinkToRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, d, addresses := configFleet(t)
		defer f.stop()
		for _, a := range addresses {
			f.Assert(f.entries[a].Offer(5, make([]byte, largeConfig)), qt.IsNil)
		}
		time.Sleep(time.Second)
		for _, a := range addresses {
			f.Check(d.sent(a) <= largeConfig, qt.IsTrue, qt.Commentf("%s sent %d bytes", a, d.sent(a)))
		}
		time.Sleep(time.Minute)
		sum, bytes := 0, 0
		for _, a := range addresses {
			sent, _ := d.of(a)
			sum += sent
			bytes += d.sent(a)
		}
		f.Check(sum, qt.Equals, configGuards)
		f.Check(bytes, qt.Equals, configGuards*largeConfig)
		f.Check(d.largest <= 16<<10, qt.IsTrue, qt.Commentf("%d bytes at once", d.largest))
	})
}

// Guards against a configuration that never arrives as the link breaks between two pieces.
func TestGuardGetsTheConfigurationThoughALinkBreaksMidway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		d := &documents{from: make(map[string]int), to: make(map[string]int), bytes: make(map[string]int)}
		var links []wire.Link
		f.wrap = func(l wire.Link, address string) wire.Link {
			links = append(links, l)
			return &counted{Link: l, documents: d, address: address}
		}
		f.entry("a")
		g := f.guard(newWorker(f, time.Second), nil, "a")
		time.Sleep(time.Second)
		document := []byte(strings.Repeat("0123456789", largeConfig/10))
		f.Assert(f.entries["a"].Offer(5, document), qt.IsNil)
		time.Sleep(time.Second)
		f.Assert(d.sent("a") > 0, qt.IsTrue)
		links[0].Close("broken")
		time.Sleep(10 * time.Second)
		g.mu.Lock()
		defer g.mu.Unlock()
		f.Check(g.version, qt.Equals, int64(5))
		f.Check(string(g.document) == string(document), qt.IsTrue)
	})
}

// Guards against a guard of an earlier release that takes a piece for the whole configuration.
func TestGuardOfAnEarlierReleaseIsSentTheWholeConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		e := f.entry("a")
		f.Assert(e.Offer(5, make([]byte, largeConfig)), qt.IsNil)
		guard := f.link(e, "g", wire.PiecesSince-1)
		f.Assert(guard.Send(&wire.Frame{Desired: &wire.Desired{}}), qt.IsNil)
		for {
			got, err := guard.Recv(f.ctx)
			f.Assert(err, qt.IsNil)
			if got.Desired != nil {
				f.Check(got.Desired.Document, qt.HasLen, largeConfig)
				return
			}
		}
	})
}

// Guards against further copies asked for while one is arriving over a thin link.
func TestEntryDoesNotAskForManyCopiesOfAConfigurationThatComesSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		e := f.entry("a")
		guard := f.link(e, "slow", wire.Version)
		f.Assert(guard.Send(&wire.Frame{Desired: &wire.Desired{Version: 5}}), qt.IsNil)
		ctx, cancel := context.WithTimeout(f.ctx, 3*time.Second)
		defer cancel()
		asked := 0
		for {
			got, err := guard.Recv(ctx)
			if err != nil {
				break
			}
			if got.Desired != nil && got.Desired.Ask {
				asked++
			}
		}
		f.Check(asked > 1 && asked <= 5, qt.IsTrue, qt.Commentf("asked %d times", asked))
	})
}

// Guards against an old configuration in force while large ones come in quick succession.
func TestEntryThatTheStoreTurnsAwayKeepsUpWithLargeConfigurations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, d, addresses := configFleet(t)
		defer f.stop()
		away := addresses[0]
		const last = 12
		for version := int64(1); version <= last; version++ {
			for _, a := range addresses[1:] {
				f.Assert(f.entries[a].Offer(version, make([]byte, largeConfig)), qt.IsNil)
			}
			time.Sleep(330 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		f.Check(f.inForce(away), qt.Equals, int64(last))
		_, got := d.of(away)
		f.Check(got <= last, qt.IsTrue, qt.Commentf("%d copies", got))
	})
}

// Guards against an old configuration in force as the guard that was asked is gone.
func TestConfigurationIsAskedForAgainAtAnotherGuard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		e := f.entry("a")
		silent := f.link(e, "silent", wire.Version)
		f.Assert(silent.Send(&wire.Frame{Desired: &wire.Desired{Version: 5}}), qt.IsNil)
		time.Sleep(50 * time.Millisecond)
		f.entry("b")
		f.Assert(f.entries["b"].Offer(5, []byte("five")), qt.IsNil)
		f.guard(newWorker(f, time.Second), nil, "b", "a")
		time.Sleep(3 * time.Second)
		f.Check(f.inForce("a"), qt.Equals, int64(5))
	})
}

// Guards against an entry of an earlier release, which never asks, left without it.
func TestEntryOfAnEarlierReleaseIsSentTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		f.entry("new")
		got := make(chan int64, 8)
		f.old = func(l wire.Link) { serveAsBefore(f.ctx, l, got) }
		f.guard(newWorker(f, time.Second), nil, "new", "old")
		time.Sleep(time.Second)
		f.Assert(f.entries["new"].Offer(5, []byte("five")), qt.IsNil)
		time.Sleep(time.Second)
		select {
		case version := <-got:
			f.Check(version, qt.Equals, int64(5))
		default:
			t.Error("no configuration came")
		}
	})
}

// serveAsBefore welcomes a guard as an entry of an earlier release does, and gives the
// versions of the documents that come.
func serveAsBefore(ctx context.Context, l wire.Link, got chan<- int64) {
	for {
		f, err := l.Recv(ctx)
		if err != nil {
			return
		}
		switch {
		case f.RunHello != nil:
			_ = l.Send(&wire.Frame{RunWelcome: &wire.RunWelcome{Version: wire.AsksSince - 1, Incarnation: "old"}})
		case f.Desired != nil && len(f.Desired.Document) > 0:
			got <- f.Desired.Version
		}
	}
}
