package batchnode

import (
	"context"
	"time"

	"wigeontray/internal/batch"
	"wigeontray/internal/pause"
)

// heartbeatInterval is how often a running process notes that it runs.
const heartbeatInterval = 200 * time.Millisecond

// KeepBeat notes until ctx ends that this process runs, and asks again for a
// configuration that did not arrive. After a gap between two notes the process was frozen,
// whatever the reason; which of its goroutines runs first then is open.
func (e *Entry) KeepBeat(ctx context.Context) {
	for ctx.Err() == nil {
		e.step(func(now time.Duration, _ *batch.Machine) { e.lastHeartbeat = now })
		e.configMu.Lock()
		e.requestNewerConfig()
		e.configMu.Unlock()
		pause.For(ctx, heartbeatInterval)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastHeartbeat = 0 // nobody notes it any more
}

func (e *Entry) detectStall(now time.Duration) {
	if e.lastHeartbeat == 0 || now-e.lastHeartbeat < e.opt.Timing.Stall() {
		return
	}
	e.opt.Log.Warn("this process was frozen", "for", now-e.lastHeartbeat)
	e.lastHeartbeat, e.resumedAt = now, now
	e.machine.Woke(now)
}

// waitAfterResume lets a request wait that may have lain unread while this process was
// frozen; false if its caller has left.
func (e *Entry) waitAfterResume(ctx context.Context) bool {
	e.mu.Lock()
	now := e.opt.Clock()
	e.detectStall(now)
	remaining := time.Duration(0)
	if e.resumedAt > 0 {
		remaining = e.resumedAt + batch.WakePause - now
	}
	e.mu.Unlock()
	if remaining > 0 {
		pause.For(ctx, remaining)
	}
	return ctx.Err() == nil
}
