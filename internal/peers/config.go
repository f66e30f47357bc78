package peers

import (
	"time"

	"wigeontray/internal/wire"
)

// configPatience is how long a peer's newer configuration is awaited from the
// store before the peer is asked for it: as a rule the store delivers it to
// both, and the snapshot need not travel twice.
const configPatience = time.Second

// ConfigChanged tells the peers which revision is in force here.
func (p *Peers) ConfigChanged() {
	p.broadcast(&wire.Frame{ConfigAck: &wire.ConfigAck{Revision: p.opt.Revision()}})
}

// sendConfigIfNewer sends the snapshot to a peer that said it has an older one.
func (p *Peers) sendConfigIfNewer(l *peerLink) {
	if l.revision.Load() >= p.opt.Revision() {
		return
	}
	if c := p.opt.Config(); c != nil {
		_ = l.link.Send(&wire.Frame{Config: c})
	}
}

// askConfig asks a peer for its newer configuration by naming the older one in
// force here. The caller holds mu.
func (p *Peers) askConfig(now time.Time) {
	revision := p.opt.Revision()
	for _, l := range *p.links.Load() {
		switch {
		case l.revision.Load() <= revision:
			l.behindMs = 0
		case l.behindMs == 0:
			l.behindMs = now.UnixMilli()
		case now.UnixMilli()-l.behindMs >= configPatience.Milliseconds():
			l.behindMs = 0
			_ = l.link.Send(&wire.Frame{ConfigAck: &wire.ConfigAck{Revision: revision}})
		}
	}
}
