package guard

import (
	"time"

	"wigeontray/internal/identity"
	"wigeontray/internal/record"
	"wigeontray/internal/wire"
)

// maxConfigSendDelay is the upper bound of the random delay before a guard sends
// its configuration to an entry with an older one. All guards of a fleet link to
// a restarted entry at the same time, and a snapshot can be a megabyte.
const maxConfigSendDelay = 500 * time.Millisecond

// configRevision returns the revision of the guard's configuration, or 0 if it
// has none. g.mu is held.
func (g *Guard) configRevision() int64 {
	if g.config == nil {
		return 0
	}
	return g.config.Revision
}

// applyConfig stores and applies c if it is newer than the current
// configuration, and acknowledges the revision in force. An entry that restarts
// from a store that serves stale reads sends an older configuration; applying it
// would revert changes that operators saw accepted. g.mu is held.
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

// applyServicePath sets the upstream's path from the record of the guard's
// service. A path in Options takes precedence over the record's.
func (g *Guard) applyServicePath(c *wire.Config) {
	guardConfig, err := record.DecodeForGuard(c.Snapshot)
	if err != nil || guardConfig.Service == nil || g.opt.Path != "" {
		return // keep the current path
	}
	g.upstream.path.Store(&guardConfig.Service.Path)
}

// updateEntryRevision records the revision of an entry's configuration, and
// schedules sending the guard's own if that is newer. g.mu is held.
func (g *Guard) updateEntryRevision(from identity.Incarnation, configRevision int64) {
	s := g.links[from]
	if s == nil || configRevision <= s.configRevision {
		return
	}
	s.configRevision = configRevision
	g.scheduleConfigSend(s)
}

// scheduleConfigSend sends the guard's configuration after a random delay if the
// entry's is older. An entry that starts while the store is unavailable has no
// configuration, and would reject or mishandle requests that the rest of the
// fleet serves. g.mu is held.
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
