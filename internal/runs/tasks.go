package runs

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/policy"
	"wigeontray/internal/wire"
)

// LinkUp handles a new link to an entry. Demand and offers of an earlier link are dropped.
func (m *Machine) LinkUp(now time.Duration, entry identity.Incarnation) {
	ent := m.entries[entry]
	if ent == nil {
		ent = new(entryState)
		m.entries[entry] = ent
	}
	ent.isLinked, ent.isRetiring, ent.demand, ent.offer, ent.lastSeq, ent.unusedOffers = true, false, wire.RunDemand{}, offer{}, 0, 0
	ent.stated = statedDemand{}
	ent.latestClock, ent.tasksAge = now, 0
}

// LinkDown handles the loss of the link to an entry. Its runs are stopped, because the entry
// may have failed, in which case its callers resend their jobs to another one.
func (m *Machine) LinkDown(now time.Duration, entry identity.Incarnation) {
	ent := m.entries[entry]
	if ent == nil {
		return
	}
	ent.isLinked, ent.demand, ent.offer = false, wire.RunDemand{}, offer{}
	m.stopEntryRuns(now, entry, endWithdrawn(errkind.Cancelled))
	m.removeIdleEntry(entry)
}

// Run handles a frame with tasks from an entry. Tasks that do not fit into the free capacity
// are refused at once.
func (m *Machine) Run(now time.Duration, from identity.Incarnation, frame *wire.RunTasks) {
	ent := m.entries[from]
	if ent == nil || !ent.isLinked {
		return
	}
	ent.lastSeq, ent.demand, ent.offer, ent.unusedOffers = frame.Seq, frame.Demand, offer{}, 0
	ent.hasStrictOffers = frame.StrictOffers
	ent.stated.record(now, frame.Asked, frame.WaitedMs)
	kind := m.refusalKind(now, ent, frame)
	needsText := false
	for i := range frame.Tasks {
		r := m.acceptTask(now, from, frame, &frame.Tasks[i], kind)
		needsText = needsText || r != nil && r.state == awaitingText
	}
	if needsText {
		m.actions = append(m.actions, Action{Fetch: &Fetch{From: from, Job: frame.Job, Source: frame.Source, Timeout: fetchTimeout}})
	}
}

// lateTasksAge is the age on arrival above which the age of a frame with tasks is sent to its
// entry at once, as it is for the first frame on a link. The entry may be sending more than its
// link can carry, and would otherwise be informed only at the end of a run.
const lateTasksAge = 30 * time.Millisecond

// refusalKind returns the reason why no task of the frame may start, or None. A frame that was
// delayed for longer than Timing.PeerTimeout is refused, because its job may have been resent
// and be running elsewhere.
func (m *Machine) refusalKind(now time.Duration, ent *entryState, frame *wire.RunTasks) errkind.Kind {
	ent.observeClock(frame.ClockMs)
	ent.tasksAge = max(0, now-milliseconds(frame.ClockMs))
	ent.needsLoad = frame.Seq == 1 || ent.tasksAge > lateTasksAge
	switch {
	case now-milliseconds(frame.ClockMs) > m.timing.PeerTimeout:
		return errkind.Fenced
	case frame.LeftMs <= 0:
		return errkind.DeadlineExpired
	case m.instance.mayHaveRestarted:
		return errkind.NoWorkers
	case m.instance.isRecalled && !frame.SelfLimiting:
		return errkind.Busy // the stored capacity may be out of date
	}
	return m.unavailableKind()
}

// unavailableKind returns the reason why the worker accepts no new runs, or None.
func (m *Machine) unavailableKind() errkind.Kind {
	switch {
	case m.worker.Leaving || m.IsDomainDrained():
		return errkind.Draining
	case !m.worker.Usable:
		return errkind.NoWorkers
	}
	return errkind.None
}

// observeClock records the guard's clock that a frame of the entry carried.
func (ent *entryState) observeClock(clockMs int64) {
	ent.latestClock = max(ent.latestClock, milliseconds(clockMs))
}

