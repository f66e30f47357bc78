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

// countingLink counts the configuration documents sent and received on the link of a guard.
type countingLink struct {
	wire.Link
	documentCounter *documentCounter
	address         string
}

// documentCounter counts documents by the address of the entry that sent or received them.
type documentCounter struct {
	mu             sync.Mutex
	sentCounts     map[string]int
	receivedCounts map[string]int
	sentBytes      map[string]int // total size of the documents an entry sent
	largestBytes   int            // largest document part in one frame
}

func (c *countingLink) Send(f *wire.Frame) error {
	c.documentCounter.count(c.documentCounter.receivedCounts, c.address, f)
	return c.Link.Send(f)
}

func (c *countingLink) Recv(ctx context.Context) (*wire.Frame, error) {
	f, err := c.Link.Recv(ctx)
	if err == nil {
		c.documentCounter.count(c.documentCounter.sentCounts, c.address, f)
		c.documentCounter.addBytes(c.address, f)
	}
	return f, err
}

func (c *documentCounter) count(counts map[string]int, address string, f *wire.Frame) {
	if f.DesiredConfig != nil && len(f.DesiredConfig.Document) > 0 && f.DesiredConfig.Offset == 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		counts[address]++
	}
}

func (c *documentCounter) addBytes(address string, f *wire.Frame) {
	if f.DesiredConfig != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.sentBytes[address] += len(f.DesiredConfig.Document)
		c.largestBytes = max(c.largestBytes, len(f.DesiredConfig.Document))
	}
}

// sent returns the total size in bytes of the documents that an entry has sent.
func (c *documentCounter) sent(address string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sentBytes[address]
}

// documents returns how many documents an entry has sent and received.
func (c *documentCounter) documents(address string) (sent, received int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sentCounts[address], c.receivedCounts[address]
}

const (
	configEntries = 6
	configGuards  = 60
	largeConfig   = 400 << 10 // bytes
)

// newConfigFleet starts configEntries entries and ten times as many guards, and returns the
// addresses of the entries.
func newConfigFleet(t *testing.T) (*fleet, *documentCounter, []string) {
	f := newFleet(t)
	d := &documentCounter{sentCounts: make(map[string]int), receivedCounts: make(map[string]int), sentBytes: make(map[string]int)}
	f.wrapLink = func(l wire.Link, address string) wire.Link {
		return &countingLink{Link: l, documentCounter: d, address: address}
	}
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

// Guards against all guards fetching a new configuration from the first entry that has it.
func TestGuardsFetchConfigFromDifferentEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, d, addresses := newConfigFleet(t)
		defer f.stop()
		for _, a := range addresses {
			f.Assert(f.entries[a].OfferConfig(5, []byte("five")), qt.IsNil)
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(time.Second)
		sum := 0
		for _, a := range addresses {
			sent, got := d.documents(a)
			sum += sent
			f.Check(sent <= 3*configGuards/configEntries, qt.IsTrue, qt.Commentf("%s sent %d", a, sent))
			f.Check(got, qt.Equals, 0, qt.Commentf("%s", a))
		}
		f.Check(sum, qt.Equals, configGuards)
	})
}

// Guards against every guard sending its copy to an entry that cannot read the store.
func TestEntryWithoutStoreReceivesConfigOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, d, addresses := newConfigFleet(t)
		defer f.stop()
		cutOff := addresses[0]
		for _, a := range addresses[1:] {
			f.Assert(f.entries[a].OfferConfig(5, []byte("five")), qt.IsNil)
		}
		time.Sleep(time.Second)
		f.Check(f.configVersion(cutOff), qt.Equals, int64(5))
		_, got := d.documents(cutOff)
		f.Check(got, qt.Equals, 1)
	})
}

// Guards against requests being refused while copies of a large configuration saturate the link.
func TestLargeConfigCopiesAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, d, addresses := newConfigFleet(t)
		defer f.stop()
		for _, a := range addresses {
			f.Assert(f.entries[a].OfferConfig(5, make([]byte, largeConfig)), qt.IsNil)
		}
		time.Sleep(time.Second)
		for _, a := range addresses {
			f.Check(d.sent(a) <= largeConfig, qt.IsTrue, qt.Commentf("%s sent %d bytes", a, d.sent(a)))
		}
		time.Sleep(time.Minute)
		sum, bytes := 0, 0
		for _, a := range addresses {
			sent, _ := d.documents(a)
			sum += sent
			bytes += d.sent(a)
		}
		f.Check(sum, qt.Equals, configGuards)
		f.Check(bytes, qt.Equals, configGuards*largeConfig)
		f.Check(d.largestBytes <= 16<<10, qt.IsTrue, qt.Commentf("%d bytes at once", d.largestBytes))
	})
}

