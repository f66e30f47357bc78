package batchnode

import (
	"errors"
	"net/netip"
	"testing"
)

// Guards against a stored value being accepted that does not describe a usable worker.
func FuzzSavedState(f *testing.F) {
	for _, seed := range []string{``, `{}`, `[]`, `{"ID":7}`, `{"ID":"i-1","ClockMs":1,"Service":"s","Domain":"z","Capacity":{"CPU":1,"MemoryMB":1}}`,
		`{"ID":"i-1","ClockMs":1,"Service":"s","Domain":"z","Capacity":{"CPU":1,"MemoryMB":1},"Entries":["10.0.0.1:8166"]}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		state, err := decodeState(value)
		switch {
		case err == nil && state.Check() != nil:
			t.Errorf("accepted %+v", state)
		case err != nil && !errors.Is(err, ErrUnexpectedForm):
			t.Errorf("%v", err)
		}
	})
}

// Guards against a listed value being dialed that is not an IP address with a port.
func FuzzListedAddress(f *testing.F) {
	for _, seed := range []string{``, `10.0.0.1:8166`, `[::1]:1`, `10.0.0.1:0`, `entry:1`, `0.0.0.0:1`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		if validateAddress(value) != nil {
			return
		}
		if a, err := netip.ParseAddrPort(string(value)); err != nil || a.Port() == 0 {
			t.Errorf("accepted %q", value)
		}
	})
}
