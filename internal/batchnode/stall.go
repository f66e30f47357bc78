package batchnode

import (
	"context"
	"time"

	"wigeontray/internal/batch"
	"wigeontray/internal/pause"
)

// beatEvery is how often a running process notes that it runs.
const beatEvery = 200 * time.Millisecond

// KeepBeat notes until ctx ends that this process runs, and asks again for a
// configuration that did not arrive. After a gap between two notes the process was frozen,
// whatever the reason; which of its goroutines runs first then is open.
func (e *Entry) KeepBeat(ctx context.Context) {
	for ctx.Err() == nil {
		e.step(func(now time.Duration, _ *batch.Machine) { e.beat = now })
		e.configMu.Lock()
		e.askHolder()
		e.configMu.Unlock()
		pause.For(ctx, beatEvery)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.beat = 0 // nobody notes it any more
}

func (e *Entry) checkStall(now time.Duration) {
	if e.beat == 0 || now-e.beat < e.opt.Timing.Stall() {
		return
	}
	e.opt.Log.Warn("this process was frozen", "for", now-e.beat)
	e.beat, e.woke = now, now
	e.machine.Woke(now)
}

// afterWake lets a request wait that may have lain unread while this process was
// frozen; false if its caller has left.
func (e *Entry) afterWake(ctx context.Context) bool {
	e.mu.Lock()
	now := e.opt.Clock()
	e.checkStall(now)
	left := time.Duration(0)
	if e.woke > 0 {
		left = e.woke + batch.WakePause - now
	}
	e.mu.Unlock()
	if left > 0 {
		pause.For(ctx, left)
	}
	return ctx.Err() == nil
}
