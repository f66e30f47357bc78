package batch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"wigeontray/internal/policy"
	"wigeontray/internal/runs"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// dispatchWaiting sends the waiting tasks that fit, in queue order, as far as the uplink permits.
func (m *Machine) dispatchWaiting(now time.Duration) {
	m.uplink.isHolding = false
	if len(m.queue) == 0 {
		return
	}
	maxFree := m.maxFreeCPU()
	for i := 0; i < len(m.queue); {
		j := m.queue[i]
		if !m.uplink.canSend(now) {
			return
		}
		j.hasTriedPlacement, j.isHeld = true, false
		if maxFree > 0 && m.canStart(j, maxFree) && m.placeJob(now, j, maxFree) {
			maxFree = m.maxFreeCPU()
		}
		if j.waiting == 0 {
			m.queue = slices.Delete(m.queue, i, i+1)
		} else {
			i++
		}
	}
}

// recentPriorityAge is how long the most urgent priority of a service's jobs is kept. It is
// longer than the gaps between requests of a type that arrives once every few seconds.
const recentPriorityAge = 10 * time.Second

// recentPriority is the most urgent priority among a service's recent jobs.
type recentPriority struct {
	priority int
	seenAt   time.Duration // arrival of the latest job with this priority
}

// recordPriority updates the most urgent recent priority of a job's service.
func (m *Machine) recordPriority(now time.Duration, q *Queue) {
	recent, exists := m.recentPriorities[q.Service]
	if !exists || q.Priority <= recent.priority || now-recent.seenAt > recentPriorityAge {
		m.recentPriorities[q.Service] = recentPriority{priority: q.Priority, seenAt: now}
	}
}

// maxWholeStartShare is the share of a service's capacity up to which a job waits for room for
// all its tasks. A larger job might never find that much room at once.
const maxWholeStartShare = 0.25

// canStart reports whether a job's waiting tasks may be sent. A job that more urgent jobs may
// overtake starts only if there is room for all of its waiting tasks. If it started in part, it
// would occupy that room while its other tasks wait behind all more urgent ones, and would end
// too late. A job that has not started can still be refused as not run.
//
// maxFree is the largest free CPU of any worker. Most jobs in a long queue have no task that
// small and are skipped without a scan of the workers, which would otherwise take place at each
// event in a full fleet.
func (m *Machine) canStart(j *job, maxFree int64) bool {
	q := j.spec.Queue
	if j.hasSentTasks || !j.isOverShare && q.Priority <= m.recentPriorities[q.Service].priority || m.options.Disabled.Has(policy.WholeStarts) {
		return true
	}
	for i := range j.steps {
		s := &j.steps[i]
		if len(s.waiting) > 0 && (s.spec.Need.CPU > maxFree || !m.canPlaceAll(q, s)) {
			return false
		}
	}
	return true
}

// canPlaceAll reports whether there is room now for all waiting tasks of a step, or for as many
// as maxWholeStartShare of the service's capacity holds.
func (m *Machine) canPlaceAll(q *Queue, s *step) bool {
	required := len(s.waiting)
	if s.spec.Need.CPU > 0 {
		capacity, _ := m.serviceCPU(q.Service)
		required = min(required, max(1, int(maxWholeStartShare*float64(capacity))/int(s.spec.Need.CPU)))
	}
	req := taskRequirements(q, s.spec)
	return sched.CountPlacements(m.workers, &req, cmp.Or(s.spec.PerWorker, required), required) >= required
}

// taskRequirements returns the placement requirements of a step's tasks.
func taskRequirements(q *Queue, s *Step) sched.TaskRequest {
	return sched.TaskRequest{Service: q.Service, Need: s.Need, Label: s.Label, Priority: q.Priority}
}

// maxFreeCPU returns the largest free CPU of any usable worker, in thousandths of a core. No task
// that needs more can be placed.
func (m *Machine) maxFreeCPU() int64 {
	maxFree := int64(0)
	for i := range m.workers {
		if w := &m.workers[i]; w.State == sched.Usable {
			maxFree = max(maxFree, w.Free.CPU)
		}
	}
	return maxFree
}

