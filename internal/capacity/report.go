package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
	"time"

	"wigeontray/internal/telemetry"
)

// Report is the result of Run. Bytes, frames and segments are the sum of both
// directions, counted at the guards' end of the links.
type Report struct {
	Software string `json:"software"`
	Cores    int    `json:"cores"`
	// InProcess reports whether the entry runs in the same process as the guards and
	// callers, so that its CPU time and memory include theirs.
	InProcess bool   `json:"shared"`
	Sizes     []Size `json:"sizes"`
	Slopes    Slopes `json:"slopes"`
}

// Size contains the measurements for one fleet size.
type Size struct {
	Guards int    `json:"guards"`
	Idle   Idle   `json:"idle"`
	Loads  []Load `json:"loads"`
}

// Idle is the cost of guards without tasks.
type Idle struct {
	Seconds           float64 `json:"seconds"`
	FramesPerGuard    float64 `json:"frames_per_guard_second"`
	BytesPerGuard     float64 `json:"bytes_per_guard_second"`      // bytes at the socket
	WireBytesPerGuard float64 `json:"wire_bytes_per_guard_second"` // including TCP and IP headers
	SegmentsPerGuard  float64 `json:"segments_per_guard_second"`
	EntryCPU          float64 `json:"entry_cpu"` // share of one core
	EntryResident     float64 `json:"entry_resident_bytes"`
	EntryHeap         float64 `json:"entry_heap_live_bytes"`
	EntryStacks       float64 `json:"entry_stack_bytes"`
}

// Load is the cost of tasks.
type Load struct {
	TasksPerJob      int     `json:"tasks_per_job"`
	Seconds          float64 `json:"seconds"`
	Tasks            int64   `json:"tasks"`
	FailedJobs       int64   `json:"failed_jobs"`
	LastFailure      string  `json:"last_failure,omitempty"`
	TasksPerSecond   float64 `json:"tasks_per_second"`
	CPUMicrosPerTask float64 `json:"entry_cpu_us_per_task"`
	FramesPerTask    float64 `json:"frames_per_task"`
	BytesPerTask     float64 `json:"bytes_per_task"`
	WireBytesPerTask float64 `json:"wire_bytes_per_task"`
	SegmentsPerTask  float64 `json:"segments_per_task"`
	JobP50Ms         float64 `json:"job_p50_ms"`
	JobP99Ms         float64 `json:"job_p99_ms"`
	EntryResident    float64 `json:"entry_resident_bytes"`
}

// Slopes contains the least-squares lines over the number of guards.
type Slopes struct {
	IdleCPU          Line   `json:"idle_cpu"`             // share of a core
	IdleWireBytes    Line   `json:"idle_wire_bytes"`      // at the entry, per second
	IdleResident     Line   `json:"idle_resident_bytes"`  // at the entry
	IdleHeap         Line   `json:"idle_heap_live_bytes"` // at the entry
	IdleStacks       Line   `json:"idle_stack_bytes"`     // at the entry
	CPUMicrosPerTask []Line `json:"cpu_us_per_task"`      // one per load
}

func newReport(o *Options) *Report {
	return &Report{Software: telemetry.Version, Cores: runtime.NumCPU(), InProcess: o.Target.InProcess}
}

// newIdle computes the idle cost from the samples around an idle window.
func newIdle(guards int, before, after *sample) *Idle {
	seconds := after.at.Sub(before.at).Seconds()
	t := after.fleet.sub(before.fleet)
	perGuardSecond := func(n int64) float64 { return float64(n) / seconds / float64(guards) }
	return &Idle{
		Seconds:           seconds,
		FramesPerGuard:    perGuardSecond(t.Frames),
		BytesPerGuard:     perGuardSecond(t.Bytes),
		WireBytesPerGuard: perGuardSecond(t.wireBytes()),
		SegmentsPerGuard:  perGuardSecond(t.Segments),
		EntryCPU:          (after.entry.CPU - before.entry.CPU) / seconds,
		EntryResident:     after.entry.Resident,
		EntryHeap:         after.entry.Heap,
		EntryStacks:       after.entry.Stacks,
	}
}

