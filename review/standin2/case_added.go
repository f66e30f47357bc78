package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// Figures of the case.
const (
	cancelledJobs = 8
	copyInterval  = 300 * time.Millisecond // the first copy is sent when the added machine listens
)

// runAdded cancels some jobs and adds an edge machine. One copy of each job's request arrives at the new machine,
// later than cancel_ms after the acknowledgement. Nothing else happens.
func runAdded(f *fleet, trouble bool) error {
	if err := f.setConfig(1, 8000, true); err != nil {
		return err
	}
	entry, err := f.startEntry("entry-1", "zone-a")
	if err != nil {
		return err
	}
	for _, name := range []string{"1", "2", "3"} {
		if _, err := f.startSide(name, "zone-a", "a", 16000, entry); err != nil {
			return err
		}
	}
	if err := f.waitReady(entry); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	job := step{Count: 4, CPU: 1000, MemMB: 64, EstRuntimeMs: 900}
	var answers sync.WaitGroup
	for i := range cancelledJobs {
		answers.Add(1)
		go func() {
			defer answers.Done()
			f.submit(entry, jobID(i), job, 900, longLimit)
		}()
	}
	time.Sleep(300 * time.Millisecond)
	for i := range cancelledJobs {
		if status := f.cancel(entry, jobID(i)); status != 200 && status != 410 {
			return fmt.Errorf("a cancel was answered %d", status)
		}
	}
	cancelledAt := time.Now()
	answers.Wait()
	time.Sleep(time.Until(cancelledAt.Add(cancelTime)))
	target := entry
	if trouble {
		if target, err = f.startEntry("entry-2", "zone-b"); err != nil {
			return err
		}
	}
	if !waitFor(2*time.Second, target.isListening) {
		return errors.New("the added machine does not listen")
	}
	listensAt := time.Now()
	for i := range cancelledJobs {
		time.Sleep(time.Until(listensAt.Add(time.Duration(i) * copyInterval)))
		answers.Add(1)
		go func() {
			defer answers.Done()
			f.submit(target, jobID(i), job, 900, longLimit)
		}()
	}
	answers.Wait()
	time.Sleep(time.Second)
	started := 0
	for i := range cancelledJobs {
		if f.startsAfter(jobID(i), cancelledAt) > f.startsAfter(jobID(i), cancelledAt.Add(cancelTime)) {
			return errors.New("a task has started before the copies were sent")
		}
		started += f.startsAfter(jobID(i), cancelledAt.Add(cancelTime))
	}
	if started > 0 {
		return fmt.Errorf("%w: %d tasks of cancelled jobs started later than %v after the cancels were acknowledged", errBroken, started, cancelTime)
	}
	return nil
}

func jobID(i int) string { return fmt.Sprintf("00000000000000e%d", i) }