// Guards against a configuration that never arrives because the link breaks between two chunks.
func TestGuardRefetchesConfigAfterLinkBreaksMidTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		d := &documentCounter{sentCounts: make(map[string]int), receivedCounts: make(map[string]int), sentBytes: make(map[string]int)}
		var links []wire.Link
		f.wrapLink = func(l wire.Link, address string) wire.Link {
			links = append(links, l)
			return &countingLink{Link: l, documentCounter: d, address: address}
		}
		f.entry("a")
		g := f.guard(newWorker(f, time.Second), nil, "a")
		time.Sleep(time.Second)
		configDocument := []byte(strings.Repeat("0123456789", largeConfig/10))
		f.Assert(f.entries["a"].OfferConfig(5, configDocument), qt.IsNil)
		time.Sleep(time.Second)
		f.Assert(d.sent("a") > 0, qt.IsTrue)
		links[0].Close("broken")
		time.Sleep(10 * time.Second)
		g.mu.Lock()
		defer g.mu.Unlock()
		f.Check(g.configVersion, qt.Equals, int64(5))
		f.Check(string(g.configDocument) == string(configDocument), qt.IsTrue)
	})
}

// Guards against a guard of an earlier release treating a chunk as the whole configuration.
func TestGuardWithoutChunkSupportReceivesWholeConfig(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		e := f.entry("a")
		f.Assert(e.OfferConfig(5, make([]byte, largeConfig)), qt.IsNil)
		guard := f.linkAsGuard(e, "g", wire.ConfigPiecesVersion-1)
		f.Assert(guard.Send(&wire.Frame{DesiredConfig: &wire.DesiredConfig{}}), qt.IsNil)
		for {
			got, err := guard.Recv(f.ctx)
			f.Assert(err, qt.IsNil)
			if got.DesiredConfig != nil {
				f.Check(got.DesiredConfig.Document, qt.HasLen, largeConfig)
				return
			}
		}
	})
}

// Guards against an entry requesting further copies while one is arriving on a slow link.
func TestEntryBacksOffConfigRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		e := f.entry("a")
		guard := f.linkAsGuard(e, "slow", wire.Version)
		f.Assert(guard.Send(&wire.Frame{DesiredConfig: &wire.DesiredConfig{Version: 5}}), qt.IsNil)
		ctx, cancel := context.WithTimeout(f.ctx, 3*time.Second)
		defer cancel()
		requests := 0
		for {
			got, err := guard.Recv(ctx)
			if err != nil {
				break
			}
			if got.DesiredConfig != nil && got.DesiredConfig.Ask {
				requests++
			}
		}
		f.Check(requests > 1 && requests <= 5, qt.IsTrue, qt.Commentf("sent %d requests", requests))
	})
}

// Guards against an entry staying on an old configuration while large ones follow each other
// quickly.
func TestEntryWithoutStoreKeepsUpWithLargeConfigs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, d, addresses := newConfigFleet(t)
		defer f.stop()
		cutOff := addresses[0]
		const last = 12
		for version := int64(1); version <= last; version++ {
			for _, a := range addresses[1:] {
				f.Assert(f.entries[a].OfferConfig(version, make([]byte, largeConfig)), qt.IsNil)
			}
			time.Sleep(330 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		f.Check(f.configVersion(cutOff), qt.Equals, int64(last))
		_, got := d.documents(cutOff)
		f.Check(got <= last, qt.IsTrue, qt.Commentf("%d copies", got))
	})
}

// Guards against an entry staying on an old configuration because the guard that it asked does
// not answer.
func TestEntryRequestsConfigFromNextGuardAfterTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		e := f.entry("a")
		silent := f.linkAsGuard(e, "silent", wire.Version)
		f.Assert(silent.Send(&wire.Frame{DesiredConfig: &wire.DesiredConfig{Version: 5}}), qt.IsNil)
		time.Sleep(50 * time.Millisecond)
		f.entry("b")
		f.Assert(f.entries["b"].OfferConfig(5, []byte("five")), qt.IsNil)
		f.guard(newWorker(f, time.Second), nil, "b", "a")
		time.Sleep(3 * time.Second)
		f.Check(f.configVersion("a"), qt.Equals, int64(5))
	})
}

// Guards against an entry of an earlier release, which never requests a configuration, not
// receiving it.
func TestEntryThatNeverRequestsConfigReceivesIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		f.entry("new")
		versions := make(chan int64, 8)
		f.serveOld = func(l wire.Link) { serveEarlierRelease(f.ctx, l, versions) }
		f.guard(newWorker(f, time.Second), nil, "new", "old")
		time.Sleep(time.Second)
		f.Assert(f.entries["new"].OfferConfig(5, []byte("five")), qt.IsNil)
		time.Sleep(time.Second)
		select {
		case version := <-versions:
			f.Check(version, qt.Equals, int64(5))
		default:
			t.Error("no configuration received")
		}
	})
}

// serveEarlierRelease welcomes a guard like an entry of an earlier release, and sends the versions
// of the received documents to versions.
func serveEarlierRelease(ctx context.Context, l wire.Link, versions chan<- int64) {
	for {
		f, err := l.Recv(ctx)
		if err != nil {
			return
		}
		switch {
		case f.RunHello != nil:
			_ = l.Send(&wire.Frame{RunWelcome: &wire.RunWelcome{Version: wire.ConfigRequestVersion - 1, Incarnation: "old"}})
		case f.DesiredConfig != nil && len(f.DesiredConfig.Document) > 0:
			versions <- f.DesiredConfig.Version
		}
	}
}
