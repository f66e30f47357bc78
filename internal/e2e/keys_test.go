package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/record"
)

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
	f.guardWith("rival", "http://127.0.0.1:9", f.fleetKey)
	f.fleetKey = f.file("ayni.key", own)
	f.worker("worker-1")
	f.eventually("the rival's guard is refused", func() bool {
		return !strings.Contains(f.get(e, "/metrics"), "wigeontray_links_refused_total 0")
	})
	f.Assert(f.lists(e, "rival"), qt.IsFalse)
	a := <-f.submitted(caller(e), f.ticket(e), job(10, 3))
	f.Assert(a.Status, qt.Equals, http.StatusOK, qt.Commentf("%s", a.Body))
	f.amendMember(fmt.Sprintf(fields, hash, record.HashToken("another")))
	f.eventually("the guard whose key was removed is shut out", func() bool { return !f.lists(e, "worker-1") })
}
