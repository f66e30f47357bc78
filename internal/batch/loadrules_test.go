package batch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/policy"
)

// Guards against jobs that are begun in part and hold their room while the rest of them waits behind more urgent ones.
func TestLoadNearFullRoomWastesLittleWithWholeStarts(t *testing.T) {
	for _, ofRoom := range []float64{1.0, 1.25} {
		// Alone: the other rules for shortage keep some of these jobs away.
		served, wasted := meanOf(t, ofRoom, policy.BoundedWait, policy.UrgentOffers)
		before, wastedBefore := meanOf(t, ofRoom, policy.BoundedWait, policy.UrgentOffers, policy.WholeStarts)
		qt.Check(t, served > before+0.08, qt.IsTrue, qt.Commentf("load %.2f: %.3f, %.3f without", ofRoom, served, before))
		qt.Check(t, wasted < 0.7*wastedBefore, qt.IsTrue, qt.Commentf("load %.2f: %.3f, %.3f without", ofRoom, wasted, wastedBefore))
	}
}

// Guards against jobs that begin at the last moment at which they could end in time, and end just too late.
func TestLoadNearFullRoomGainsFromRefusingWhatWaitedTooLong(t *testing.T) {
	for _, ofRoom := range []float64{1.0, 1.25} {
		served, wasted := meanOf(t, ofRoom, policy.UrgentOffers)
		before, wastedBefore := meanOf(t, ofRoom, policy.UrgentOffers, policy.BoundedWait)
		qt.Check(t, served > before+0.02, qt.IsTrue, qt.Commentf("load %.2f: %.3f, %.3f without", ofRoom, served, before))
		qt.Check(t, wasted < 0.7*wastedBefore, qt.IsTrue, qt.Commentf("load %.2f: %.3f, %.3f without", ofRoom, wasted, wastedBefore))
	}
}

// Guards against waiting and refusals while half of the room is free.
func TestLoadOfHalfTheRoomIsServedInTime(t *testing.T) {
	served, _ := meanOf(t, 0.5)
	qt.Check(t, served > 0.97, qt.IsTrue, qt.Commentf("%.3f", served))
}

// Guards against urgent requests that wait at one entry while less urgent ones begin at another.
func TestLoadBeyondRoomServesTheMostUrgentFirstAcrossEntries(t *testing.T) {
	inTime := func(off ...policy.Mechanism) float64 {
		return mean(load{ofRoom: 1.6}.results(t, off...), func(r *loadResult) float64 {
			return float64(r.kinds[0].inTime) / float64(r.kinds[0].asked)
		})
	}
	with, without := inTime(), inTime(policy.UrgentOffers)
	qt.Check(t, with > without+0.05, qt.IsTrue, qt.Commentf("%.3f, %.3f without", with, without))
}

// Guards against workers that have turned slow and go on getting tasks until their runs end.
func TestLoadWithSlowWorkersIsServedInTime(t *testing.T) {
	missed := func(off ...policy.Mechanism) float64 {
		return 1 - mean(load{ofRoom: 0.5, slow: 2}.results(t, off...), (*loadResult).served)
	}
	with, without := missed(), missed(policy.PaceWatch)
	qt.Check(t, with < 0.6*without, qt.IsTrue, qt.Commentf("%.3f, %.3f without", with, without))
}

// Guards against ends of runs that are seen late, as the worker has left out the answer that told of them.
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

// Guards against workers on which everything stands still and which draw new tasks, as they have the most room.
func TestLoadWithWorkersThatHangIsServedInTime(t *testing.T) {
	missed := func(off ...policy.Mechanism) float64 {
		return 1 - mean(load{ofRoom: 0.5, hang: 2}.results(t, off...), (*loadResult).served)
	}
	with, without := missed(), missed(policy.HangWatch)
	qt.Check(t, with < 0.7*without, qt.IsTrue, qt.Commentf("%.3f, %.3f without", with, without))
}
