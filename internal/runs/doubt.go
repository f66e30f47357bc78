package runs

import (
	"time"

	"wigeontray/internal/policy"
)

// A worker that leaves some orders unanswered leaves out Holds as well: the ends of its
// runs are then seen only when the next Hold is answered, up to renewEvery and orderTime
// later. One notices that jobs of many short tasks are late of which no start went
// unanswered. After the first order without an answer a guard therefore asks more often and
// waits less long, for a while; a worker that answers is asked as seldom as before.
const (
	// doubtTime is how long after an order without an answer others may lack one.
	doubtTime = 2 * time.Second
	// doubtWait is how long a Hold then waits for an end, a quarter of a short run. With
	// doubtOrder it is the time for which ends go unseen if its answer is lost.
	doubtWait = 15 * time.Millisecond
	// doubtOrder is when an order counts as unanswered then. One that was answered after
	// all, as the guard's processor paused, is sent again under its number, which does
	// nothing.
	doubtOrder = 15 * time.Millisecond
)

// noteAnswer learns from the answer to an order, or from there being none.
func (m *Machine) noteAnswer(now time.Duration, v Verdict) {
	if v != NoAnswer || m.off.Has(policy.QuickOrders) {
		return
	}
	if !m.doubts(now) {
		m.doubtFrom = now
	}
	m.doubtful = now + doubtTime
}

// doubts tells whether answers of the worker are expected to be missing.
func (m *Machine) doubts(now time.Duration) bool { return now < m.doubtful }

// A guard or a worker whose processor is short answers late. Taken for lost, its answers leave a
// sound worker unusable for as long as that lasts.
const (
	// delayMargin is by how much longer than answers took of late an order may lack one.
	delayMargin = 2
	// delayDecay is what is left of the longest delay with each answer.
	delayDecay = 0.9
	// mostOrder bounds the time for an answer. A few of them fit into a lease.
	mostOrder = 160 * time.Millisecond
)

// noteDelay learns how long the worker took to answer.
func (m *Machine) noteDelay(took time.Duration) {
	m.delay = max(took, time.Duration(delayDecay*float64(m.delay)))
}

// answerIn is when an order that is sent now counts as unanswered.
func (m *Machine) answerIn(now time.Duration) time.Duration {
	least := orderTime
	if m.doubts(now) {
		least = doubtOrder
	}
	return min(mostOrder, max(least, delayMargin*m.delay))
}

// holdIn is the same for a Hold, after some that had no answer: each may take twice as long.
func (m *Machine) holdIn(now time.Duration, unanswered int) time.Duration {
	return min(mostOrder, m.answerIn(now)<<min(unanswered, silentHolds))
}
