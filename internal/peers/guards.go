package peers

import (
	"context"
	"time"

	"wigeontray/internal/identity"
	"wigeontray/internal/recovery"
	"wigeontray/internal/wire"
)

// GuardUp notes a linked guard. It may be used once OnGuardReady names it, which
// is at once unless a witness has to hear of it first. It must be called each
// time the guard's link comes back.
func (p *Peers) GuardUp(g identity.Incarnation) {
	p.update(func(now time.Time) {
		p.recovery.GuardUp(now, g)
		p.announcer.GuardUp(g)
	})
}

// GuardDown notes a guard's lost link; it may come back.
func (p *Peers) GuardDown(g identity.Incarnation) {
	p.update(func(now time.Time) { p.recovery.GuardDown(now, g) })
}

// GuardLost notes that this entry sends nothing more to a guard, and must be
// called after that is so. If it comes back it needs a new OnGuardReady.
func (p *Peers) GuardLost(g identity.Incarnation) {
	p.update(func(now time.Time) {
		p.recovery.GuardDown(now, g)
		p.announcer.GuardLost(g, p.admittedBeforeMs())
	})
}

// GuardReport takes a guard's answer to a Fence.
func (p *Peers) GuardReport(g identity.Incarnation, r *wire.FenceReport) {
	p.update(func(now time.Time) { p.recovery.Report(now, g, r) })
}

// GuardCollected takes a guard's answer to a Collect.
func (p *Peers) GuardCollected(g identity.Incarnation, c *wire.Collected) {
	p.update(func(now time.Time) { p.recovery.Collected(now, g, c) })
}

// Recover finds out what became of a job whose owner cannot be reached. It
// returns at ctx's deadline at the latest. The verdict is Later while it is not
// final who owns the key.
func (p *Peers) Recover(ctx context.Context, member string, key identity.Key) recovery.Finding {
	owner, final := p.View().FinalOwner(member, key)
	j := recovery.Job{Member: member, Key: key.Text, BirthMs: key.BirthMs, Home: owner}
	if !final || owner == p.opt.Self.Incarnation {
		return recovery.Finding{Job: j, Verdict: recovery.Later}
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
		return recovery.Finding{Job: j, Verdict: recovery.Later}
	}
}
