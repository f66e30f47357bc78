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

// configReplicas is how many guards keep the complete, current configuration for
// one entry. An entry that starts while the store is down needs to find only one of
// them. Eight guards are spread over several failure domains, so that they rarely
// fail together, while sending each change to all of the hundreds of guards would
// cost more than all other control traffic of an entry.
const configReplicas = 8

// sendConfigOnLink sends the current configuration to a guard that has an older
// one. A guard with a newer one sends its own when it sees the revision in the
// Welcome.
func (s *Server) sendConfigOnLink(g *guardLink) {
	s.configSendMu.Lock()
	defer s.configSendMu.Unlock()
	c, serviceRecord := s.config.SnapshotForGuard(g.hello.Service)
	if c != nil && c.Revision > g.hello.Revision {
		s.links.sendConfig(g, c)
	}
	g.serviceRecord = serviceRecord
}

// sendChangedConfig sends a changed configuration to the replicas, and to the
// guards whose own service's record has changed. Other guards receive the new
// revision with the next change of their service's record, and need not acknowledge
// it until then.
func (s *Server) sendChangedConfig() {
	s.configSendMu.Lock()
	defer s.configSendMu.Unlock()
	linked := s.links.linked()
	replicas := s.replicas(linked)
	byService := make(map[string][]*guardLink)
	for _, g := range linked {
		byService[g.hello.Service] = append(byService[g.hello.Service], g)
	}
	for service, guards := range byService {
		c, serviceRecord := s.config.SnapshotForGuard(service)
		if c == nil {
			continue
		}
		for _, g := range guards {
			if replicas[g] || !bytes.Equal(g.serviceRecord, serviceRecord) {
				s.links.sendConfig(g, c)
				g.serviceRecord = serviceRecord
			}
		}
	}
}

// sendConfigToNewReplicas sends the configuration to guards that were selected in
// place of lost replicas. Without it, the copies of a revision would be lost one by
// one.
func (s *Server) sendConfigToNewReplicas() {
	s.configSendMu.Lock()
	defer s.configSendMu.Unlock()
	for g := range s.replicas(s.links.linked()) {
		if s.links.newestRevision(g) >= s.config.Revision() {
			continue
		}
		if c, serviceRecord := s.config.SnapshotForGuard(g.hello.Service); c != nil {
			s.links.sendConfig(g, c)
			g.serviceRecord = serviceRecord
		}
	}
}

// replicas selects the guards that keep the configuration among the linked ones, by
// rendezvous hashing: when a guard is added or removed, the other replicas stay the
// same, and each entry selects different guards.
func (s *Server) replicas(linked []*guardLink) map[*guardLink]bool {
	ranks := make(map[*guardLink]uint64, len(linked))
	for _, g := range linked {
		ranks[g] = s.replicaRank(g.hello.Incarnation)
	}
	slices.SortFunc(linked, func(a, b *guardLink) int { return cmp.Compare(ranks[b], ranks[a]) })
	out := make(map[*guardLink]bool, configReplicas)
	for _, g := range linked[:min(configReplicas, len(linked))] {
		out[g] = true
	}
	return out
}

// replicaRank returns the rank of a guard for this entry; the guards with the
// highest ranks are the replicas.
func (s *Server) replicaRank(g identity.Incarnation) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, string(s.id)) // hash.Hash.Write never returns an error
	_, _ = io.WriteString(h, "/"+string(g))
	return mixBits(h.Sum64())
}

// mixBits spreads a hash over all bits. FNV hashes of names that differ only in the
// last character differ in few bits.
func mixBits(x uint64) uint64 {
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// sendConfig queues c for g and records the revision that g has to acknowledge.
func (t *linkTable) sendConfig(g *guardLink, c *wire.Config) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.links[g.hello.Incarnation] == g && g.link.Send(&wire.Frame{Config: c}) == nil {
		g.sentRevision = c.Revision
	}
}

// newestRevision returns the newest revision that g was sent or has acknowledged.
func (t *linkTable) newestRevision(g *guardLink) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(g.sentRevision, g.ackedRevision)
}

func (t *linkTable) setAcked(g *guardLink, revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g.ackedRevision = max(g.ackedRevision, revision)
}

// countBehind returns the number of linked guards that have not acknowledged the
// last revision sent to them.
func (t *linkTable) countBehind() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, g := range t.links {
		if g.ackedRevision < g.sentRevision {
			n++
		}
	}
	return n
}

// linked returns the current links.
func (t *linkTable) linked() []*guardLink {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*guardLink, 0, len(t.links))
	for _, g := range t.links {
		out = append(out, g)
	}
	return out
}