// acceptTask records a run of the task and requests its start, or refuses the task. kind is the
// reason why the whole frame is refused, or None. The result is nil if the task was refused or
// the run exists already.
func (m *Machine) acceptTask(now time.Duration, from identity.Incarnation, frame *wire.RunTasks, task *wire.RunTask, kind errkind.Kind) *run {
	k := Key{Job: frame.Job, Step: task.Step, Index: task.Index, Run: task.Run}
	if m.runs[k] != nil {
		return nil
	}
	switch {
	case kind != errkind.None:
	case !m.freeCapacityFor(m.entries[from]).CanFit(task.Need):
		kind = errkind.Busy
	case m.hasOtherRun(k), task.Crashes > 0 && m.hasSuspect() && !m.disabled.Has(policy.SuspectsApart):
		kind = errkind.Busy
	}
	if kind != errkind.None {
		m.queueEnd(from, k, endNotRun(kind))
		return nil
	}
	timeLeft := milliseconds(frame.LeftMs)
	r := &run{key: k, entry: from, need: task.Need, text: frame.Text, deadline: now + timeLeft, requestedAt: now, expectedTime: milliseconds(task.ExpectMs), hasMoved: task.Relocated, crashCount: task.Crashes}
	m.addRun(r)
	if frame.Source != "" {
		r.state = awaitingText
	} else {
		m.sendStart(now, r)
	}
	return r
}

// HandleFetchAnswer handles the answer to a Fetch: the text of an entry's job, or ok == false if
// it could not be fetched. The runs that await the text have kept their capacity allocated.
func (m *Machine) HandleFetchAnswer(now time.Duration, from identity.Incarnation, job, text string, ok bool) {
	for _, r := range m.sortedRuns() {
		if r.state != awaitingText || r.entry != from || r.key.Job != job {
			continue
		}
		switch kind := m.unavailableKind(); {
		case !m.isWanted(now, r):
			m.endRun(now, r, endNotRun(errkind.Fenced))
		case !ok:
			end := endNotRun(errkind.Busy)
			end.TextUnavailable = true
			m.endRun(now, r, end)
		case kind != errkind.None:
			m.endRun(now, r, endNotRun(kind))
		case m.isOverCapacity():
			m.endRun(now, r, endNotRun(errkind.Busy))
		default:
			r.state, r.text, r.requestedAt = starting, text, now
			m.sendStart(now, r)
		}
	}
}

func (m *Machine) sendStart(now time.Duration, r *run) {
	r.startAttempts++
	r.lastSentAt = now
	m.extendLease(now)
	m.actions = append(m.actions, Action{Start: &Start{Lease: m.newLease(now), Key: r.key, Text: r.text, Timeout: m.answerTimeout(now)}})
}

// hasOtherRun reports whether another run of the same task may be at this worker.
func (m *Machine) hasOtherRun(k Key) bool {
	for other := range m.runs {
		if other.Job == k.Job && other.Step == k.Step && other.Index == k.Index {
			return true
		}
	}
	return false
}

// StopJob stops all runs of a job of the entry.
func (m *Machine) StopJob(now time.Duration, from identity.Incarnation, frame *wire.StopRuns) {
	if ent := m.entries[from]; ent != nil {
		ent.observeClock(frame.ClockMs)
	}
	for _, r := range m.sortedRuns() {
		if r.key.Job == frame.Job && r.entry == from {
			m.stopRun(now, r, endWithdrawn(errkind.Cancelled))
		}
	}
}

// HandleBeat handles a heartbeat from an entry. The demand in it replaces the earlier one; if the
// pending offer does not fit it, the entry has declined the offer.
func (m *Machine) HandleBeat(now time.Duration, from identity.Incarnation, beat *wire.EntryHeartbeat) {
	if ent := m.entries[from]; ent != nil {
		ent.observeClock(beat.ClockMs)
		ent.takeBackOffer(beat)
		ent.demand, ent.unusedOffers = beat.Demand, 0
		ent.stated.record(now, beat.Asked, beat.WaitedMs)
		if ent.offer.capacity.CPU < max(1, beat.Demand.MinCPU) || beat.Demand.CPU == 0 {
			ent.offer = offer{} // the entry declines the offer
		}
	}
}

func (m *Machine) stopEntryRuns(now time.Duration, entry identity.Incarnation, endAfterStop wire.RunEnd) {
	for _, r := range m.sortedRuns() {
		if r.entry == entry {
			m.stopRun(now, r, endAfterStop)
		}
	}
}

// stopRun stops a run. endAfterStop is reported to its entry once the stop has taken effect. A
// run that still awaits its text ends at once as not run.
func (m *Machine) stopRun(now time.Duration, r *run, endAfterStop wire.RunEnd) {
	switch r.state {
	case stopping:
		return
	case awaitingText:
		m.endRun(now, r, endNotRun(endAfterStop.Kind))
		return
	}
	r.state, r.endAfterStop, r.nextStopAt = stopping, endAfterStop, now
	m.sendStopIfDue(now, r)
}

