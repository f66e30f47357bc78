// Package batchnode puts the machines of batch and runs to work: links between
// entries and guards, timers, and calls to the worker. What speaks to callers,
// workers and the platform's store comes from outside, behind interfaces.
//
// The package may import batch, errkind, identity, pause, policy, runs, store, telemetry
// and wire.
package batchnode

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock gives the time since some moment in the past. It never runs backwards
// and counts the time in which the machine was suspended.
type Clock func() time.Duration

// BootTime is the Clock of this VM. The runtime's own clock stands still
// while a VM is suspended: a process that was frozen for seconds would take
// what it believed before for fresh, and work on for callers who have long sent
// their jobs elsewhere.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every Linux since 2.6.39 has it
	}
	return time.Duration(t.Nano())
}

// alarm calls a function at the time for which it was last set.
type alarm struct {
	mu    sync.Mutex
	clock Clock
	timer *time.Timer
	due   time.Duration // 0 if it is not set
	ring  func()
}

// shortest is the shortest time for which an alarm is set. Deadlines that lie
// close together share one wake-up of the processor.
const shortest = time.Millisecond

func newAlarm(clock Clock, ring func()) *alarm {
	a := &alarm{clock: clock, ring: ring}
	a.timer = time.AfterFunc(time.Hour, a.fire)
	a.timer.Stop()
	return a
}

// set moves the alarm; due 0 switches it off.
func (a *alarm) set(due time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if due == a.due {
		return
	}
	a.due = due
	if due == 0 {
		a.timer.Stop()
		return
	}
	a.timer.Reset(max(shortest, due-a.clock()))
}

func (a *alarm) fire() {
	a.mu.Lock()
	a.due = 0
	a.mu.Unlock()
	a.ring()
}

func (a *alarm) stop() { a.set(0) }
