package main

import (
	"errors"
	"fmt"
	"time"
)

// Figures of the case.
const (
	recoveryTime = 12 * time.Second        // recovery_s
	darkTime     = 1500 * time.Millisecond // without power
	measuredTime = 13 * time.Second        // in which requests are counted after recoveryTime
)

// runRecover takes the power of both edge machines at a time at which no task runs, and gives it back.
func runRecover(f *fleet, trouble bool) error {
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
	for _, name := range []string{"1", "2", "3"} {
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
	requests := 0
	send := func() bool {
		requests++
		status, _ := f.submit(entries[requests%2], fmt.Sprintf("%016x", requests), step{Count: 3, CPU: 9000, MemMB: 64, EstRuntimeMs: 200}, 200, 1500*time.Millisecond)
		return status == 200
	}
	served := 0
	for range 4 {
		if send() {
			served++
		}
		time.Sleep(1500 * time.Millisecond)
	}
	if served == 0 {
		return errors.New("nothing was served before the fault")
	}
	if trouble {
		for _, e := range entries {
			e.proxy.powerOff()
			e.process.kill()
		}
		time.Sleep(darkTime)
		for _, e := range entries {
			e.proxy.powerOn()
			if err := e.process.start(); err != nil {
				return err
			}
		}
	}
	backAt, late, lateServed := time.Now(), 0, 0
	for time.Since(backAt) < recoveryTime+measuredTime {
		isLate := time.Since(backAt) > recoveryTime
		ok := send()
		if isLate {
			late++
			if ok {
				lateServed++
			}
		}
		time.Sleep(time.Second)
	}
	f.rec.logf("client", "before the fault %d of 4 were served; later than %v after the machines were back, %d of %d", served, recoveryTime, lateServed, late)
	if 4*lateServed < late {
		return fmt.Errorf("%w: %d of %d requests were served later than %v after the machines were back", errBroken, lateServed, late, recoveryTime)
	}
	return nil
}