// newLoad computes the cost of tasks from the samples around a load.
func newLoad(g *loadGenerator, before, after *sample) *Load {
	seconds := after.at.Sub(before.at).Seconds()
	tasks := g.answeredJobs.Load() * int64(g.tasks)
	t := after.fleet.sub(before.fleet)
	perTask := func(n float64) float64 {
		if tasks == 0 {
			return 0
		}
		return n / float64(tasks)
	}
	return &Load{
		TasksPerJob:      g.tasks,
		Seconds:          seconds,
		Tasks:            tasks,
		FailedJobs:       g.failedJobs.Load(),
		LastFailure:      g.lastFailure,
		TasksPerSecond:   float64(tasks) / seconds,
		CPUMicrosPerTask: perTask((after.entry.CPU - before.entry.CPU) * 1e6),
		FramesPerTask:    perTask(float64(t.Frames)),
		BytesPerTask:     perTask(float64(t.Bytes)),
		WireBytesPerTask: perTask(float64(t.wireBytes())),
		SegmentsPerTask:  perTask(float64(t.Segments)),
		JobP50Ms:         milliseconds(g.percentile(0.5)),
		JobP99Ms:         milliseconds(g.percentile(0.99)),
		EntryResident:    after.entry.Resident,
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// fitSlopes computes the lines over the number of guards.
func (r *Report) fitSlopes() {
	line := func(y func(s *Size) float64) Line {
		var xs, ys []float64
		for i := range r.Sizes {
			xs = append(xs, float64(r.Sizes[i].Guards))
			ys = append(ys, y(&r.Sizes[i]))
		}
		return leastSquares(xs, ys)
	}
	r.Slopes = Slopes{
		IdleCPU:       line(func(s *Size) float64 { return s.Idle.EntryCPU }),
		IdleWireBytes: line(func(s *Size) float64 { return s.Idle.WireBytesPerGuard * float64(s.Guards) }),
		IdleResident:  line(func(s *Size) float64 { return s.Idle.EntryResident }),
		IdleHeap:      line(func(s *Size) float64 { return s.Idle.EntryHeap }),
		IdleStacks:    line(func(s *Size) float64 { return s.Idle.EntryStacks }),
	}
	for i := range r.Sizes[0].Loads {
		l := line(func(s *Size) float64 { return s.Loads[i].CPUMicrosPerTask })
		r.Slopes.CPUMicrosPerTask = append(r.Slopes.CPUMicrosPerTask, l)
	}
}

func (r *Report) writeJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(r); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

func (r *Report) writeTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	printf := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format+"\n", args...) } // Flush returns write errors
	printf("wigeontray %s, %d cores, entry in this process: %v\n", r.Software, r.Cores, r.InProcess)
	printf("idle, per guard\tframes/s\tsegments/s\tsocket B/s\twire B/s\tentry core %%\tentry RSS MB\theap MB\tstacks MB\t")
	for _, s := range r.Sizes {
		idle := s.Idle
		printf("%d guards\t%.3f\t%.3f\t%.2f\t%.2f\t%.3f\t%.1f\t%.1f\t%.1f\t", s.Guards, idle.FramesPerGuard, idle.SegmentsPerGuard,
			idle.BytesPerGuard, idle.WireBytesPerGuard, 100*idle.EntryCPU, idle.EntryResident/megabyte, idle.EntryHeap/megabyte, idle.EntryStacks/megabyte)
	}
	printf("\t\t\t\t\t\t\t\t\t")
	printf("load\ttasks/job\ttasks/s\tfailed jobs\tentry us/task\tframes/task\tsocket B/task\twire B/task\tjob p50 ms\tjob p99 ms\t")
	for _, s := range r.Sizes {
		for _, l := range s.Loads {
			printf("%d guards\t%d\t%.0f\t%d\t%.1f\t%.2f\t%.0f\t%.0f\t%.2f\t%.2f\t", s.Guards, l.TasksPerJob, l.TasksPerSecond,
				l.FailedJobs, l.CPUMicrosPerTask, l.FramesPerTask, l.BytesPerTask, l.WireBytesPerTask, l.JobP50Ms, l.JobP99Ms)
		}
	}
	r.writeFailures(printf)
	r.writeSlopes(printf)
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// writeFailures writes the latest error answer of each load with failed jobs, as
// the tasks of those jobs are not part of the values above.
func (r *Report) writeFailures(printf func(format string, args ...any)) {
	for _, s := range r.Sizes {
		for _, l := range s.Loads {
			if l.FailedJobs > 0 {
				printf("\n%d guards, %d tasks a job, last failure: %s", s.Guards, l.TasksPerJob, l.LastFailure)
			}
		}
	}
}

const (
	megabyte        = 1e6
	maxFailureBytes = 300 // maximum length of an error answer in the report
)

// writeSlopes writes the fitted lines and their values at 820 guards.
func (r *Report) writeSlopes(printf func(format string, args ...any)) {
	s := &r.Slopes
	printf("\t\t\t\t")
	printf("line over guards\tat 0\tper guard\tat 820\t")
	row := func(name, unit string, scale float64, l Line) {
		printf("%s\t%.3f\t%.6f\t%.3f\t%s", name, scale*l.Intercept, scale*l.Slope, scale*l.valueAt(820), unit)
	}
	row("idle processor time", "% of a core", 100, s.IdleCPU)
	row("idle traffic", "KB/s", 1e-3, s.IdleWireBytes)
	row("idle resident memory", "MB", 1/megabyte, s.IdleResident)
	row("idle live heap", "MB", 1/megabyte, s.IdleHeap)
	row("idle stacks", "MB", 1/megabyte, s.IdleStacks)
	for i, l := range s.CPUMicrosPerTask {
		row(fmt.Sprintf("processor time, %d tasks a job", r.Sizes[0].Loads[i].TasksPerJob), "us/task", 1, l)
	}
}
