package main

import (
	"errors"
	"fmt"
	"time"
)

// Figures of the case.
const (
	cancelTime  = 3 * time.Second        // cancel_ms
	contactTime = 3 * time.Second        // contact_ms
	allDownTime = 500 * time.Millisecond // until the killed processes are started again
)

// runCancel cancels a job and kills all processes at once after the acknowledgement. A copy of the job's request
// arrives when they have been in touch again for a while.
func runCancel(f *fleet, trouble bool) error {
	if err := f.setConfig(1, 8000, true); err != nil {
		return err
	}
	var entries []*entryAddrs
	for _, zone := range []string{"zone-a", "zone-b"} {
		e, err := f.startEntry("entry-"+zone, zone)
		if err != nil {
			return err
		}
		entries = append(entries, e)
	}
	for _, name := range []string{"1", "2"} {
		if _, err := f.startSide(name, "zone-a", "a", 16000, entries...); err != nil {
			return err
		}
	}
	for _, e := range entries {
		if err := f.waitReady(e); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	const id = "00000000000000d1"
	job := step{Count: 4, CPU: 3000, MemMB: 64, EstRuntimeMs: 900}
	answered := make(chan int, 1)
	go func() {
		status, _ := f.submit(entries[0], id, job, 900, longLimit)
		answered <- status
	}()
	time.Sleep(300 * time.Millisecond)
	if status := f.cancel(entries[1], id); status != 200 && status != 410 {
		return fmt.Errorf("the cancel was answered %d", status)
	}
	cancelledAt := time.Now()
	if status := <-answered; status != 200 {
		return fmt.Errorf("the cancelled job was answered %d", status)
	}
	backAt := cancelledAt
	if trouble {
		time.Sleep(200 * time.Millisecond)
		f.killAll()
		time.Sleep(allDownTime)
		if err := f.startAll(); err != nil {
			return err
		}
		backAt = time.Now()
	}
	time.Sleep(time.Until(later(backAt.Add(contactTime), cancelledAt.Add(cancelTime)).Add(500 * time.Millisecond)))
	for _, e := range entries {
		if err := f.waitReady(e); err != nil {
			return err
		}
	}
	if f.startsAfter(id, cancelledAt) > 0 {
		return errors.New("a task has started before the copy of the request was sent")
	}
	f.submit(entries[0], id, job, 900, longLimit)
	if n := f.startsAfter(id, cancelledAt.Add(cancelTime)); n > 0 {
		return fmt.Errorf("%w: %d tasks of the job started later than %v after its cancel was acknowledged", errBroken, n, cancelTime)
	}
	return nil
}