// placeJob sends those of a job's waiting tasks that fit, in one frame for each guard, and
// reports whether it sent any.
func (m *Machine) placeJob(now time.Duration, j *job, maxFree int64) bool {
	var batches []*guardBatch
	for i := range j.steps {
		s := &j.steps[i]
		if len(s.waiting) > 0 && s.spec.Need.CPU <= maxFree {
			batches = m.placeStep(now, j, s, batches)
		}
	}
	for _, b := range batches {
		m.sendBatch(now, j, b)
	}
	return len(batches) > 0
}

// guardBatch holds the tasks of one job that are sent to one guard in one frame.
type guardBatch struct {
	guard *guard
	tasks []wire.RunTask
}

// placeStep assigns a step's waiting tasks to guards and adds them to the batches.
func (m *Machine) placeStep(now time.Duration, j *job, s *step, batches []*guardBatch) []*guardBatch {
	unplaced, maxSlowness := s.waiting[:0], m.maxSlowness(now, j, s)
	for _, index := range s.waiting {
		at := m.chooseGuard(now, j, s, index, maxSlowness, batches)
		if at == nil {
			unplaced = append(unplaced, index)
			continue
		}
		b := batchFor(&batches, at)
		b.tasks = append(b.tasks, m.startRun(now, j, s, index, at))
	}
	s.waiting = unplaced
	return batches
}

// runTimeMargin is the factor by which a run may take longer than expected: run times vary, and
// callers' estimates are off.
const runTimeMargin = 1.3

// maxSlowness returns the slowness of a worker up to which a step's tasks are expected to end by the
// target time of their job, with some margin.
func (m *Machine) maxSlowness(now time.Duration, j *job, s *step) float64 {
	expected := m.expectedRunTime(j.spec.Queue, s.spec)
	if expected <= 0 || m.options.Disabled.Has(policy.WorkerSpeeds) {
		return math.Inf(1)
	}
	return float64(j.targetEnd-now) / (runTimeMargin * float64(expected))
}

// batchFor returns the batch of a guard, and adds an empty one if there is none.
func batchFor(batches *[]*guardBatch, at *guard) *guardBatch {
	for _, b := range *batches {
		if b.guard == at {
			return b
		}
	}
	b := &guardBatch{guard: at}
	*batches = append(*batches, b)
	return b
}

// chooseGuard returns a guard with room for the task, or nil. On a low-bandwidth link it prefers
// guards that already get tasks of the job, as the job's text is sent to them anyway.
func (m *Machine) chooseGuard(now time.Duration, j *job, s *step, index int, maxSlowness float64, batches []*guardBatch) *guard {
	t := &s.tasks[index]
	req := taskRequirements(j.spec.Queue, s.spec)
	req.Rack, req.MaxSlowness = s.spec.Rack, maxSlowness
	if !m.options.Disabled.Has(policy.OwnDomain) {
		req.Domain = m.options.Domain
	}
	if s.spec.PerWorker > 0 || len(t.avoid) > 0 || t.crashes > 0 {
		req.IsExcluded = func(i int) bool {
			at := m.guards[i]
			return s.spec.PerWorker > 0 && s.at[at] >= s.spec.PerWorker || slices.Contains(t.avoid, at) ||
				t.crashes > 0 && at.suspectRuns > 0 && !m.options.Disabled.Has(policy.SuspectsApart)
		}
	}
	for _, b := range batches {
		if m.uplink.rate == 0 {
			break
		}
		if at := b.guard.position; m.workers[at].CanAccept(&req) && (req.IsExcluded == nil || !req.IsExcluded(at)) {
			return b.guard
		}
	}
	i := sched.BestWorker(m.workers, &req)
	if i == sched.NoWorker || m.holdsForSpeed(now, j, &req, &m.workers[i]) {
		return nil
	}
	return m.guards[i]
}

// holdsForSpeed reports whether a task waits although a worker has room for it: it would end too late there,
// and not on a worker that has no room at present. A job that has not started waits only so long that it can
// still be placed before it is refused.
func (m *Machine) holdsForSpeed(now time.Duration, j *job, req *sched.TaskRequest, w *sched.WorkerView) bool {
	if !w.IsTooSlow(req) || !j.hasSentTasks && now >= j.holdUntil || !sched.HasTimelyWorker(m.workers, req) {
		return false
	}
	j.isHeld = true
	return true
}

