package limitwatch

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"wigeontray/internal/membudget"
	"wigeontray/internal/telemetry"
)

// Guards against limits that act without a line, and against a line for each of thousands of clients.
func TestLimitsAreLoggedAtALimitedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		b := membudget.New(0)
		Start(b, telemetry.New(), log.New(&out))
		for range 100 {
			qt.Assert(t, b.NewAccount(nil).Grow(membudget.FreeBytes+1), qt.Equals, membudget.ErrExhausted)
			b.CountConnection()
			time.Sleep(99 * time.Millisecond) // no client comes in the moment of a line
		}
		time.Sleep(2 * lineInterval)
		synctest.Wait()
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		qt.Assert(t, lines, qt.HasLen, 3)
		qt.Check(t, lines[0], qt.Contains, "requests_refused=1 connections_closed=")
		qt.Check(t, lines[1], qt.Contains, "requests_refused=50 connections_closed=5")
		qt.Check(t, lines[2], qt.Contains, "requests_refused=49 connections_closed=")
	})
}
