package entry

import (
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/errkind"
	"wigeontray/internal/record"
	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
)

func guardKeys(texts ...string) []record.TokenHash {
	var out []record.TokenHash
	for _, t := range texts {
		out = append(out, record.HashToken(t))
	}
	return out
}

// setGuardKeys applies a configuration with the given guard keys of ayni and
// leeuwin.
func (e *testEntry) setGuardKeys(byMember map[string][]record.TokenHash) {
	e.config.guardKeys = byMember
	e.config.revision++
	e.server.configChanged()
	synctest.Wait()
}

// Protects against a guard that announces another member's service with its own
// member's key or the fleet key: it would receive that member's requests, and could
// answer them without running them.
func TestGuardKeyOfAnotherMemberIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		e.config.guardKeys = map[string][]record.TokenHash{"ayni": guardKeys("ayni-key"), "leeuwin": guardKeys("leeuwin-key")}
		e.Assert(isClosed(e.linkGuardOf("leeuwin/clubcast", "guard-2", "leeuwin-key", 8)), qt.IsFalse)
		for _, key := range []string{"leeuwin-key", "fleet", "", "ayni-ke"} {
			e.Assert(isClosed(e.linkGuardOf("ayni/reserva", "guard-1", key, 8)), qt.IsTrue, qt.Commentf("key %q", key))
		}
		e.Assert(e.server.Guards(), qt.HasLen, 1)
		e.Assert(e.server.metrics.Count(telemetry.LinksRefused), qt.Equals, int64(4))
		w := <-e.submit("ayni", e.newTicket(), testSubmission)
		e.Assert(decodeJob(e, w.Body.Bytes()).Error.Kind, qt.Equals, errkind.NoWorkers.String())
		own := e.linkGuardOf("ayni/reserva", "guard-3", "ayni-key", 8)
		e.assertServesThrough(own)
	})
}

// Guards against disruption by a key rotation: both keys are listed, then the old one is removed
// while a guard that still uses it runs a task. Its link must be closed, the caller told that the
// outcome is unknown, and the other guard kept in use.
func TestGuardKeyRotation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		e.config.guardKeys = map[string][]record.TokenHash{"ayni": guardKeys("old", "new")}
		old := e.linkGuardOf("ayni/reserva", "guard-1", "old", 1)
		answer := e.submit("ayni", e.newTicket(), testSubmission)
		e.recvFrame(old)
		renewed := e.linkGuardOf("ayni/reserva", "guard-2", "new", 1)
		e.setGuardKeys(map[string][]record.TokenHash{"ayni": guardKeys("new")})
		e.Assert(isClosed(old), qt.IsTrue)
		e.Assert(isClosed(renewed), qt.IsFalse)
		e.Assert(e.server.metrics.Count(telemetry.LinksRevoked), qt.Equals, int64(1))
		j := decodeJob(e, (<-answer).Body.Bytes())
		e.Assert(j.Error.Kind, qt.Equals, errkind.WorkerLost.String())
		e.Assert(j.Error.Ran, qt.Equals, "unknown")
		e.assertNoFrame(renewed)
	})
}

// Protects against using guards before their keys can be checked: an entry that
// starts while the store is down may only accept the sealed configuration and the
// state of a guard, or another member's guard would receive the first jobs.
func TestGuardsStayUnverifiedWithoutConfig(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		e.config.revision = 0
		own := e.linkGuardOf("ayni/reserva", "guard-1", "ayni-key", 8)
		other := e.linkGuardOf("ayni/reserva", "guard-2", "fleet", 8)
		e.Assert(e.server.Guards(), qt.HasLen, 0)
		e.Assert(e.server.UsableGuards(), qt.Equals, 0)
		e.Assert(other.Send(&wire.Frame{Collected: &wire.Collected{Member: "ayni"}}), qt.IsNil)
		e.Assert(own.Send(&wire.Frame{Config: &wire.Config{Revision: 9}}), qt.IsNil)
		e.Assert(own.Send(&wire.Frame{Load: &wire.Load{Seq: 2, Slots: 8, Healthy: true, Draining: true}}), qt.IsNil)
		synctest.Wait()
		e.Assert(e.config.guardOffers, qt.Equals, 1)
		e.Assert(e.server.metrics.Count(telemetry.FramesRefused), qt.Equals, int64(1))
		e.setGuardKeys(map[string][]record.TokenHash{"ayni": guardKeys("ayni-key")})
		e.Assert(isClosed(other), qt.IsTrue)
		e.Assert(e.server.Guards(), qt.HasLen, 1)
		e.Assert(e.server.Guards()[0].Load.Draining, qt.IsTrue)
		e.Assert(e.server.UsableGuards(), qt.Equals, 1)
	})
}

// Protects against broken links when a member without guard keys, whose guards use
// the fleet key, lists the hash of the fleet key together with a new one.
func TestSwitchFromFleetKeyToGuardKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		g := e.linkGuard("guard-1", 8)
		e.setGuardKeys(map[string][]record.TokenHash{"ayni": guardKeys("fleet", "ayni-key")})
		e.Assert(isClosed(g), qt.IsFalse)
		e.setGuardKeys(map[string][]record.TokenHash{"ayni": guardKeys("ayni-key")})
		e.Assert(isClosed(g), qt.IsTrue)
	})
}
