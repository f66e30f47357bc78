package entry

import (
	"sync"

	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// linkTable holds the current link of every verified guard.
type linkTable struct {
	mu    sync.Mutex
	links map[identity.Incarnation]*guardLink
	// readyGuards holds the guards that the router has reported ready. A guard is
	// kept in it while its link is down.
	readyGuards map[identity.Incarnation]bool
	closed      bool
}

func newLinkTable() *linkTable {
	return &linkTable{links: make(map[identity.Incarnation]*guardLink), readyGuards: make(map[identity.Incarnation]bool)}
}

// add adds g to the table. It returns false if the table is closed.
func (t *linkTable) add(g *guardLink) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.links[g.hello.Incarnation] = g
	g.ackedRevision = g.hello.Revision
	return true
}

// remove removes g. It returns false if a newer link has replaced it.
func (t *linkTable) remove(g *guardLink) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.links[g.hello.Incarnation] != g {
		return false
	}
	delete(t.links, g.hello.Incarnation)
	return true
}

func (t *linkTable) get(id identity.Incarnation) *guardLink {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.links[id]
}

// setReady marks a guard as ready and returns its link, or nil if it has none.
func (t *linkTable) setReady(id identity.Incarnation) *guardLink {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readyGuards[id] = true
	return t.links[id]
}

func (t *linkTable) isReady(id identity.Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.readyGuards[id]
}

// expire clears the ready mark of a guard. It returns false if the guard is linked.
func (t *linkTable) expire(id identity.Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.links[id] != nil {
		return false
	}
	delete(t.readyGuards, id)
	return true
}

// broadcast queues f for every guard. It never blocks.
func (t *linkTable) broadcast(f *wire.Frame) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.links {
		_ = g.link.Send(f)
	}
}

// send queues f for one guard. It returns false if the guard has no link.
func (t *linkTable) send(to identity.Incarnation, f *wire.Frame) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.links[to]
	return g != nil && g.link.Send(f) == nil
}

// guardHellos returns the Hello messages of the guards.
func (t *linkTable) guardHellos() []*wire.Hello {
	t.mu.Lock()
	defer t.mu.Unlock()
	return collectHellos(t.links)
}

// collectHellos returns the Hello messages of the guards of the given links.
func collectHellos(links map[identity.Incarnation]*guardLink) []*wire.Hello {
	out := make([]*wire.Hello, 0, len(links))
	for _, g := range links {
		out = append(out, g.hello)
	}
	return out
}

// close closes every link and refuses new ones.
func (t *linkTable) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for _, g := range t.links {
		g.link.Close("entry stops")
	}
}
