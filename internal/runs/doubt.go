package runs

import (
	"time"

	"wigeontray/internal/policy"
)

// A worker that leaves some requests unanswered is called lossy. It leaves Holds unanswered as
// well, so that the end of a run is seen only with the next answered Hold, up to renewInterval
// plus requestTimeout later. Jobs of many short tasks were late for that reason even if each
// start had been answered. After the first unanswered request a guard therefore polls the worker
// more often and with shorter timeouts for lossyPeriod. A worker that answers is polled no more
// often than before.
const (
	// lossyPeriod is how long a worker counts as lossy after an unanswered request.
	lossyPeriod = 2 * time.Second
	// lossyHoldInterval is how long a Hold to a lossy worker waits for a run to end, a quarter
	// of a short run. If the answer is lost, ends go unseen for this time plus
	// lossyRequestTimeout.
	lossyHoldInterval = 15 * time.Millisecond
	// lossyRequestTimeout is the timeout of a request to a lossy worker. If the answer only
	// came late because the guard's processor paused, the request is sent again with the same
	// run number, which has no effect.
	lossyRequestTimeout = 15 * time.Millisecond
)

// recordAnswer marks the worker as lossy if a request was not answered.
func (m *Machine) recordAnswer(now time.Duration, v Verdict) {
	if v != NoAnswer || m.disabled.Has(policy.QuickOrders) {
		return
	}
	if !m.isLossy(now) {
		m.lossySince = now
	}
	m.lossyUntil = now + lossyPeriod
}

// isLossy reports whether the worker is expected to leave requests unanswered.
func (m *Machine) isLossy(now time.Duration) bool { return now < m.lossyUntil }

// Answers are late if the guard or the worker is short of processor time. Treating late answers
// as lost would make a healthy worker unusable for as long as the shortage lasts, so the timeouts
// follow the recent answer delays.
const (
	// answerDelayFactor is the ratio of a timeout to the recent longest answer delay.
	answerDelayFactor = 2
	// answerDelayDecay is the factor by which the longest delay decays with each answer.
	answerDelayDecay = 0.9
	// maxRequestTimeout is the upper limit of a timeout. A few of them fit into a lease.
	maxRequestTimeout = 160 * time.Millisecond
)

// recordAnswerDelay updates the recent longest answer delay of the worker.
func (m *Machine) recordAnswerDelay(delay time.Duration) {
	m.answerDelay = max(delay, time.Duration(answerDelayDecay*float64(m.answerDelay)))
}

// answerTimeout returns the timeout of a request that is sent now.
func (m *Machine) answerTimeout(now time.Duration) time.Duration {
	minTimeout := requestTimeout
	if m.isLossy(now) {
		minTimeout = lossyRequestTimeout
	}
	return min(maxRequestTimeout, max(minTimeout, answerDelayFactor*m.answerDelay))
}

// holdTimeout returns the timeout of a Hold that is sent now. It doubles with each consecutive
// unanswered Hold.
func (m *Machine) holdTimeout(now time.Duration, unanswered int) time.Duration {
	return min(maxRequestTimeout, m.answerTimeout(now)<<min(unanswered, maxUnansweredHolds))
}
