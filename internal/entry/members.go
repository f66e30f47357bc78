package entry

import (
	"context"
	"slices"
	"time"

	"wigeontray/internal/wire"
)

// entriesEvery is how often the list of entries is compared with what guards
// were told.
const entriesEvery = time.Second

// followEntries tells guards of entries that have joined since their Welcome,
// and shares the quotas anew when the number of entries changes. Entries are
// replaced one by one; a guard that knew only those of its own start would in
// the end be linked to none of the living.
func (s *Server) followEntries(ctx context.Context) {
	told := s.router.Entries()
	tick := time.NewTicker(entriesEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		now := s.router.Entries()
		if len(now) != len(told) {
			s.Reconfigure()
		}
		if joined(told, now) {
			s.links.broadcast(&wire.Frame{Welcome: s.welcome(wire.Version)})
		}
		told = now
	}
}

// joined tells whether an entry is in now and not in before.
func joined(before, now []wire.EntryAddr) bool {
	for _, e := range now {
		if !slices.ContainsFunc(before, func(b wire.EntryAddr) bool { return b.Incarnation == e.Incarnation }) {
			return true
		}
	}
	return false
}

// welcome is what a guard is told of this entry and the others.
func (s *Server) welcome(version int) *wire.Welcome {
	return &wire.Welcome{
		Version:     version,
		Incarnation: s.id,
		Revision:    s.config.Revision(),
		Entries:     s.router.Entries(),
		Software:    s.opts.Software,
	}
}
