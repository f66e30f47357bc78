package rendezvous

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against hashes that differ between releases: entries of two releases would both own a key.
func TestHashesStayTheSame(t *testing.T) {
	var uuid [16]byte
	for i := range uuid {
		uuid[i] = byte(200 + i)
	}
	qt.Check(t, KeyHash("ayni"), qt.Equals, uint64(4136505147913354062))
	qt.Check(t, KeyHash("ayni", "\xff", string(uuid[:])), qt.Equals, uint64(11864892791150419939))
	qt.Check(t, MemberHash("entry-1"), qt.Equals, uint64(15928205854522473667))
	qt.Check(t, Weight(KeyHash("ayni"), MemberHash("entry-1")), qt.Equals, uint64(14667520750971645543))
}
