package entry

import (
	"context"
	"slices"
	"time"

	"wigeontray/internal/wire"
)

// entriesPollInterval is how often the list of entries is checked for changes.
const entriesPollInterval = time.Second

// watchEntries sends guards a new Welcome when an entry has joined, and applies the
// policies again when the number of entries changes, because quotas are divided
// among the entries. Entries are replaced one by one: a guard that only had the
// addresses of the entries at its own start would eventually have no link left.
func (s *Server) watchEntries(ctx context.Context) {
	announced := s.router.Entries()
	ticker := time.NewTicker(entriesPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		current := s.router.Entries()
		if len(current) != len(announced) {
			s.Reconfigure()
		}
		if hasNewEntry(announced, current) {
			s.links.broadcast(&wire.Frame{Welcome: s.newWelcome(wire.Version)})
		}
		announced = current
	}
}

// hasNewEntry reports whether current contains an entry that before does not.
func hasNewEntry(before, current []wire.EntryAddr) bool {
	for _, e := range current {
		if !slices.ContainsFunc(before, func(b wire.EntryAddr) bool { return b.Incarnation == e.Incarnation }) {
			return true
		}
	}
	return false
}

// newWelcome returns a Welcome with this entry's revision and the addresses of all
// entries.
func (s *Server) newWelcome(version int) *wire.Welcome {
	return &wire.Welcome{
		Version:     version,
		Incarnation: s.id,
		Revision:    s.config.Revision(),
		Entries:     s.router.Entries(),
		Software:    s.opts.Software,
	}
}
