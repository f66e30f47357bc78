package peers

import (
	"time"

	"wigeontray/internal/wire"
)

// configStoreTimeout is how long this entry waits for the store to deliver a
// configuration that a peer already has, before it requests it from the peer. The
// store normally delivers it to both, and then the snapshot need not be sent again.
const configStoreTimeout = time.Second

// ConfigChanged sends the configuration revision in force here to all peers.
func (p *Peers) ConfigChanged() {
	p.broadcast(&wire.Frame{ConfigAck: &wire.ConfigAck{Revision: p.opt.Revision()}})
}

// sendConfigIfNewer sends the configuration snapshot to a peer that reported an older
// revision.
func (p *Peers) sendConfigIfNewer(l *peerLink) {
	if l.configRevision.Load() >= p.opt.Revision() {
		return
	}
	if c := p.opt.Config(); c != nil {
		_ = l.link.Send(&wire.Frame{Config: c})
	}
}

// requestNewerConfig requests newer configurations from peers by sending them the
// older revision in force here; see sendConfigIfNewer. The caller holds mu.
func (p *Peers) requestNewerConfig(now time.Time) {
	configRevision := p.opt.Revision()
	for _, l := range *p.links.Load() {
		switch {
		case l.configRevision.Load() <= configRevision:
			l.configBehindSinceMs = 0
		case l.configBehindSinceMs == 0:
			l.configBehindSinceMs = now.UnixMilli()
		case now.UnixMilli()-l.configBehindSinceMs >= configStoreTimeout.Milliseconds():
			l.configBehindSinceMs = 0
			_ = l.link.Send(&wire.Frame{ConfigAck: &wire.ConfigAck{Revision: configRevision}})
		}
	}
}
