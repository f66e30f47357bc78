package batchnode

import (
	"context"
	"time"

	"wigeontray/internal/batch"
	"wigeontray/internal/pause"
)

// heartbeatInterval is the interval at which a process records its own heartbeat.
const heartbeatInterval = 200 * time.Millisecond

// RunHeartbeat records a heartbeat of this process at each heartbeatInterval until ctx ends, looks for
// services with few guards, and repeats the request for a newer configuration that did not arrive. A long gap since the last
// heartbeat means that the process was frozen, for whatever reason. Any goroutine may be the
// first one to run afterwards, so every event checks for the gap.
func (e *Entry) RunHeartbeat(ctx context.Context) {
	for ctx.Err() == nil {
		e.step(func(now time.Duration, _ *batch.Machine) {
			e.lastHeartbeat = now
			e.updateSmallServices(now)
		})
		e.configMu.Lock()
		e.requestNewerConfig()
		e.configMu.Unlock()
		pause.For(ctx, heartbeatInterval)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastHeartbeat = 0 // heartbeats have ended; disables detectFreeze
}

// detectFreeze has the machine answer every open job if this process was frozen since the last
// heartbeat, see batch.Machine.HandleResume. mu must be held.
func (e *Entry) detectFreeze(now time.Duration) {
	if e.lastHeartbeat == 0 || now-e.lastHeartbeat < e.opt.Timing.FreezeThreshold() {
		return
	}
	e.opt.Log.Warn("this process was frozen", "for", now-e.lastHeartbeat)
	e.lastHeartbeat, e.resumedAt = now, now
	e.machine.HandleResume(now)
}

// waitAfterResume delays a request that may have been received but not read while this process
// was frozen. It reports whether the caller is still connected.
func (e *Entry) waitAfterResume(ctx context.Context) bool {
	e.mu.Lock()
	now := e.opt.Clock()
	e.detectFreeze(now)
	remaining := time.Duration(0)
	if e.resumedAt > 0 {
		remaining = e.resumedAt + batch.ResumeDelay - now
	}
	e.mu.Unlock()
	if remaining > 0 {
		pause.For(ctx, remaining)
	}
	return ctx.Err() == nil
}
