package runs

import (
	"time"

	"wigeontray/internal/policy"
)

// A worker that leaves some orders unanswered leaves out Holds as well: the ends of its
// runs are then seen only when the next Hold is answered, up to renewInterval and orderTimeout
// later. One notices that jobs of many short tasks are late of which no start went
// unanswered. After the first order without an answer a guard therefore asks more often and
// waits less long, for a while; a worker that answers is asked as seldom as before.
const (
	// lossyPeriodTimeout is how long after an order without an answer others may lack one.
	lossyPeriodTimeout = 2 * time.Second
	// lossyHoldInterval is how long a Hold then waits for an end, a quarter of a short run. With
	// lossyOrderTimeout it is the time for which ends go unseen if its answer is lost.
	lossyHoldInterval = 15 * time.Millisecond
	// lossyOrderTimeout is when an order counts as unanswered then. One that was answered after
	// all, as the guard's processor paused, is sent again under its number, which does
	// nothing.
	lossyOrderTimeout = 15 * time.Millisecond
)

// recordAnswer learns from the answer to an order, or from there being none.
func (m *Machine) recordAnswer(now time.Duration, v Verdict) {
	if v != NoAnswer || m.disabled.Has(policy.QuickOrders) {
		return
	}
	if !m.isLossy(now) {
		m.lossySince = now
	}
	m.lossyUntil = now + lossyPeriodTimeout
}

// isLossy tells whether answers of the worker are expected to be missing.
func (m *Machine) isLossy(now time.Duration) bool { return now < m.lossyUntil }

// A guard or a worker whose processor is short answers late. Taken for lost, its answers leave a
// sound worker unusable for as long as that lasts.
const (
	// answerDelayFactor is by how much longer than answers took of late an order may lack one.
	answerDelayFactor = 2
	// answerDelayDecay is what is left of the longest delay with each answer.
	answerDelayDecay = 0.9
	// maxOrderTimeout bounds the time for an answer. A few of them fit into a lease.
	maxOrderTimeout = 160 * time.Millisecond
)

// recordAnswerDelay learns how long the worker took to answer.
func (m *Machine) recordAnswerDelay(delay time.Duration) {
	m.answerDelay = max(delay, time.Duration(answerDelayDecay*float64(m.answerDelay)))
}

// answerTimeout is when an order that is sent now counts as unanswered.
func (m *Machine) answerTimeout(now time.Duration) time.Duration {
	minTimeout := orderTimeout
	if m.isLossy(now) {
		minTimeout = lossyOrderTimeout
	}
	return min(maxOrderTimeout, max(minTimeout, answerDelayFactor*m.answerDelay))
}

// holdTimeout is the same for a Hold, after some that had no answer: each may take twice as long.
func (m *Machine) holdTimeout(now time.Duration, unanswered int) time.Duration {
	return min(maxOrderTimeout, m.answerTimeout(now)<<min(unanswered, maxUnansweredHolds))
}
