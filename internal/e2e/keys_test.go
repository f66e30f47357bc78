package e2e

import (
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/record"
)

// nowhere is an upstream that takes no connection.
const nowhere = "http://127.0.0.1:9"

// A rival's operator holds the fleet's key and lets a guard announce Ayni's
// booking service. He must be handed nothing. Ayni then removes the key of its
// own guard, whose VM it has given up, and that guard must get nothing more.
func TestGuardKeysOfMembers(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.fleetKey = f.file("fleet.key", "the key of the whole fleet\n")
	const own = "the key of ayni's guards"
	hash, key := record.HashToken(token), record.HashToken(own)
	fields := `"token_sha256":["%x"],"guard_key_sha256":["%x"]`
	f.amendMember(fmt.Sprintf(fields, hash, key))
	e := f.entry("entry-a")
	f.guardWith("rival", nowhere, f.fleetKey, "")
	f.fleetKey = f.file("ayni.key", own)
	f.worker("worker-1")
	f.eventually("the rival's guard is refused", func() bool {
		return f.counted(e, "wigeontray_links_refused_total")
	})
	f.Assert(f.lists(e, "rival"), qt.IsFalse)
	a := <-f.submitted(caller(e), f.ticket(e), job(10, 3))
	f.Assert(a.Status, qt.Equals, http.StatusOK, qt.Commentf("%s", a.Body))
	f.amendMember(fmt.Sprintf(fields, hash, record.HashToken("another")))
	f.eventually("the guard whose key was removed is shut out", func() bool { return !f.lists(e, "worker-1") })
}

// Somebody on the network runs a guard that knows the fleet's key but has a
// certificate of his own authority. Let in, he would read bookings. The true
// guard is used by both entries, which are linked over TLS: a booking goes
// through either, by HTTPS, also when the other entry owns it.
func TestFleetOverTLS(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.keys = f.certify("keys")
	f.fleetKey = f.file("fleet.key", "the key of the whole fleet")
	a, b := f.entry("entry-a"), f.entry("entry-b")
	f.settled()
	f.Assert(f.counted(a, "wigeontray_tls_handshakes_failed_total"), qt.IsFalse)
	f.guardWith("stranger", nowhere, f.fleetKey, f.certify("others"))
	f.worker("worker-1")
	for _, e := range []*entryProcess{a, b} {
		f.eventually("the stranger's certificate is refused", func() bool {
			return f.counted(e, "wigeontray_tls_handshakes_failed_total")
		})
		f.Assert(f.lists(e, "stranger"), qt.IsFalse)
		ans := <-f.submitted(caller(e), f.ticket(a), job(10, 2))
		f.Assert(ans.Status, qt.Equals, http.StatusOK, qt.Commentf("%s", ans.Body))
	}
	f.Assert(f.counted(b, "wigeontray_jobs_forwarded_total"), qt.IsTrue)
	f.Assert(f.starts(), qt.Equals, 4)
}
