package batch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wigeontray/internal/errkind"
)

// Tick carries out what is due: it expires jobs whose deadline or maximum wait has passed,
// requeues tasks of lost guards, sends heartbeats, drops guards that have stopped sending, and
// ends quarantines.
func (m *Machine) Tick(now time.Duration) {
	m.tickJobs(now)
	m.tickLostRuns(now)
	m.tickGuards(now)
	m.dispatchWaiting(now)
}

// HandleResume answers every job after the entry was suspended. Meanwhile, callers may have left
// and resubmitted their jobs to other entries, which this entry detects only once it has read
// their connections. If it continued such a job, the job would run twice at the same time.
func (m *Machine) HandleResume(now time.Duration) { m.AnswerAll(now, "this entry was frozen") }

// AnswerAll answers every job with WorkerLost. The outcome of a job is unknown unless none of its
// tasks has run.
func (m *Machine) AnswerAll(now time.Duration, reason string) {
	for _, j := range m.jobsInOrder() {
		m.failJob(now, j, errkind.New(errkind.WorkerLost, "%s", reason))
	}
}

// jobsInOrder returns the unanswered jobs in order of arrival.
func (m *Machine) jobsInOrder() []*job {
	return slices.SortedFunc(maps.Values(m.jobs), func(a, b *job) int { return cmp.Compare(a.seq, b.seq) })
}

func (m *Machine) tickJobs(now time.Duration) {
	for _, j := range m.jobsInOrder() {
		switch {
		case now >= j.spec.Deadline:
			m.expireJob(now, j)
		case now >= j.answerDeadline():
			m.failJob(now, j, newRefusal(errkind.Overloaded, m.addJitter(overloadedRetryDelay), "no worker had room in time"))
		}
	}
}

// answerDeadline returns the time at which a job is answered at the latest: its deadline or,
// while none of its tasks was sent, its send deadline. If it were kept longer, it would take room
// from jobs that can still complete in time.
func (j *job) answerDeadline() time.Duration {
	if j.hasSentTasks {
		return j.spec.Deadline
	}
	return min(j.spec.Deadline, j.sendDeadline)
}

// tickLostRuns requeues tasks of lost guards whose runs have certainly ended.
func (m *Machine) tickLostRuns(now time.Duration) {
	if !m.hasLostRuns {
		return
	}
	m.hasLostRuns = false
	for _, r := range m.activeRunsInOrder() {
		if r.endedBy == 0 || now < r.endedBy {
			m.hasLostRuns = m.hasLostRuns || r.endedBy > 0
			continue
		}
		m.deleteRun(r)
		r.step.at[r.guard]--
		r.job.mayHaveRun = true
		r.job.requeueTask(r.step, r.key.Index)
		m.enqueue(r.job)
	}
}

func (m *Machine) tickGuards(now time.Duration) {
	busy := m.busyGuards()
	for _, g := range m.guards {
		if g == nil {
			continue
		}
		if g.isQuarantined && now >= g.quarantinedUntil {
			m.endQuarantine(now, g)
		}
		switch {
		case !busy[g]:
		case now-max(g.lastHeardAt, g.busySince) > m.options.Timing.PeerTimeout:
			m.actions = append(m.actions, Action{Guard: g.id, CloseLink: true})
			m.RemoveGuard(now, g.id)
		case now-g.lastSentAt >= m.options.Timing.BeatInterval:
			m.sendBeat(now, g)
		}
	}
}

// busyGuards returns the guards with active runs. Only these are expected to send heartbeats: a
// guard without runs sends none.
func (m *Machine) busyGuards() map[*guard]bool {
	busy := make(map[*guard]bool)
	for _, r := range m.activeRuns {
		if r.endedBy == 0 {
			busy[r.guard] = true
		}
	}
	return busy
}

// NextTick returns the time at which Tick is next due; 0 for never.
func (m *Machine) NextTick() time.Duration {
	var next time.Duration
	consider := func(t time.Duration) {
		if next == 0 || t < next {
			next = t
		}
	}
	for _, j := range m.jobs {
		consider(j.answerDeadline())
		if j.isHeld && !j.hasSentTasks {
			consider(j.holdUntil)
		}
	}
	for _, r := range m.activeRuns {
		if r.endedBy > 0 {
			consider(r.endedBy)
			continue
		}
		consider(r.guard.lastSentAt + m.options.Timing.BeatInterval)
		consider(max(r.guard.lastHeardAt, r.guard.busySince) + m.options.Timing.PeerTimeout + time.Millisecond)
	}
	for _, g := range m.guards {
		if g != nil && g.isQuarantined {
			consider(g.quarantinedUntil)
		}
	}
	if len(m.queue) > 0 && m.uplink.isHolding {
		consider(m.uplink.nextSendAt())
	}
	if m.advertised.CPU > 0 && m.advertisedCount < len(m.guardByID) {
		consider(m.advertisedAt + m.advertiseInterval())
	}
	return next
}
