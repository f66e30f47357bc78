package runs

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/errkind"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// sendWithoutText sends tasks whose text is at another guard.
func (r *rig) sendWithoutText(indexes ...int) {
	r.seq++
	t := &wire.RunTasks{Seq: r.seq, ClockMs: r.now.Milliseconds(), Job: "job", Source: "guard-2", LeftMs: 5000}
	for _, i := range indexes {
		t.Tasks = append(t.Tasks, wire.RunTask{Index: i, Run: 1, Need: sched.Room{CPU: 3000}})
	}
	r.m.Run(r.now, testEntry, t)
}

// fetches counts the texts that are to be fetched.
func fetches(actions []Action) (n int) {
	for _, a := range actions {
		if a.Fetch != nil {
			n++
		}
	}
	return n
}

func (r *rig) fetched(ok bool) { r.m.Fetched(r.now, testEntry, "job", "text", ok) }

// Guards against a text fetched once for each task, or room held beyond it.
func TestTasksBeginOnceTheirTextIsThere(t *testing.T) {
	r := newRig(t)
	r.sendWithoutText(1, 2, 3)
	first := r.actions()
	r.Check(fetches(first), qt.Equals, 1)
	r.Check(sortOut(first).starts, qt.HasLen, 0)
	r.Check(sortOut(first).ends, qt.HasLen, 1)
	r.now += 5 * time.Millisecond
	r.fetched(true)
	actions := r.actions()
	r.Check(sortOut(actions).starts, qt.DeepEquals, []Key{key(1), key(2)})
	for _, a := range actions {
		if a.Start != nil {
			r.Check(a.Start.Text, qt.Equals, "text")
		}
	}
}

// Guards against tasks sent again without the text that was missing.
func TestTasksWhoseTextIsMissingAreGivenBack(t *testing.T) {
	r := newRig(t)
	r.sendWithoutText(1)
	r.actions()
	r.fetched(false)
	got := sortOut(r.actions())
	r.Check(got.starts, qt.HasLen, 0)
	r.Assert(got.ends, qt.HasLen, 1)
	r.Check(got.ends[0].NoText, qt.IsTrue)
	r.Check(got.ends[0].Ran, qt.Equals, errkind.RanNo)
}

// Guards against tasks begun after they were withdrawn while they awaited their text.
func TestTasksThatAwaitTheirTextAreNotBegunInVain(t *testing.T) {
	for name, event := range map[string]func(r *rig){
		"the entry is silent": func(r *rig) { r.pass(testTiming.Permit + 10*time.Millisecond) },
		"its link ends":       func(r *rig) { r.m.LinkDown(r.now, testEntry) },
		"it withdraws them": func(r *rig) {
			r.m.StopJob(r.now, testEntry, &wire.StopRuns{ClockMs: r.now.Milliseconds(), Job: "job"})
		},
		"the guard stops": func(r *rig) { r.m.Drain(r.now) },
		"the worker leaves": func(r *rig) {
			rep := r.report(testWorker, 9)
			rep.Draining = true
			r.m.Heard(r.now, rep)
		},
		"the worker is gone": func(r *rig) { r.m.Left(r.now, testWorker) },
		"their time is over": func(r *rig) { r.pass(6 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.sendWithoutText(1)
			r.actions()
			event(r)
			r.fetched(true)
			got := sortOut(r.actions())
			r.Check(got.starts, qt.HasLen, 0)
			r.Check(r.m.Running(), qt.Equals, 0)
			for _, e := range got.ends {
				r.Check(e.Ran, qt.Equals, errkind.RanNo)
			}
		})
	}
}

// Guards against an entry that learns only from ends that its tasks arrive late.
func TestEntryIsToldAtOnceThatItsTasksComeLate(t *testing.T) {
	r := newRig(t)
	r.send(r.now, 1)
	r.Check(loads(r.actions()), qt.HasLen, 1) // the first ones on a link
	r.now += time.Second
	r.send(r.now, 2)
	r.Check(loads(r.actions()), qt.HasLen, 0)
	r.now += 300 * time.Millisecond
	r.send(r.now-200*time.Millisecond, 3)
	got := loads(r.actions())
	r.Assert(got, qt.HasLen, 1)
	r.Check(got[0].AgeMs, qt.Equals, int64(200))
	r.Check(got[0].Seen, qt.Equals, uint64(3))
}

// loads gives the loads that the entry is told.
func loads(actions []Action) (list []wire.RunLoad) {
	for _, a := range actions {
		if a.Send == nil {
			continue
		}
		switch f := a.Send.Frame; {
		case f.GuardBeat != nil:
			list = append(list, f.GuardBeat.Load)
		case f.RunsEnded != nil:
			list = append(list, f.RunsEnded.Load)
		}
	}
	return list
}