// startRun records a new run of a task at a guard and returns the task's description for the
// guard.
func (m *Machine) startRun(now time.Duration, j *job, s *step, index int, at *guard) wire.RunTask {
	t := &s.tasks[index]
	t.runNumber++
	k := runs.Key{Job: j.spec.ID, Step: s.stepIndex, Index: index, Run: t.runNumber}
	m.activeRuns[k] = &activeRun{key: k, job: j, step: s, guard: at, isSuspect: t.crashes > 0}
	if t.crashes > 0 {
		at.suspectRuns++
	}
	j.activeRuns = append(j.activeRuns, m.activeRuns[k])
	s.at[at]++
	j.waiting--
	j.hasSentTasks = true
	w := &m.workers[at.position]
	if w.OwnTasks++; w.OwnTasks == 1 {
		at.busySince = now
	}
	w.Free = w.Free.Minus(s.spec.Need)
	return wire.RunTask{
		Step: s.stepIndex, Index: index, Run: t.runNumber, Need: s.spec.Need,
		ExpectMs: m.expectedRunTime(j.spec.Queue, s.spec).Milliseconds(), Relocated: t.wasRelocated,
		Crashes: t.crashes,
	}
}

// sendBatch sends a batch to its guard, together with the current demand.
func (m *Machine) sendBatch(now time.Duration, j *job, b *guardBatch) {
	g := b.guard
	g.seq++
	var needed sched.Resources
	for i := range b.tasks {
		needed = needed.Plus(b.tasks[i].Need)
	}
	demand := m.demand()
	m.recordStatedDemand(g, demand)
	j.addEvent(Event{At: now, Decision: EventTasksSent, Guard: g.id, Tasks: len(b.tasks), Free: m.workers[g.position].Free.CPU + needed.CPU, Age: now - g.lastHeardAt})
	runTasks := &wire.RunTasks{
		Seq: g.seq, ClockMs: g.estimatedClockMs(now), Job: j.spec.ID,
		LeftMs: (j.spec.Deadline - now).Milliseconds(), Tasks: b.tasks, Demand: demand, Request: j.spec.Request,
		SelfLimiting: j.spec.Queue.SelfLimiting, WaitedMs: m.waitedMs(now), Asked: m.askedFor(now, g),
		StrictOffers: m.needsStrictOffers(g, demand),
	}
	m.addText(j, g, runTasks)
	sent := m.sendFrame(now, g, &wire.Frame{RunTasks: runTasks})
	g.pendingTasks = append(g.pendingTasks, pendingTasks{seq: g.seq, need: needed, sent: sent})
}

// addText adds the job's text to a RunTasks frame. If the text would take long on a low-bandwidth
// link and another guard has it, the frame names that guard as the source instead. The fetch costs
// a round trip between guards, but saves most of the bytes that this entry sends.
func (m *Machine) addText(j *job, g *guard, runTasks *wire.RunTasks) {
	size := len(j.spec.Text)
	if j.packedText != nil {
		size = len(j.packedText.Bytes)
	}
	canShare := m.uplink.transferTime(float64(size)) >= minFetchTransferTime && g.textsAddress != ""
	if canShare && j.textSource != nil && m.guards[j.textSource.position] == j.textSource {
		runTasks.Source = j.textSource.textsAddress
		return
	}
	if canShare {
		j.textSource, runTasks.Keep = g, true
	}
	if g.readsPackedTexts && j.packedText != nil {
		runTasks.Packed = j.packedText
	} else {
		runTasks.Text = j.spec.Text
	}
}

// minFetchTransferTime is the transfer time of a text on the link from which a fetch between
// guards is worth its round trip. The copies of a job's text are sent one after the other,
// whereas guards fetch it at the same time.
const minFetchTransferTime = 2 * time.Millisecond

// sendFrame issues a frame to a guard and records it on the uplink.
func (m *Machine) sendFrame(now time.Duration, g *guard, f *wire.Frame) sendRecord {
	g.lastSentAt = now
	m.actions = append(m.actions, Action{Guard: g.id, Frame: f})
	return m.uplink.recordSend(now, f)
}
