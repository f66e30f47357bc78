package peers

import (
	"context"
	"time"

	"wigeontray/internal/identity"
	"wigeontray/internal/recovery"
	"wigeontray/internal/wire"
)

// GuardUp records that a guard is linked. It may be used once OnGuardReady names it:
// immediately, unless a witness must acknowledge it first. GuardUp must be called
// each time the guard's link is re-established.
func (p *Peers) GuardUp(g identity.Incarnation) {
	p.update(func(now time.Time) {
		p.recovery.GuardUp(now, g)
		p.announcer.GuardUp(g)
	})
}

// GuardDown records that a guard's link was lost. The guard may reconnect.
func (p *Peers) GuardDown(g identity.Incarnation) {
	p.update(func(now time.Time) { p.recovery.GuardDown(now, g) })
}

// GuardLost records that this entry sends nothing more to a guard, and must be called
// only after that holds. If the guard reconnects, it needs another OnGuardReady.
func (p *Peers) GuardLost(g identity.Incarnation) {
	p.update(func(now time.Time) {
		p.recovery.GuardDown(now, g)
		p.announcer.GuardLost(g, p.admittedBeforeMs())
	})
}

// HandleFenceReport processes a guard's answer to a Fence.
func (p *Peers) HandleFenceReport(g identity.Incarnation, r *wire.FenceReport) {
	p.update(func(now time.Time) { p.recovery.Report(now, g, r) })
}

// HandleCollected processes a guard's answer to a Collect.
func (p *Peers) HandleCollected(g identity.Incarnation, c *wire.Collected) {
	p.update(func(now time.Time) { p.recovery.Collected(now, g, c) })
}

// Recover determines the outcome of a job whose owner cannot be reached. It returns
// at ctx's deadline at the latest. The verdict is RetryLater as long as the owner of
// the key is not final, and if ctx ends first.
func (p *Peers) Recover(ctx context.Context, member string, key identity.Key) recovery.Finding {
	owner, final := p.View().FinalOwner(member, key)
	j := recovery.Job{Member: member, Key: key.Text, BirthMs: key.BirthMs, Home: owner}
	if !final || owner == p.opt.Self.Incarnation {
		return recovery.Finding{Job: j, Verdict: recovery.RetryLater}
	}
	ch := make(chan recovery.Finding, 1)
	p.update(func(now time.Time) {
		deadline, ok := ctx.Deadline()
		if !ok {
			deadline = now.Add(storeTimeout)
		}
		p.recoveryWaiters[j] = append(p.recoveryWaiters[j], ch)
		p.recovery.Recover(now, j, deadline)
	})
	select {
	case f := <-ch:
		return f
	case <-ctx.Done():
		return recovery.Finding{Job: j, Verdict: recovery.RetryLater}
	}
}
