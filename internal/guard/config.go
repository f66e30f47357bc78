package guard

import (
	"time"

	"wigeontray/internal/identity"
	"wigeontray/internal/record"
	"wigeontray/internal/wire"
)

// maxConfigSendDelay is the time over which guards spread their copies of the
// configuration towards an entry that lags behind. All guards of a fleet see a
// restarted entry at once, and a snapshot can be a megabyte.
const maxConfigSendDelay = 500 * time.Millisecond

// configRevision tells which configuration the guard holds; 0 for none. g.mu is held.
func (g *Guard) configRevision() int64 {
	if g.config == nil {
		return 0
	}
	return g.config.Revision
}

// applyConfig keeps a newer configuration and acknowledges what is in force. An
// entry that restarted from a store that answers from the past sends an older
// one; obeying it would revert what operators were told is accepted.
func (g *Guard) applyConfig(from identity.Incarnation, c *wire.Config) {
	if c.Revision > g.configRevision() {
		g.config = c
		g.applyServicePath(c)
		g.opt.Logger.Info("configuration", "revision", c.Revision)
	}
	g.updateEntryRevision(from, c.Revision)
	if s := g.links[from]; s != nil {
		_ = s.link.Send(&wire.Frame{ConfigAck: &wire.ConfigAck{Revision: g.configRevision()}})
	}
}

// applyServicePath puts the record of the guard's own service in force. A path in the
// settings goes before the record's.
func (g *Guard) applyServicePath(c *wire.Config) {
	guardConfig, err := record.DecodeForGuard(c.Snapshot)
	if err != nil || guardConfig.Service == nil || g.opt.Path != "" {
		return // the path that was in force stays
	}
	g.upstream.path.Store(&guardConfig.Service.Path)
}

// updateEntryRevision notes which configuration an entry holds, and offers it a newer
// one. g.mu is held.
func (g *Guard) updateEntryRevision(from identity.Incarnation, configRevision int64) {
	s := g.links[from]
	if s == nil || configRevision <= s.configRevision {
		return
	}
	s.configRevision = configRevision
	g.scheduleConfigSend(s)
}

// scheduleConfigSend sends the guard's configuration to an entry that holds an older
// one: an entry that starts while the store is out knows none, and would
// refuse or misjudge work that the rest of the fleet serves. g.mu is held.
func (g *Guard) scheduleConfigSend(s *session) {
	if s.configRevision >= g.configRevision() {
		return
	}
	delay := time.Duration(g.rand.Int64N(int64(maxConfigSendDelay)))
	time.AfterFunc(delay, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.links[s.entry] == s && s.configRevision < g.configRevision() {
			s.configRevision = g.configRevision()
			_ = s.link.Send(&wire.Frame{Config: g.config})
		}
	})
}
