package main

import (
	"errors"
	"fmt"
	"time"
)

// Figures of the case.
const (
	lateStartBy  = 440 * time.Millisecond // less than the lease of the start
	beforeReport = 250 * time.Millisecond // the start is sent so long before a liveness report of the worker
	quickRestart = 50 * time.Millisecond  // until a killed process is started again
	capacity     = 4000                   // of the worker; a task needs more than half of it
)

// runCapacity kills a guard right after it has sent a start, which so gets no response. The worker, which does
// not guard its capacity, carries the start out a little later, within its time. Meanwhile the guard has been
// started again and has filled the worker.
func runCapacity(f *fleet, trouble bool) error {
	if err := f.setConfig(1, 8000, false); err != nil {
		return err
	}
	entry, err := f.startEntry("entry-1", "zone-a")
	if err != nil {
		return err
	}
	f.admitsAll = true
	s, err := f.startSide("1", "zone-a", "a", capacity, entry)
	if err != nil {
		return err
	}
	w := s.worker
	if err := f.waitReady(entry); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		w.delayNextStart(lateStartBy, true)
	}
	time.Sleep(time.Until(w.nextReport().Add(-beforeReport)))
	job := step{Count: 1, CPU: 3000, MemMB: 64, EstRuntimeMs: 1500}
	answers := make(chan int, 2)
	submit := func(id string) {
		status, _ := f.submit(entry, id, job, 1500, longLimit)
		answers <- status
	}
	go submit("00000000000000a1")
	if trouble {
		select {
		case <-w.given:
		case <-time.After(2 * time.Second):
			return errors.New("no start was sent")
		}
		s.guard.kill()
		time.Sleep(quickRestart)
		if err := s.guard.start(); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(w.lastReport().Add(reportPeriod + 30*time.Millisecond)))
	go submit("00000000000000a2")
	<-answers
	<-answers
	time.Sleep(time.Second)
	if most := w.mostUsed(); most > capacity {
		return fmt.Errorf("%w: a start brought a worker with a capacity of %d, which does not guard it, to %d", errBroken, capacity, most)
	}
	return nil
}
