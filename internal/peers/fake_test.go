package peers

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/store"
	"wigeontray/internal/store/etcdjson"
	"wigeontray/internal/store/standin"
	"wigeontray/internal/wire"
	"wigeontray/internal/wire/wiretest"
)

// storeTransport is one entry's connection to the store. The entry can be
// disconnected.
type storeTransport struct {
	http.RoundTripper
	mu     sync.Mutex
	ctx    context.Context // canceled when the entry is disconnected
	cancel context.CancelFunc
}

// RoundTrip fails while the entry is disconnected, or if it is disconnected before
// the response arrives.
func (t *storeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.mu.Lock()
	connected := t.ctx
	t.mu.Unlock()
	if connected.Err() != nil {
		return nil, errUnreachable
	}
	ctx, cancel := context.WithCancel(r.Context())
	context.AfterFunc(connected, cancel)
	return t.RoundTripper.RoundTrip(r.WithContext(ctx))
}

func (t *storeTransport) connect(ctx context.Context) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ctx, t.cancel = context.WithCancel(ctx)
}

// network connects the entries of one region.
type network struct {
	c          *qt.C
	ctx        context.Context
	store      *standin.Server
	mu         sync.Mutex // guards entries, which dials read while start adds one
	entries    map[identity.Incarnation]*entry
	wg         sync.WaitGroup
	partition  atomic.Pointer[[2]*entry]
	frameCount atomic.Int64
	byteCount  atomic.Int64
}

// entry is a Peers with a record of the calls of its hooks.
type entry struct {
	*Peers
	isIsolated     atomic.Bool // no link can be opened
	isFrozen       atomic.Bool // sends nothing, but its links stay open
	storeTransport storeTransport
	cancel         context.CancelFunc
	mu             sync.Mutex
	readyGuards    []identity.Incarnation
	gonePeers      []identity.Incarnation
	fencedGuards   []identity.Incarnation // guards that were sent a Fence
	wasFenced      bool
	configRevision int64
}

var errUnreachable = errors.New("cut")

func newNetwork(t *testing.T, ctx context.Context, names ...identity.Incarnation) *network {
	n := &network{c: qt.New(t), ctx: ctx, store: standin.New(), entries: make(map[identity.Incarnation]*entry)}
	for _, name := range names {
		n.start(name)
	}
	return n
}

func (n *network) start(name identity.Incarnation, seeds ...string) *entry {
	e := &entry{}
	ctx, cancel := context.WithCancel(n.ctx)
	e.cancel = cancel
	e.storeTransport.RoundTripper = &standin.Transport{Handler: n.store}
	e.storeTransport.connect(n.ctx)
	e.Peers = New(Options{
		Self:   wire.EntryAddr{Incarnation: name, Inner: string(name)},
		Region: "lima", Seeds: seeds,
		Store: store.NewEtcd(store.Options{Endpoints: []string{"http://store"}, Transport: &e.storeTransport}),
		Dial:  func(ctx context.Context, to wire.EntryAddr) (wire.Link, error) { return n.dial(e, to) },
		OnForward: func(_ context.Context, from identity.Incarnation, f *wire.Forward) *wire.Forwarded {
			return &wire.Forwarded{Status: 200, Body: fmt.Appendf(nil, "%s for %s at %s", f.Key, from, name)}
		},
		SendToGuard: func(g identity.Incarnation, f *wire.Frame) {
			if f.Fence != nil {
				e.withLock(func() { e.fencedGuards = append(e.fencedGuards, g) })
			}
		},
		OnGuardReady: func(g identity.Incarnation) { e.withLock(func() { e.readyGuards = append(e.readyGuards, g) }) },
		OnGone:       func(p identity.Incarnation) { e.withLock(func() { e.gonePeers = append(e.gonePeers, p) }) },
		OnFenced:     func() { e.withLock(func() { e.wasFenced = true }) },
		Revision:     func() int64 { return e.revision() },
		Config:       func() *wire.Config { return &wire.Config{Revision: e.revision()} },
		OnConfig:     func(c *wire.Config) { e.withLock(func() { e.configRevision = max(e.configRevision, c.Revision) }) },
	})
	n.mu.Lock()
	n.entries[name] = e
	n.mu.Unlock()
	n.wg.Go(func() { e.Run(ctx) })
	return e
}

func (e *entry) withLock(f func()) { e.mu.Lock(); defer e.mu.Unlock(); f() }

func (e *entry) revision() (r int64) { e.withLock(func() { r = e.configRevision }); return r }

func (n *network) dial(from *entry, to wire.EntryAddr) (wire.Link, error) {
	n.mu.Lock()
	target := n.entries[identity.Incarnation(to.Inner)]
	n.mu.Unlock()
	if target == nil || target.isIsolated.Load() || from.isIsolated.Load() || n.arePartitioned(from, target) {
		return nil, errUnreachable
	}
	a, b := wiretest.Pipe()
	a.Drop = func(f *wire.Frame) bool { return n.countFrame(f) || from.isFrozen.Load() }
	b.Drop = func(f *wire.Frame) bool { return n.countFrame(f) || target.isFrozen.Load() }
	n.wg.Go(func() { target.Accept(n.ctx, slowCloseLink{b}) })
	return slowCloseLink{a}, nil
}

