package entry

import (
	"sync"

	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// linkTable knows every guard's current link.
type linkTable struct {
	mu     sync.Mutex
	links  map[identity.Incarnation]*guardLink
	usable map[identity.Incarnation]bool // the router allowed starts; outlives a broken link
	closed bool
}

func newLinkTable() *linkTable {
	return &linkTable{links: make(map[identity.Incarnation]*guardLink), usable: make(map[identity.Incarnation]bool)}
}

// add puts g in the table; false after close.
func (t *linkTable) add(g *guardLink) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.links[g.hello.Incarnation] = g
	g.acked = g.hello.Revision
	return true
}

// remove takes g out; false if a newer link has replaced it.
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

// setReady notes that id may be used and gives its link, if it has one.
func (t *linkTable) setReady(id identity.Incarnation) *guardLink {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.usable[id] = true
	return t.links[id]
}

func (t *linkTable) ready(id identity.Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.usable[id]
}

// forget drops what is known of an unlinked guard; false if it is linked.
func (t *linkTable) forget(id identity.Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.links[id] != nil {
		return false
	}
	delete(t.usable, id)
	return true
}

// broadcast queues f for every guard. Sending never blocks.
func (t *linkTable) broadcast(f *wire.Frame) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.links {
		_ = g.link.Send(f)
	}
}

// send queues f for one guard; false if it has no link.
func (t *linkTable) send(to identity.Incarnation, f *wire.Frame) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.links[to]
	return g != nil && g.link.Send(f) == nil
}

// all lists the guards' hellos.
func (t *linkTable) all() []*wire.Hello {
	t.mu.Lock()
	defer t.mu.Unlock()
	return hellos(t.links)
}

// hellos lists what the guards of some links said of themselves.
func hellos(links map[identity.Incarnation]*guardLink) []*wire.Hello {
	out := make([]*wire.Hello, 0, len(links))
	for _, g := range links {
		out = append(out, g.hello)
	}
	return out
}

// close ends every link and lets no new one in.
func (t *linkTable) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for _, g := range t.links {
		g.link.Close("entry stops")
	}
}
