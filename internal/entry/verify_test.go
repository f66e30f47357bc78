package entry

import (
	"net/http"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/errkind"
	"wigeontray/internal/record"
	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
)

func keys(texts ...string) []record.TokenHash {
	var out []record.TokenHash
	for _, t := range texts {
		out = append(out, record.HashToken(t))
	}
	return out
}

// change puts guard keys of ayni and leeuwin in force.
func (b *bench) change(byMember map[string][]record.TokenHash) {
	b.config.keys = byMember
	b.config.revision++
	b.s.configChanged()
	synctest.Wait()
}

// A rival's operator runs a guard with his own member's key, or with the fleet's,
// and announces Ayni's booking service. Without a refusal Ayni's bookings would
// be handed to him, and passengers would wait for escorts that nobody sent.
func TestRivalAnnouncesAnothersService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.config.keys = map[string][]record.TokenHash{"ayni": keys("ayni-key"), "leeuwin": keys("leeuwin-key")}
		b.Assert(closed(b.guardOf("leeuwin/clubcast", "guard-2", "leeuwin-key", 8)), qt.IsFalse)
		for _, key := range []string{"leeuwin-key", "fleet", "", "ayni-ke"} {
			b.Assert(closed(b.guardOf("ayni/reserva", "guard-1", key, 8)), qt.IsTrue, qt.Commentf("key %q", key))
		}
		b.Assert(b.s.Guards(), qt.HasLen, 1)
		b.Assert(b.s.metrics.Count(telemetry.LinksRefused), qt.Equals, int64(4))
		w := <-b.post("ayni", b.ticket(), booking)
		b.Assert(decode(b, w.Body.Bytes()).Error.Kind, qt.Equals, errkind.NoWorkers.String())
		own := b.guardOf("ayni/reserva", "guard-3", "ayni-key", 8)
		answer := b.post("ayni", b.ticket(), booking)
		b.ok(own, b.next(own).Start, `1`)
		b.Assert((<-answer).Code, qt.Equals, http.StatusOK)
	})
}

// A guard's key is rotated: both are listed while guards are restarted. Then the
// old one is removed while a guard that still uses it runs a booking. Its link is
// closed, the caller learns that the outcome is unknown, and the other guard goes
// on undisturbed.
func TestGuardKeyIsRotated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.config.keys = map[string][]record.TokenHash{"ayni": keys("old", "new")}
		old := b.guardOf("ayni/reserva", "guard-1", "old", 1)
		answer := b.post("ayni", b.ticket(), booking)
		b.next(old)
		renewed := b.guardOf("ayni/reserva", "guard-2", "new", 1)
		b.change(map[string][]record.TokenHash{"ayni": keys("new")})
		b.Assert(closed(old), qt.IsTrue)
		b.Assert(closed(renewed), qt.IsFalse)
		b.Assert(b.s.metrics.Count(telemetry.LinksRevoked), qt.Equals, int64(1))
		j := decode(b, (<-answer).Body.Bytes())
		b.Assert(j.Error.Kind, qt.Equals, errkind.WorkerLost.String())
		b.Assert(j.Error.Ran, qt.Equals, "unknown")
		b.silent(renewed)
	})
}

// An entry starts while the store is down, so it cannot tell whose guards link to
// it. It takes the sealed configuration from them and nothing else; were a rival's
// guard used before the keys are known, it would get the first bookings.
func TestGuardsBeforeAnyConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.config.revision = 0
		own := b.guardOf("ayni/reserva", "guard-1", "ayni-key", 8)
		rival := b.guardOf("ayni/reserva", "guard-2", "fleet", 8)
		b.Assert(b.s.Guards(), qt.HasLen, 0)
		b.Assert(b.s.Usable(), qt.Equals, 0)
		b.Assert(rival.Send(&wire.Frame{Collected: &wire.Collected{Member: "ayni"}}), qt.IsNil)
		b.Assert(own.Send(&wire.Frame{Config: &wire.Config{Revision: 9}}), qt.IsNil)
		b.Assert(own.Send(&wire.Frame{Load: &wire.Load{Seq: 2, Slots: 8, Healthy: true, Draining: true}}), qt.IsNil)
		synctest.Wait()
		b.Assert(b.config.offers, qt.Equals, 1)
		b.Assert(b.s.metrics.Count(telemetry.FramesRefused), qt.Equals, int64(1))
		b.change(map[string][]record.TokenHash{"ayni": keys("ayni-key")})
		b.Assert(closed(rival), qt.IsTrue)
		b.Assert(b.s.Guards(), qt.HasLen, 1)
		b.Assert(b.s.Guards()[0].Load.Draining, qt.IsTrue)
		b.Assert(b.s.Usable(), qt.Equals, 1)
	})
}

// A small site lists no guard keys and uses the fleet's for its guards too. When
// it lists the fleet key's hash and a new one, no link may break.
func TestFromFleetKeyToGuardKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		g := b.guard("guard-1", 8)
		b.change(map[string][]record.TokenHash{"ayni": keys("fleet", "ayni-key")})
		b.Assert(closed(g), qt.IsFalse)
		b.change(map[string][]record.TokenHash{"ayni": keys("ayni-key")})
		b.Assert(closed(g), qt.IsTrue)
	})
}
