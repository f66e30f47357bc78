package identity

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestTicketRoundTrip(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_790_000_000_123)
	k := NewTicket("entry-a-01", now)
	got, err := Parse(k.Text)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, k)
	c.Assert(got.BirthMs, qt.Equals, now.UnixMilli())
}

func TestParseRejectsMalformedKeys(t *testing.T) {
	for _, text := range []string{
		"", "booking-7", "9b2d0f2e-55aa-4a51-8f1d-0a7c5f1d8a11",
		".0190a5d0-0000-7000-8000-000000000000", "UPPER.0190a5d0-0000-7000-8000-000000000000",
		"0190A5D0-0000-7000-8000-000000000000",
	} {
		_, err := Parse(text)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", text))
	}
}
