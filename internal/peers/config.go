package peers

import (
	"time"

	"wigeontray/internal/wire"
)

// configStoreTimeout is how long a peer's newer configuration is awaited from the
// store before the peer is asked for it: as a rule the store delivers it to
// both, and the snapshot need not travel twice.
const configStoreTimeout = time.Second

// ConfigChanged tells the peers which revision is in force here.
func (p *Peers) ConfigChanged() {
	p.broadcast(&wire.Frame{ConfigAck: &wire.ConfigAck{Revision: p.opt.Revision()}})
}

// sendConfigIfNewer sends the snapshot to a peer that said it has an older one.
func (p *Peers) sendConfigIfNewer(l *peerLink) {
	if l.configRevision.Load() >= p.opt.Revision() {
		return
	}
	if c := p.opt.Config(); c != nil {
		_ = l.link.Send(&wire.Frame{Config: c})
	}
}

// requestNewerConfig asks a peer for its newer configuration by naming the older one in
// force here. The caller holds mu.
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
