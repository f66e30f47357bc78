package main

import (
	"errors"
	"fmt"
	"time"
)

// Figures of the case.
const (
	lateBy      = 2 * time.Second // the least time by which an order is carried out late
	longRunMs   = 3000
	longLimit   = 8 * time.Second
	restartTime = 500 * time.Millisecond // until a killed process is started again
)

// runTwice leaves one start unanswered and kills the guard that gave it. The worker carries the start out
// two seconds later, its time counted from its arrival; by then the entry has started the task at another
// worker.
func runTwice(f *fleet, trouble bool) error {
	if err := f.setConfig(1, 8000, true); err != nil {
		return err
	}
	entry, err := f.startEntry("entry-1", "zone-a")
	if err != nil {
		return err
	}
	// The task goes to the first worker while the second one, in the entry's own zone, has no room.
	first, err := f.startSide("1", "zone-b", "a", 4000, entry)
	if err != nil {
		return err
	}
	second, err := f.startSide("2", "zone-a", "a", 4000, entry)
	if err != nil {
		return err
	}
	if err := f.waitReady(entry); err != nil {
		return err
	}
	time.Sleep(3 * time.Second) // both guards have linked, and have saved the state of their workers
	const task = "00000000000000b1"
	if trouble {
		first.worker.delayNextStart(lateBy, false)
	}
	filler := make(chan int, 1)
	go func() {
		status, _ := f.submit(entry, "00000000000000a1", step{Count: 1, CPU: 3000, MemMB: 64, EstRuntimeMs: 900}, 900, longLimit)
		filler <- status
	}()
	if !waitFor(2*time.Second, func() bool { return second.worker.runsOf("00000000000000a1") == 1 }) {
		return errors.New("the first job did not start at the worker of the entry's zone")
	}
	answer := make(chan int, 1)
	go func() {
		status, _ := f.submit(entry, task, step{Count: 1, CPU: 3000, MemMB: 64, EstRuntimeMs: longRunMs}, longRunMs, longLimit)
		answer <- status
	}()
	if trouble {
		select {
		case <-first.worker.given:
		case <-time.After(2 * time.Second):
			return errors.New("no start was sent to the first worker")
		}
		first.guard.kill()
		time.Sleep(restartTime)
		if err := first.guard.start(); err != nil {
			return err
		}
	}
	if status := <-filler; status != 200 {
		return fmt.Errorf("the first job was answered %d", status)
	}
	<-answer
	time.Sleep(time.Second)
	return overlaps(f.workers, 100*time.Millisecond)
}
