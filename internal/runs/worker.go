package runs

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/wire"
)

// life is what is known of the present life of the worker.
type life struct {
	id       string
	seq      int64         // of its newest report
	token    int64         // fencing token of this guard there
	offset   time.Duration // the worker's clock less the guard's, at least
	known    bool          // offset is known
	cursor   int64         // ends up to this number were taken
	acked    int64         // ends up to this number were acknowledged
	leaseEnd time.Duration // when what runs there has ended without another order
	strays   bool          // runs of an earlier guard may be there
	left     bool          // it has announced its end, and may run on for a moment
	recalled bool          // it has not reported to this guard yet
	gone     bool          // nothing has listened at its address since it answered last

	holding  bool // a Hold is under way
	holdSent time.Duration
	holdWait time.Duration // for which it may wait at the worker
	// unverified is how many Holds in a row to verify a new life had no answer.
	unverified int
	holdAt     time.Duration // not before this time
	silent     int           // Holds in a row without an answer
	heard      time.Duration // when the newest Hold was answered
	probe      bool          // ask even though nothing runs
	ackSent    int64         // Ack of the Hold that is under way
}

// Heard takes a worker's report. A report of another life than the present one
// is verified with the worker first: one that was held up on its way may come
// after its sender has crashed and a successor has registered.
func (m *Machine) Heard(now time.Duration, rep *Report) {
	if rep.ID == "" {
		return
	}
	if rep.ID != m.life.id {
		if m.next == nil || m.next.ID != rep.ID || rep.Seq > m.next.Seq {
			r := *rep
			m.next = &r
		}
		m.life.holdAt = min(m.life.holdAt, now)
		m.pumpHold(now)
		return
	}
	if rep.Seq <= m.life.seq {
		return
	}
	m.life.seq, m.life.recalled = rep.Seq, false
	m.noteClock(now, rep.ClockMs)
	before := m.worker
	m.describe(rep)
	m.noteCapacity(now, before.Capacity)
	if m.worker.Capacity != before.Capacity || m.worker.Cold != before.Cold {
		m.announce(now)
	}
	if rep.Draining && !m.worker.Leaving {
		m.worker.Leaving, m.worker.Usable = true, false
		m.announce(now)
	}
	if m.life.silent >= silentHolds {
		m.life.probe = true
		m.life.holdAt = min(m.life.holdAt, now)
		m.pumpHold(now)
	}
}

// describe takes over what may change in one life.
func (m *Machine) describe(rep *Report) {
	m.worker.Service, m.worker.Domain = rep.Service, rep.Domain
	m.worker.Rack, m.worker.Labels = rep.Rack, rep.Labels
	m.worker.Capacity, m.worker.Cold = rep.Capacity, rep.Cold
}

// Left notes that a worker ends, as it has just announced. What runs there may go on
// for as long as the worker takes to end: a task that was started elsewhere at once
// ran twice for that time. Its lease is not renewed any more, and its runs are given
// back when the worker lists them as ended, a successor answers at its address, or the
// lease is over.
func (m *Machine) Left(now time.Duration, id string) {
	if m.next != nil && m.next.ID == id {
		m.next = nil
	}
	if id == "" || id != m.life.id {
		return
	}
	m.life.left = true
	m.worker.Leaving, m.worker.Usable = true, false
	m.announce(now)
	for _, r := range m.inOrder() {
		m.stop(now, r, wire.RunEnd{Kind: errkind.WorkerLost, Ran: errkind.RanYes})
	}
	m.endLeft(now)
}

// endLeft ends the life of a worker that has left once nothing of it can run.
func (m *Machine) endLeft(now time.Duration) {
	if !m.life.left || len(m.runs) > 0 && now < m.life.leaseEnd {
		return
	}
	m.endLife(now)
	m.announce(now)
}

// endLife ends the books of a life that is over: nothing of it runs any more.
func (m *Machine) endLife(now time.Duration) {
	m.letGo(now, m.unannounced())
	m.life = life{}
	m.worker = wire.RunWorker{Leaving: m.leaving}
}

// lostControl notes that the worker obeys somebody else or is another one. Its next
// report brings it back.
func (m *Machine) lostControl(now time.Duration) {
	m.setUsable(now, false)
	m.life.probe = true
}

// adopt begins the life that has answered a verifying Hold.
func (m *Machine) adopt(now time.Duration, a *HoldAnswer) {
	rep, token := m.next, m.life.token
	m.next = nil
	m.endLife(now)
	m.life = life{id: rep.ID, seq: rep.Seq, token: token, recalled: rep.Recalled, heard: now}
	m.worker = wire.RunWorker{ID: rep.ID, Leaving: m.leaving || rep.Draining}
	m.describe(rep)
	m.noteClock(now, a.ClockMs)
	for _, e := range a.Ended {
		m.life.cursor = max(m.life.cursor, e.Number)
	}
	m.stopStrays(now, a.Active)
	m.life.probe = m.life.strays
	m.worker.Usable = !m.life.strays && !m.worker.Leaving && !m.Drained()
	m.announce(now)
}

// stopStrays ends runs that this guard did not start: an earlier guard did, and
// its entries take them for ended once the lease time has passed.
func (m *Machine) stopStrays(now time.Duration, active []Active) {
	m.life.strays = false
	for _, a := range active {
		if m.runs[a.Key] != nil {
			continue
		}
		m.life.strays = true
		l := m.leaseFrom(now)
		l.UntilMs = 0
		m.actions = append(m.actions, Action{Stop: &Stop{Lease: l, Key: a.Key, AnswerIn: m.answerIn(now)}})
	}
}

// noteClock learns the worker's clock from an answer or a report. What it says was
// on its way for a while, so that the estimate is not ahead of the worker when it
// comes. Only the newest word counts: a clock that is 2% slow falls behind an older
// one, and a lease computed from that would end later than this guard believes.
func (m *Machine) noteClock(now time.Duration, clockMs int64) {
	if clockMs == 0 {
		return
	}
	m.life.offset = milliseconds(clockMs) - now
	m.life.known = true
}

// leaseFrom gives what an order sent now carries.
func (m *Machine) leaseFrom(now time.Duration) Lease {
	l := Lease{Worker: m.life.id, Token: m.life.token}
	if m.life.known {
		l.UntilMs = (now + m.life.offset + m.timing.Lease).Milliseconds()
	}
	return l
}

// noteOrder notes that an order with a lease goes out now.
func (m *Machine) noteOrder(now time.Duration) {
	m.life.leaseEnd = max(m.life.leaseEnd, now+m.timing.Lease+clockSlack)
}
