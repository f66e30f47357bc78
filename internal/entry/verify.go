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

// verdict is what the configuration in force says of a guard's key.
type verdict uint8

const (
	unverified verdict = iota // no configuration is in force
	verified
	rejected
)

var errWrongKey = errors.New("the key is not one of the member's guard keys")

// greetedTable knows every link that has sent its Hello, verified or not.
type greetedTable struct {
	// mu serialises verdicts with their consequences and with the ends of links:
	// otherwise a link that was verified against an older configuration could be
	// put to use after a newer one has rejected it. It is taken before announceMu.
	mu    sync.Mutex
	links map[*guardLink]struct{}
}

// verdict judges the key with which a link was opened. A guard is handed the
// tasks of the member that it names, so it has to hold a key of that member: a
// rival's operator, who holds a key of his own member, could otherwise announce
// an upstream for another member's service and read its requests. A member that
// lists no key takes the fleet's.
func (s *Server) verdict(g *guardLink) verdict {
	// The revision comes first: read the other way round, no keys of no
	// configuration could be taken for a record that lists none.
	if s.config.Revision() == 0 {
		return unverified
	}
	keys, known := s.config.GuardKeys(record.Owner(g.hello.Service))
	switch {
	case !known && g.lane.Load() != nil:
		// The member was deleted. Nothing new is sent to the guard, and what it
		// runs finishes.
		return verified
	case len(keys) == 0:
		keys = []record.TokenHash{record.HashToken(s.opts.FleetKey)}
	}
	if oneOf(keys, g.key) {
		return verified
	}
	return rejected
}

// oneOf compares with every key in constant time, so that a key cannot be found
// byte by byte from how long a refusal takes.
func oneOf(keys []record.TokenHash, key [sha256.Size]byte) bool {
	found := 0
	for _, k := range keys {
		found |= subtle.ConstantTimeCompare(k[:], key[:])
	}
	return found == 1
}

// verify acts on the verdict: a verified link is put to use, a rejected one
// closed. An unverified one stays: an entry that starts while the store is down
// has no other way to a configuration than guards that it cannot judge yet. It
// tells whether this call put the link to use.
func (s *Server) verify(g *guardLink) bool {
	s.greeted.mu.Lock()
	defer s.greeted.mu.Unlock()
	if _, ok := s.greeted.links[g]; !ok {
		return false
	}
	v := s.verdict(g)
	if v == rejected {
		s.reject(g)
	}
	if v != verified || g.lane.Load() != nil {
		return false
	}
	return s.enlist(g)
}

// reject closes a link. The tasks that it carries are in doubt, as after any
// lost link.
func (s *Server) reject(g *guardLink) {
	c := telemetry.LinksRefused
	if g.lane.Load() != nil {
		c = telemetry.LinksRevoked
	}
	s.metrics.Inc(c)
	s.log.Warn("guard refused", "guard", g.hello.Incarnation, "service", g.hello.Service, "err", errWrongKey)
	delete(s.greeted.links, g)
	g.link.Close(errWrongKey.Error())
}

// verifyAll judges every link again after a change of the configuration.
func (s *Server) verifyAll() {
	for _, g := range s.greeted.all() {
		if s.verify(g) {
			s.shareOnLink(g)
		}
	}
}

func (t *greetedTable) add(g *guardLink) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.links[g] = struct{}{}
}

func (t *greetedTable) all() []*guardLink {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*guardLink, 0, len(t.links))
	for g := range t.links {
		out = append(out, g)
	}
	return out
}

// fromUnverified takes what a link may carry before its key is verified: the
// sealed configuration, which proves itself, and the guard's load.
func (s *Server) fromUnverified(g *guardLink, f *wire.Frame) {
	switch {
	case f.Config != nil:
		s.config.FromGuard(f.Config)
	case f.Load != nil, f.ConfigAck != nil:
		s.noteHello(g, f)
	case f.Goodbye != nil:
		g.link.Close("goodbye")
	default:
		s.metrics.Inc(telemetry.FramesRefused)
	}
}

// noteHello keeps what changed since the Hello, for the moment at which the link
// is put to use.
func (s *Server) noteHello(g *guardLink, f *wire.Frame) {
	s.greeted.mu.Lock()
	defer s.greeted.mu.Unlock()
	if l := g.lane.Load(); l != nil { // verified meanwhile: the hello is in use
		l.receive(g, f)
		return
	}
	g.note(f)
	if f.ConfigAck != nil {
		g.hello.Revision = max(g.hello.Revision, f.ConfigAck.Revision)
	}
}
