package batch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// shiftWindow is the length of the windows by which the results after a shift of the mix are
// evaluated.
const shiftWindow = time.Second

// seasonalMix is the mix of another season: bookings dominate and have more and shorter tasks,
// and callers still estimate an earlier run time for checks, which is too short by half.
func seasonalMix() []requestKind {
	mix := ticketMix()
	hold, booking, check := &mix[0], &mix[1], &mix[2]
	hold.share, hold.medianRunTime = 12, 90*time.Millisecond
	booking.share, booking.tasks, booking.medianRunTime = 16, 7, 500*time.Millisecond
	check.share, check.estimateDivisor = 60, 2
	return mix
}

// servedByWindow returns the share served in time in each window after the shift.
func servedByWindow(list []*loadResult) []float64 {
	shares := make([]float64, len(list[0].shifted))
	for i := range shares {
		inTime, arrivals := 0, 0
		for _, r := range list {
			inTime += r.shifted[i].inTime
			arrivals += r.shifted[i].arrivals
		}
		shares[i] = float64(inTime) / float64(max(1, arrivals))
	}
	return shares
}

// Guards against decisions that rely on outdated observations: two seconds after a shift of mix,
// run times, fan-out and estimates, as many requests are served in time as later on.
func TestLoadThatShiftsIsServedAsWellTwoSecondsLater(t *testing.T) {
	const adaptTime = 2 * time.Second
	shares := servedByWindow(load{offeredLoad: 0.8, mixAfterShift: seasonalMix()}.resultsWithSeeds(t, 4))
	first := int(adaptTime / shiftWindow)
	last := shares[first : len(shares)-1] // the last window is empty
	t.Logf("served in time by window: %.2f", shares)
	mean := 0.0
	for _, share := range last {
		mean += share / float64(len(last))
	}
	qt.Check(t, last[0] >= 0.9*mean, qt.IsTrue, qt.Commentf("%.3f of %.3f", last[0], mean))
}
