package batch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/policy"
)

// More is asked for than the workers can do. Bookings that were begun in part held
// their room while the rest of them waited behind checks and holds; they ended too late,
// and so did what had waited for that room.
func TestLoadNearFullRoomWastesLittleWithWholeStarts(t *testing.T) {
	for _, ofRoom := range []float64{1.0, 1.25} {
		// Alone: the other rules for shortage keep some of these jobs away.
		served, wasted := meanOf(t, ofRoom, policy.BoundedWait, policy.UrgentOffers)
		before, wastedBefore := meanOf(t, ofRoom, policy.BoundedWait, policy.UrgentOffers, policy.WholeStarts)
		qt.Check(t, served > before+0.08, qt.IsTrue, qt.Commentf("load %.2f: %.3f, %.3f without", ofRoom, served, before))
		qt.Check(t, wasted < 0.7*wastedBefore, qt.IsTrue, qt.Commentf("load %.2f: %.3f, %.3f without", ofRoom, wasted, wastedBefore))
	}
}

// More is asked for than the workers can do. Jobs that waited until the last moment at
// which they could still end in time took their room then, and ended just too late: their
// callers waited, and so did those whose room they took.
func TestLoadNearFullRoomGainsFromRefusingWhatWaitedTooLong(t *testing.T) {
	for _, ofRoom := range []float64{1.0, 1.25} {
		served, wasted := meanOf(t, ofRoom, policy.UrgentOffers)
		before, wastedBefore := meanOf(t, ofRoom, policy.UrgentOffers, policy.BoundedWait)
		qt.Check(t, served > before+0.02, qt.IsTrue, qt.Commentf("load %.2f: %.3f, %.3f without", ofRoom, served, before))
		qt.Check(t, wasted < 0.7*wastedBefore, qt.IsTrue, qt.Commentf("load %.2f: %.3f, %.3f without", ofRoom, wasted, wastedBefore))
	}
}

// At half of the room nobody has to wait, and nearly every request is served in time.
func TestLoadOfHalfTheRoomIsServedInTime(t *testing.T) {
	served, _ := meanOf(t, 0.5)
	qt.Check(t, served > 0.97, qt.IsTrue, qt.Commentf("%.3f", served))
}

// More is asked for than the workers can do. Room that became free went to entries in
// turn, whatever waited there, and was held for tasks that had found a place meanwhile;
// urgent requests waited at one entry while checks were begun at another.
func TestLoadBeyondRoomServesTheMostUrgentFirstAcrossEntries(t *testing.T) {
	inTime := func(off ...policy.Mechanism) float64 {
		return mean(load{ofRoom: 1.6}.results(t, off...), func(r *loadResult) float64 {
			return float64(r.kinds[0].inTime) / float64(r.kinds[0].asked)
		})
	}
	with, without := inTime(), inTime(policy.UrgentOffers)
	qt.Check(t, with > without+0.05, qt.IsTrue, qt.Commentf("%.3f, %.3f without", with, without))
}

// Two of ten workers turn five times slower while there is room to spare. Noticed only by
// the ends of their runs, they went on getting a fifth of the tasks for seconds, and every
// job with one of these was late: a school party waits in the snow for its answer.
func TestLoadWithSlowWorkersIsServedInTime(t *testing.T) {
	missed := func(off ...policy.Mechanism) float64 {
		return 1 - mean(load{ofRoom: 0.5, slow: 2}.results(t, off...), (*loadResult).served)
	}
	with, without := missed(), missed(policy.PaceWatch)
	qt.Check(t, with < 0.6*without, qt.IsTrue, qt.Commentf("%.3f, %.3f without", with, without))
}

// Workers leave one order in twenty unanswered. A guard that asked for the ends of its
// runs got no answer and asked again a tenth of a second later; holds of eight short tasks
// at as many workers were late, and so were those whose start had no answer.
func TestLoadWithUnansweredOrdersIsServedInTime(t *testing.T) {
	missed := func(off ...policy.Mechanism) float64 {
		return 1 - mean(load{ofRoom: 0.5, unanswered: 0.05}.results(t, off...), (*loadResult).served)
	}
	with, without := missed(), missed(policy.QuickOrders)
	qt.Check(t, with < 0.6*without, qt.IsTrue, qt.Commentf("%.3f, %.3f without", with, without))
}

// Guards against workers that count as unusable while a short processor delays their answers.
func TestLoadWithSlowAnswersIsServed(t *testing.T) {
	list := load{ofRoom: 0.3, slowAnswers: 70 * time.Millisecond}.results(t)
	got := mean(list, func(r *loadResult) float64 {
		sum, asked := 0, 0
		for _, k := range r.kinds {
			sum += k.inTime + k.late
			asked += k.asked
		}
		return float64(sum) / float64(asked)
	})
	qt.Check(t, got > 0.9, qt.IsTrue, qt.Commentf("%.3f", got))
}

// What runs on two of ten workers stands still, and both answer as ever. Each run was given
// the time in which a merely slow one would advance, and workers that hang, which have the
// most room, drew new ones meanwhile.
func TestLoadWithWorkersThatHangIsServedInTime(t *testing.T) {
	missed := func(off ...policy.Mechanism) float64 {
		return 1 - mean(load{ofRoom: 0.5, hang: 2}.results(t, off...), (*loadResult).served)
	}
	with, without := missed(), missed(policy.HangWatch)
	qt.Check(t, with < 0.7*without, qt.IsTrue, qt.Commentf("%.3f, %.3f without", with, without))
}