// sendStopIfDue requests the stop of a run, unless a request is in flight or has been confirmed.
func (m *Machine) sendStopIfDue(now time.Duration, r *run) {
	if r.hasStopInFlight || r.stopConfirmedAt > 0 || now < r.nextStopAt {
		return
	}
	r.hasStopInFlight = true
	lease := m.newLease(now)
	lease.UntilMs = 0
	m.actions = append(m.actions, Action{Stop: &Stop{Lease: lease, Key: r.key, Timeout: m.answerTimeout(now)}})
}

// HandleStartAnswer handles the answer to a Start.
func (m *Machine) HandleStartAnswer(now time.Duration, k Key, a StartAnswer) {
	m.updateClockOffset(now, a.ClockMs)
	m.recordAnswer(now, a.Verdict)
	if a.IsConnLost {
		m.suspectRestart(now)
	}
	r := m.runs[k]
	if r == nil || r.isAccepted {
		return
	}
	if a.Verdict != NoAnswer {
		m.recordAnswerDelay(now - r.lastSentAt)
	}
	if a.Verdict == NoAnswer && r.state == starting && r.startAttempts < maxStartAttempts && m.canRepeatStart(now, r) {
		// Starts are idempotent: the worker recognizes a run that it already has or
		// had. A retry either starts the run or finds it running. A copy that is
		// processed seconds later is refused because of its run number or its lease.
		m.sendStart(now, r)
		return
	}
	if a.Verdict == Done || a.Verdict == Outdated && r.startAttempts > 1 {
		// Outdated after a retry means that an earlier copy of the start was carried
		// out. The answers to Holds show the state or the outcome of the run.
		r.isAccepted, r.acceptedAt, r.advancedAt = true, now, now
		if r.state == starting {
			r.state = running
		}
		return
	}
	if a.Verdict == NoAnswer || r.startAttempts > 1 {
		// The start, or an earlier unanswered copy of it, may have been carried out or
		// may still be. A stop with the same run number ends the run and prevents a
		// later start, so that the task may then run elsewhere.
		m.stopRun(now, r, endWithdrawn(errkind.NotRun))
		return
	}
	m.handleRefusal(now, r, a.Verdict)
}

// canRepeatStart reports whether the unanswered start of a run may be sent again.
func (m *Machine) canRepeatStart(now time.Duration, r *run) bool {
	return m.isWanted(now, r) && !m.IsDomainDrained() && !m.isOverCapacity() && !m.instance.mayHaveRestarted
}

// isWanted reports whether the result of a run may still be needed: its deadline has not passed and
// its entry is not silent. After this process was suspended, an answer may be handled before the Tick
// that stops such runs, when the task may be running elsewhere.
func (m *Machine) isWanted(now time.Duration, r *run) bool {
	return now < r.deadline && !m.isSilent(now, m.entries[r.entry])
}

// isSilent reports whether the newest frame of an entry is too old to execute its tasks.
func (m *Machine) isSilent(now time.Duration, ent *entryState) bool {
	return now-ent.latestClock > m.timing.PeerTimeout
}

// handleRefusal ends a run that the worker has refused.
func (m *Machine) handleRefusal(now time.Duration, r *run, v Verdict) {
	end := endNotRun(errkind.Busy)
	switch v {
	case Outdated:
		end.Renumber = true
	case Malformed:
		end.Kind = errkind.BadRequest
	case FencedOff, WrongInstance:
		end.Kind = errkind.NoWorkers
		m.recordLostControl(now)
	case Unhealthy:
		end.Kind = errkind.UpstreamFailed
	}
	if r.state == stopping && !end.Renumber {
		end.Kind = r.endAfterStop.Kind
	}
	m.endRun(now, r, end)
}

// HandleStopAnswer handles the answer to a Stop. clockMs is the worker's clock, 0 if the answer
// has none.
func (m *Machine) HandleStopAnswer(now time.Duration, k Key, v Verdict, clockMs int64) {
	m.updateClockOffset(now, clockMs)
	m.recordAnswer(now, v)
	r := m.runs[k]
	if r == nil {
		return
	}
	r.hasStopInFlight = false
	switch v {
	case Done, Outdated:
		r.stopConfirmedAt = now
	case WrongInstance:
		m.endRun(now, r, r.endAfterStop)
	default:
		r.nextStopAt = now + requestRetryDelay
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
