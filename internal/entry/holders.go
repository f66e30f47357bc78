package entry

import (
	"bytes"
	"cmp"
	"hash/fnv"
	"io"
	"slices"

	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// holders is how many guards keep the whole configuration up to date for one
// entry. It is enough that an entry which starts while the store is down finds
// one. Eight lie in several failure domains, so that they hardly go together,
// and a change to all hundreds of guards would cost more than all else that an
// entry sends for control.
const holders = 8

// shareOnLink sends the configuration in force to a guard that has an older one.
// A guard with a newer one sends its own, on seeing the revision in the Welcome.
func (s *Server) shareOnLink(g *guardLink) {
	s.shareMu.Lock()
	defer s.shareMu.Unlock()
	c, own := s.config.ForGuard(g.hello.Service)
	if c != nil && c.Revision > g.hello.Revision {
		s.links.share(g, c)
	}
	g.own = own
}

// shareChange sends a changed configuration to the holders, and to the guards
// whose own service's record has changed. Others learn of the revision when
// something of theirs changes, and owe no acknowledgement of it.
func (s *Server) shareChange() {
	s.shareMu.Lock()
	defer s.shareMu.Unlock()
	linked := s.links.linked()
	holding := s.holding(linked)
	byService := make(map[string][]*guardLink)
	for _, g := range linked {
		byService[g.hello.Service] = append(byService[g.hello.Service], g)
	}
	for service, guards := range byService {
		c, own := s.config.ForGuard(service)
		if c == nil {
			continue
		}
		for _, g := range guards {
			if holding[g] || !bytes.Equal(g.own, own) {
				s.links.share(g, c)
				g.own = own
			}
		}
	}
}

// shareOnLoss gives the configuration to the guards that take the places of
// holders that went. Without it, the copies of a revision would go one by one.
func (s *Server) shareOnLoss() {
	s.shareMu.Lock()
	defer s.shareMu.Unlock()
	for g := range s.holding(s.links.linked()) {
		if s.links.held(g) >= s.config.Revision() {
			continue
		}
		if c, own := s.config.ForGuard(g.hello.Service); c != nil {
			s.links.share(g, c)
			g.own = own
		}
	}
}

// holding chooses the holders among the linked guards, by rendezvous hashing:
// when one goes or comes, the others stay, and each entry has others.
func (s *Server) holding(linked []*guardLink) map[*guardLink]bool {
	ranks := make(map[*guardLink]uint64, len(linked))
	for _, g := range linked {
		ranks[g] = s.rank(g.hello.Incarnation)
	}
	slices.SortFunc(linked, func(a, b *guardLink) int { return cmp.Compare(ranks[b], ranks[a]) })
	out := make(map[*guardLink]bool, holders)
	for _, g := range linked[:min(holders, len(linked))] {
		out[g] = true
	}
	return out
}

// rank is a guard's place for this entry; the highest are holders.
func (s *Server) rank(g identity.Incarnation) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, string(s.id)) // a hash takes all
	_, _ = io.WriteString(h, "/"+string(g))
	return scramble(h.Sum64())
}

// scramble spreads a hash over all bits: names that differ in their last letter
// only have FNV hashes that differ in few.
func scramble(x uint64) uint64 {
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// share queues c for g, which then owes its acknowledgement.
func (t *linkTable) share(g *guardLink, c *wire.Config) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.links[g.hello.Incarnation] == g && g.link.Send(&wire.Frame{Config: c}) == nil {
		g.owed = c.Revision
	}
}

// held is the newest revision that g has confirmed or was sent.
func (t *linkTable) held(g *guardLink) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(g.owed, g.acked)
}

func (t *linkTable) acknowledged(g *guardLink, revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g.acked = max(g.acked, revision)
}

// behind counts the linked guards that have not confirmed what they were sent.
func (t *linkTable) behind() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, g := range t.links {
		if g.acked < g.owed {
			n++
		}
	}
	return n
}

// linked lists the links in place.
func (t *linkTable) linked() []*guardLink {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*guardLink, 0, len(t.links))
	for _, g := range t.links {
		out = append(out, g)
	}
	return out
}
