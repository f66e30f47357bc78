package guard

import (
	"time"

	"wigeontray/internal/identity"
	"wigeontray/internal/record"
	"wigeontray/internal/wire"
)

// offerSpread is the time over which guards spread their copies of the
// configuration towards an entry that lags behind. All guards of a fleet see a
// restarted entry at once, and a snapshot can be a megabyte.
const offerSpread = 500 * time.Millisecond

// revision tells which configuration the guard holds; 0 for none. g.mu is held.
func (g *Guard) revision() int64 {
	if g.config == nil {
		return 0
	}
	return g.config.Revision
}

// takeConfig keeps a newer configuration and acknowledges what is in force. An
// entry that restarted from a store that answers from the past sends an older
// one; obeying it would revert what operators were told is accepted.
func (g *Guard) takeConfig(from identity.Incarnation, c *wire.Config) {
	if c.Revision > g.revision() {
		g.config = c
		g.obey(c)
		g.opt.Logger.Info("configuration", "revision", c.Revision)
	}
	g.noteRevision(from, c.Revision)
	if s := g.links[from]; s != nil {
		_ = s.link.Send(&wire.Frame{ConfigAck: &wire.ConfigAck{Revision: g.revision()}})
	}
}

// obey puts the record of the guard's own service in force. A path in the
// settings goes before the record's.
func (g *Guard) obey(c *wire.Config) {
	gc, err := record.DecodeForGuard(c.Snapshot)
	if err != nil || gc.Service == nil || g.opt.Path != "" {
		return // the path that was in force stays
	}
	g.upstream.path.Store(&gc.Service.Path)
}

// noteRevision notes which configuration an entry holds, and offers it a newer
// one. g.mu is held.
func (g *Guard) noteRevision(from identity.Incarnation, revision int64) {
	s := g.links[from]
	if s == nil || revision <= s.revision {
		return
	}
	s.revision = revision
	g.offerConfig(s)
}

// offerConfig sends the guard's configuration to an entry that holds an older
// one: an entry that starts while the store is out knows none, and would
// refuse or misjudge work that the rest of the fleet serves. g.mu is held.
func (g *Guard) offerConfig(s *session) {
	if s.revision >= g.revision() {
		return
	}
	delay := time.Duration(g.rand.Int64N(int64(offerSpread)))
	time.AfterFunc(delay, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.links[s.entry] == s && s.revision < g.revision() {
			s.revision = g.revision()
			_ = s.link.Send(&wire.Frame{Config: g.config})
		}
	})
}