// slowCloseLink is a link whose Recv continues after Close, like that of a socket
// while the peer does not take part in the closing handshake.
type slowCloseLink struct{ *wiretest.End }

// Recv returns an error only 5 s after the link has ended, or when ctx ends.
func (l slowCloseLink) Recv(ctx context.Context) (*wire.Frame, error) {
	f, err := l.End.Recv(ctx)
	if err != nil {
		sleep(ctx, 5*time.Second)
	}
	return f, err
}

// storeCalls returns the number of calls that the entries made to the store.
func (n *network) storeCalls() (sum int) {
	for _, path := range []string{
		etcdjson.PathRange, etcdjson.PathTxn, etcdjson.PathGrant, etcdjson.PathKeepAlive, etcdjson.PathWatch,
	} {
		sum += n.store.Calls(path)
	}
	return sum
}

// countFrame counts a frame and its encoded bytes. It drops none.
func (n *network) countFrame(f *wire.Frame) bool {
	b, _ := wire.Encode(f)
	n.frameCount.Add(1)
	n.byteCount.Add(int64(len(b)))
	return false
}

// isolate disconnects an entry from its peers and the store at once. The others
// cannot tell it from a killed one, but it continues to run, like a paused or
// partitioned process that returns later.
func (n *network) isolate(name identity.Incarnation) {
	e := n.entries[name]
	e.isIsolated.Store(true)
	e.storeTransport.cancel()
	for _, l := range *e.links.Load() {
		l.link.Close("cut")
	}
}

// arePartitioned reports whether the connection between two entries is cut.
func (n *network) arePartitioned(x, y *entry) bool {
	pair := n.partition.Load()
	return pair != nil && (*pair == [2]*entry{x, y} || *pair == [2]*entry{y, x})
}

// cutLink breaks the connection between two entries. Both keep all their other links.
func (n *network) cutLink(x, y identity.Incarnation) {
	n.partition.Store(&[2]*entry{n.entries[x], n.entries[y]})
	(*n.entries[x].links.Load())[y].link.Close("cut")
}

// freeze stops an entry from sending and cuts it off from the store and from new links,
// without closing its links.
func (n *network) freeze(name identity.Incarnation) {
	n.entries[name].isFrozen.Store(true)
	n.entries[name].isIsolated.Store(true)
	n.entries[name].storeTransport.cancel()
}

// reconnect ends an isolation.
func (n *network) reconnect(name identity.Incarnation) {
	n.entries[name].isIsolated.Store(false)
	n.entries[name].storeTransport.connect(n.ctx)
}

func (n *network) stop() {
	for _, e := range n.entries {
		e.cancel()
	}
	n.wg.Wait()
	n.store.Close()
}

// starters returns how many of count keys that are born now each entry may start, and
// asserts that no key has two starters.
func (n *network) starters(count uint64) map[identity.Incarnation]int {
	out := make(map[identity.Incarnation]int)
	for i := range count {
		key, starters := plainKey(n.c, i), 0
		for name, e := range n.entries {
			if e.MayStart("ayni", key) == nil {
				out[name]++
				starters++
			}
		}
		n.c.Assert(starters <= 1, qt.IsTrue, qt.Commentf("key %d has %d starters", i, starters))
	}
	return out
}

// startersExcept is starters without the entries that callers cannot reach.
func (n *network) startersExcept(excluded []identity.Incarnation, count uint64) map[identity.Incarnation]int {
	out := n.starters(count)
	for _, name := range excluded {
		delete(out, name)
	}
	return out
}

func total(m map[identity.Incarnation]int) (n int) {
	for _, k := range m {
		n += k
	}
	return n
}

func plainKey(c *qt.C, i uint64) identity.Key {
	k := identity.NewTicket("x", time.Now())
	k.UUID[15], k.UUID[14] = byte(i), byte(i>>8)
	parsed, err := identity.Parse(k.UUID.String())
	c.Assert(err, qt.IsNil)
	return parsed
}

// answerFences reports, for every guard that was sent a Fence, that it started none
// of gone's jobs.
func (e *entry) answerFences(gone identity.Incarnation) {
	e.mu.Lock()
	fencedGuards := e.fencedGuards
	e.fencedGuards = nil
	e.mu.Unlock()
	for _, g := range fencedGuards {
		e.HandleFenceReport(g, &wire.FenceReport{FencedEntry: gone})
	}
}

func kindOf(err *errkind.Error) errkind.Kind {
	if err == nil {
		return errkind.None
	}
	return err.Kind
}
