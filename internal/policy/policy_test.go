package policy

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestParseReadsMechanismNames(t *testing.T) {
	for _, m := range All() {
		s, err := Parse(m.String())
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, s, qt.Equals, Of(m))
		qt.Check(t, s.Has(m), qt.IsTrue)
	}
	s, err := Parse("offers,whole-starts")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, s, qt.Equals, Of(Offers, WholeStarts))
	qt.Check(t, s.Has(Quarantine), qt.IsFalse)
}

// Guards against a misspelt name in an ablation build, whose figures would be attributed
// to a mechanism that was still enabled.
func TestUnknownMechanismIsAnError(t *testing.T) {
	_, err := Parse("offers,ofers")
	qt.Check(t, err, qt.ErrorMatches, `unknown mechanism "ofers"`)
}

func TestNoMechanismIsDisabledByDefault(t *testing.T) {
	qt.Check(t, Linked(), qt.Equals, Set(0))
}
