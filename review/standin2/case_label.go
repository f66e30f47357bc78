package main

import (
	"errors"
	"fmt"
	"time"
)

// Figures of the case.
const (
	cutTime     = 3 * time.Second         // node_cut, at most 5.5 s
	crashAfter  = 200 * time.Millisecond  // after the begin of the cut
	downTime    = 1500 * time.Millisecond // of the worker
	sendBefore  = 350 * time.Millisecond  // the end of the cut
	quietBefore = 1500 * time.Millisecond // without requests, before the cut
)

// runLabel cuts the machine of a guard and its worker off from the entry. Behind the cut the worker crashes and
// boots as another kind. A task that requires the earlier kind is sent shortly before the end of the cut.
func runLabel(f *fleet, trouble bool) error {
	if err := f.setConfig(1, 8000, true); err != nil {
		return err
	}
	entry, err := f.startEntry("entry-1", "zone-a")
	if err != nil {
		return err
	}
	changing, err := f.startSide("1", "zone-a", "a", 16000, entry)
	if err != nil {
		return err
	}
	if err := f.waitReady(entry); err != nil {
		return err
	}
	if _, err := f.startSide("2", "zone-a", "b", 16000, entry); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	job := step{Count: 1, CPU: 3000, MemMB: 64, EstRuntimeMs: 200, Label: "a"}
	if status, _ := f.submit(entry, "00000000000000a1", job, 200, longLimit); status != 200 {
		return fmt.Errorf("the first job was answered %d", status)
	}
	time.Sleep(quietBefore)
	if trouble {
		entry.proxy.cut()
		cutAt := time.Now()
		f.rec.logf("proxy", "the link of g-1 is cut")
		time.Sleep(crashAfter)
		changing.worker.crash()
		time.Sleep(downTime)
		if err := changing.worker.start("b"); err != nil {
			return err
		}
		time.Sleep(time.Until(cutAt.Add(cutTime - sendBefore)))
		time.AfterFunc(sendBefore, func() {
			entry.proxy.heal()
			f.rec.logf("proxy", "the cut ends")
		})
	}
	f.submit(entry, "00000000000000a2", job, 200, 2*time.Second)
	time.Sleep(time.Second)
	return checkLabels(f.workers, "00000000000000a")
}

// checkLabels returns an error if a task of the jobs, which require kind a, has started at a worker of
// another kind.
func checkLabels(workers []*worker, prefix string) error {
	ran := 0
	for _, w := range workers {
		ran += w.runsOf(prefix)
		w.mu.Lock()
		for _, r := range w.history {
			if r.kind != "a" {
				w.mu.Unlock()
				return fmt.Errorf("%w: task %s, which requires the label a, started at %s, a worker of kind %s", errBroken, r.task, w.name, r.kind)
			}
		}
		w.mu.Unlock()
	}
	if ran == 0 {
		return errors.New("nothing has run")
	}
	return nil
}
