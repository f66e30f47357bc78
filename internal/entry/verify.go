package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"sync"

	"wigeontray/internal/record"
	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
)

// keyStatus is the result of checking a guard's key against the current
// configuration.
type keyStatus uint8

const (
	keyUnverified keyStatus = iota // no configuration has been applied yet
	keyVerified
	keyRejected
)

var errWrongKey = errors.New("the key is not one of the member's guard keys")

// openLinkSet holds every link that has sent its Hello, verified or not.
type openLinkSet struct {
	// mu serialises the checks of keys, the actions that follow from them and the
	// removal of links. Otherwise a link that was verified against an older
	// configuration could be activated after a newer one has rejected it. Lock
	// order: mu, then announceMu.
	mu    sync.Mutex
	links map[*guardLink]struct{}
}

// keyStatus checks the key with which a link was opened. A guard receives the tasks
// of the member that it names, so it must hold a key of that member. Otherwise an
// operator with a key of one member could announce an upstream for another member's
// service and read its requests. For a member without guard keys, the fleet key is
// accepted.
func (s *Server) keyStatus(g *guardLink) keyStatus {
	// The revision is read first. In the opposite order, the missing keys of a
	// missing configuration could be mistaken for a record without keys.
	if s.config.Revision() == 0 {
		return keyUnverified
	}
	keys, known := s.config.GuardKeys(record.Owner(g.hello.Service))
	switch {
	case !known && g.dispatcher.Load() != nil:
		// The member was deleted. The guard receives nothing new, and finishes its
		// running tasks.
		return keyVerified
	case len(keys) == 0:
		keys = []record.TokenHash{record.HashToken(s.opts.FleetKey)}
	}
	if containsKey(keys, g.keyHash) {
		return keyVerified
	}
	return keyRejected
}

// containsKey compares with every key in constant time, so that a key cannot be
// guessed byte by byte from the time that a refusal takes.
func containsKey(keys []record.TokenHash, key [sha256.Size]byte) bool {
	matches := 0
	for _, k := range keys {
		matches |= subtle.ConstantTimeCompare(k[:], key[:])
	}
	return matches == 1
}

// verifyLink checks the key of a link and acts on the result: a verified link is
// activated, a rejected one closed. An unverified link stays open, because an entry
// that starts while the store is down can get its configuration only from guards
// that it cannot verify yet. It reports whether this call has activated the link.
func (s *Server) verifyLink(g *guardLink) bool {
	s.openLinks.mu.Lock()
	defer s.openLinks.mu.Unlock()
	if _, ok := s.openLinks.links[g]; !ok {
		return false
	}
	status := s.keyStatus(g)
	if status == keyRejected {
		s.rejectLink(g)
	}
	if status != keyVerified || g.dispatcher.Load() != nil {
		return false
	}
	return s.activateLink(g)
}

// rejectLink closes a link. The state of the tasks in flight on it is unknown, as
// after any lost link.
func (s *Server) rejectLink(g *guardLink) {
	counter := telemetry.LinksRefused
	if g.dispatcher.Load() != nil {
		counter = telemetry.LinksRevoked
	}
	s.metrics.Inc(counter)
	s.log.Warn("guard refused", "guard", g.hello.Incarnation, "service", g.hello.Service, "err", errWrongKey)
	delete(s.openLinks.links, g)
	g.link.Close(errWrongKey.Error())
}

// reverifyLinks checks every link again after a change of the configuration.
func (s *Server) reverifyLinks() {
	for _, g := range s.openLinks.all() {
		if s.verifyLink(g) {
			s.sendConfigOnLink(g)
		}
	}
}

func (t *openLinkSet) add(g *guardLink) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.links[g] = struct{}{}
}

func (t *openLinkSet) all() []*guardLink {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*guardLink, 0, len(t.links))
	for g := range t.links {
		out = append(out, g)
	}
	return out
}

// handleUnverifiedFrame handles the frames that are allowed before the key is
// verified: the sealed configuration, which is authenticated by its seal, and the
// guard's own state.
func (s *Server) handleUnverifiedFrame(g *guardLink, f *wire.Frame) {
	switch {
	case f.Config != nil:
		s.config.ReceiveFromGuard(f.Config)
	case f.Load != nil, f.ConfigAck != nil:
		s.handleUnverifiedUpdate(g, f)
	case f.StopNotice != nil:
		g.link.Close("goodbye")
	default:
		s.metrics.Inc(telemetry.FramesRefused)
	}
}

// handleUnverifiedUpdate applies changes of the guard's state to its Hello, to be
// used when the link is activated.
func (s *Server) handleUnverifiedUpdate(g *guardLink, f *wire.Frame) {
	s.openLinks.mu.Lock()
	defer s.openLinks.mu.Unlock()
	if d := g.dispatcher.Load(); d != nil { // verified in the meantime; the Hello is already in use
		d.handleFrame(g, f)
		return
	}
	g.updateHello(f)
	if f.ConfigAck != nil {
		g.hello.Revision = max(g.hello.Revision, f.ConfigAck.Revision)
	}
}
