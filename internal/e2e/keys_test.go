package e2e

import (
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/record"
)

// unreachableURL is the URL of an upstream that accepts no connections.
const unreachableURL = "http://127.0.0.1:9"

// Guards against tasks sent to a guard without the member's own key: a rival's guard that has the
// fleet's key and registers for Ayni's service, and Ayni's own guard after its key was removed,
// as when its VM is decommissioned.
func TestMemberGuardKeys(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.fleetKey = f.file("fleet.key", "the key of the whole fleet\n")
	const memberKey = "the key of ayni's guards"
	hash, key := record.HashToken(memberToken), record.HashToken(memberKey)
	fields := `"token_sha256":["%x"],"guard_key_sha256":["%x"]`
	f.updateMember(fmt.Sprintf(fields, hash, key))
	e := f.startEntry("entry-a")
	f.launchGuard("rival", unreachableURL, f.fleetKey, "")
	f.fleetKey = f.file("ayni.key", memberKey)
	f.startWorker("worker-1")
	f.eventually("the rival's guard is rejected", func() bool {
		return f.isCounterNonZero(e, "wigeontray_links_refused_total")
	})
	f.Assert(f.usesGuard(e, "rival"), qt.IsFalse)
	a := <-f.submitAsync(newClient(e), f.fetchTicket(e), newJob(10, 3))
	f.Assert(a.Status, qt.Equals, http.StatusOK, qt.Commentf("%s", a.Body))
	f.updateMember(fmt.Sprintf(fields, hash, record.HashToken("another")))
	f.eventually("the guard whose key was removed is no longer used", func() bool { return !f.usesGuard(e, "worker-1") })
}

// Guards against accepting a guard that has the fleet's key but a certificate of another CA; it could
// read bookings. Over TLS, both entries must use the genuine guard, and a job must be accepted by
// either entry, also when the other one owns its key.
func TestFleetOverTLS(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.certDir = f.generateCerts("keys")
	f.fleetKey = f.file("fleet.key", "the key of the whole fleet")
	a, b := f.startEntry("entry-a"), f.startEntry("entry-b")
	f.waitForRosters()
	f.Assert(f.isCounterNonZero(a, "wigeontray_tls_handshakes_failed_total"), qt.IsFalse)
	f.launchGuard("stranger", unreachableURL, f.fleetKey, f.generateCerts("others"))
	f.startWorker("worker-1")
	for _, e := range []*entryProcess{a, b} {
		f.eventually("the stranger's certificate is rejected", func() bool {
			return f.isCounterNonZero(e, "wigeontray_tls_handshakes_failed_total")
		})
		f.Assert(f.usesGuard(e, "stranger"), qt.IsFalse)
		ans := <-f.submitAsync(newClient(e), f.fetchTicket(a), newJob(10, 2))
		f.Assert(ans.Status, qt.Equals, http.StatusOK, qt.Commentf("%s", ans.Body))
	}
	f.Assert(f.isCounterNonZero(b, "wigeontray_jobs_forwarded_total"), qt.IsTrue)
	f.Assert(f.countStartedTasks(), qt.Equals, 4)
}
