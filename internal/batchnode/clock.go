// Package batchnode runs the state machines of packages batch (entries) and runs
// (guards): it feeds them frames, timers and worker responses, and executes the actions
// that they return. The clients for callers, workers and the platform's store are
// injected through interfaces and functions.
//
// The package may import batch, errkind, identity, pause, policy, runs, store, telemetry
// and wire.
package batchnode

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since an arbitrary fixed point in the past. It is monotonic and
// includes time during which the VM was suspended.
type Clock func() time.Duration

// BootTime is the Clock of this VM; it reads CLOCK_BOOTTIME. The monotonic clock of the Go
// runtime stops while a VM is suspended: a process that was frozen for seconds would treat
// its old state as current and continue to work for callers that have already sent their
// jobs to another entry.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // available since Linux 2.6.39
	}
	return time.Duration(t.Nano())
}

// deadlineTimer calls onExpire at the deadline that was set last.
type deadlineTimer struct {
	mu       sync.Mutex
	clock    Clock
	timer    *time.Timer
	deadline time.Duration // on clock; 0 if the timer is stopped
	onExpire func()
}

// minTimerDelay is the shortest delay of a deadlineTimer, so that deadlines close to each
// other share one wake-up of the CPU.
const minTimerDelay = time.Millisecond

func newDeadlineTimer(clock Clock, onExpire func()) *deadlineTimer {
	t := &deadlineTimer{clock: clock, onExpire: onExpire}
	t.timer = time.AfterFunc(time.Hour, t.fire)
	t.timer.Stop()
	return t
}

// set replaces the deadline; 0 stops the timer.
func (t *deadlineTimer) set(deadline time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if deadline == t.deadline {
		return
	}
	t.deadline = deadline
	if deadline == 0 {
		t.timer.Stop()
		return
	}
	t.timer.Reset(max(minTimerDelay, deadline-t.clock()))
}

func (t *deadlineTimer) fire() {
	t.mu.Lock()
	t.deadline = 0
	t.mu.Unlock()
	t.onExpire()
}

func (t *deadlineTimer) stop() { t.set(0) }
