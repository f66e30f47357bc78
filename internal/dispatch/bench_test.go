package dispatch

import (
	"fmt"
	"testing"
	"time"

	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// newLoadedDispatcher returns a dispatcher with n workers, four fifths of whose slots
// are in use, and a queue of ten thousand tasks of 81 teams.
func newLoadedDispatcher(n int) *Dispatcher {
	d := New("ayni/reserva", DefaultPolicy(), testSeed)
	for i := range n {
		d.GuardConnected(epoch, &wire.Hello{
			Incarnation: guardID(i), Worker: fmt.Sprintf("w%d", i), Slots: 8, Domain: fmt.Sprintf("d%d", i%6),
			Load: wire.Load{Seq: 1, Running: 4 + i%5, Slots: 8, Healthy: true},
		})
	}
	for i := range 1000 {
		d.runTimes.Observe(time.Duration(50+i%900) * time.Millisecond)
	}
	for i := range 10_000 {
		due := epoch.Add(time.Duration(i) * time.Millisecond).UnixNano()
		d.queue.Push(fmt.Sprintf("team%d", i%81), 1, sched.Item[*task]{Value: &task{}, Due: due})
	}
	return d
}

var fleetSizes = []int{10, 100, 820, 8200}

// BenchmarkAdmit measures the admission check of a job of ten tasks.
func BenchmarkAdmit(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			d := newLoadedDispatcher(n)
			s := &Spec{ID: JobID{"ayni", "k"}, Team: "team7", Deadline: epoch.Add(time.Hour), Tasks: make([][]byte, 10)}
			b.ReportAllocs()
			for b.Loop() {
				if err := d.admit(epoch, s); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkPlace measures choosing a worker for one task.
func BenchmarkPlace(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			d := newLoadedDispatcher(n)
			t := &task{job: &job{spec: &Spec{}}}
			b.ReportAllocs()
			for b.Loop() {
				if d.chooseWorker(t) == sched.NoWorker {
					b.Fatal("no worker")
				}
			}
		})
	}
}

// BenchmarkTask measures a single-task job from admission through queueing and
// placement to its result.
func BenchmarkTask(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			d := newLoadedDispatcher(n)
			d.queue = sched.Queue[*task]{}
			now, seq := epoch, uint64(1)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				s := &Spec{ID: JobID{"ayni", "k"}, Deadline: now.Add(10 * time.Second), Tasks: make([][]byte, 1)}
				if err := d.Submit(now, s); err != nil {
					b.Fatal(err)
				}
				a := d.Actions()[0]
				seq++
				load := wire.Load{Seq: seq, Running: 4, Slots: 8, Healthy: true}
				d.Result(now, a.Guard, &wire.Result{Ref: a.Start.Ref, RunMs: 100, Load: load})
				d.Tick(now)
				d.Actions()
			}
		})
	}
}

// BenchmarkEventWithParkedTasks measures an event while tasks wait for the only
// worker with an accelerator.
func BenchmarkEventWithParkedTasks(b *testing.B) {
	for _, waiting := range []int{1, 100, 10_000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			d := New("ayni/reserva", DefaultPolicy(), testSeed)
			for i := range 820 {
				d.GuardConnected(epoch, &wire.Hello{
					Incarnation: guardID(i), Worker: fmt.Sprintf("w%d", i), Slots: 8, Accelerator: i / 819,
					Load: wire.Load{Seq: 1, Slots: 8, Healthy: true},
				})
			}
			need := Need{Accelerators: 1}
			s := &Spec{ID: JobID{"ayni", "k"}, Deadline: epoch.Add(time.Hour), Tasks: make([][]byte, waiting+1), Need: need}
			if err := d.Submit(epoch, s); err != nil || d.parkedCount != waiting {
				b.Fatal(err, d.parkedCount)
			}
			seq := uint64(1)
			for b.Loop() {
				seq++
				d.Load(epoch, guardID(0), &wire.Load{Seq: seq, Slots: 8, Healthy: true})
				d.Actions()
			}
		})
	}
}
