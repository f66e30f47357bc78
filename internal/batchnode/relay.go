package batchnode

import (
	"math/rand/v2"
	"slices"

	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// relay is a guard through which an entry reaches other entries. targets are their addresses; nil means
// all entries of the guard.
type relay struct {
	guard   identity.Incarnation
	targets []string
}

// relaysTo returns guards, none of them in exclude, that together link to the entries with the given
// addresses. Guards that link to all entries need one. mu must be held.
func (e *Entry) relaysTo(addresses []string, exclude map[identity.Incarnation]bool) []relay {
	var guards []identity.Incarnation
	for guard := range e.links {
		if !exclude[guard] {
			guards = append(guards, guard)
		}
	}
	rand.Shuffle(len(guards), func(i, j int) { guards[i], guards[j] = guards[j], guards[i] })
	if len(e.known.addresses) <= entriesPerGuard {
		if len(guards) == 0 {
			return nil
		}
		return []relay{{guard: guards[0]}}
	}
	return chooseRelays(&e.known, guards, addresses)
}

// relayCandidates is the number of guards of which the one that links to most of the remaining
// addresses becomes the next relay.
const relayCandidates = 8

// chooseRelays assigns each address to one of the guards that link to it, in the given order. An
// address to which none of them links is left out.
func chooseRelays(known *addressList, guards []identity.Incarnation, addresses []string) (relays []relay) {
	remaining, guards := slices.Sorted(slices.Values(addresses)), slices.Clone(guards)
	for len(remaining) > 0 && len(guards) > 0 {
		candidates := guards[:min(relayCandidates, len(guards))]
		var best relay
		for _, guard := range candidates {
			if targets := inBoth(known.subsetFor(guard), remaining); len(targets) > len(best.targets) {
				best = relay{guard: guard, targets: targets}
			}
		}
		if len(best.targets) == 0 {
			guards = guards[len(candidates):]
			continue
		}
		relays = append(relays, best)
		remaining = withoutKnown(remaining, best.targets)
		guards = slices.DeleteFunc(guards, func(g identity.Incarnation) bool { return g == best.guard })
	}
	return relays
}

// inBoth returns the addresses that are also in a sorted list.
func inBoth(addresses, sorted []string) (common []string) {
	for _, a := range addresses {
		if _, found := slices.BinarySearch(sorted, a); found {
			common = append(common, a)
		}
	}
	return common
}

// crashRelays is the number of entries that a guard asks to relay a crash. One of them may fail
// meanwhile.
const crashRelays = 2

// relayOwnCrash reports a crash of the worker to the entries to which the guard has no link. mu must
// be held.
func (g *Guard) relayOwnCrash(crash *wire.WorkerCrash) {
	if len(g.known.addresses) <= entriesPerGuard {
		return
	}
	g.crashSeq++
	asked := 0
	for _, l := range g.links {
		if asked < crashRelays && l.link.Send(&wire.Frame{CrashRelay: &wire.CrashRelay{Origin: g.id, Seq: g.crashSeq, Crash: *crash}}) == nil {
			asked++
		}
	}
}

// relayCrash passes a crash on to the targets. mu must be held.
func (g *Guard) relayCrash(r *wire.CrashRelay) {
	targets := r.Targets
	r.Targets = nil
	for _, l := range g.links {
		if slices.Contains(targets, l.address) {
			_ = l.link.Send(&wire.Frame{CrashRelay: r}) // see execute
		}
	}
}

// relayedCrash identifies a crash that a guard has reported.
type relayedCrash struct {
	origin identity.Incarnation
	seq    uint64
}

// maxRelayedCrashes is the number of relayed crashes of which an entry recognizes a second report.
const maxRelayedCrashes = 64

// handleCrashRelay relays the crash that a guard of this entry reports, or counts one that was relayed
// to it. mu must be held.
func (e *Entry) handleCrashRelay(from identity.Incarnation, r *wire.CrashRelay) {
	if r.Origin == from {
		e.relayCrash(r)
		return
	}
	id := relayedCrash{origin: r.Origin, seq: r.Seq}
	if e.links[r.Origin] != nil || slices.Contains(e.relayedCrashes, id) {
		return // the guard has reported it to this entry itself, or it was counted
	}
	e.relayedCrashes = append(e.relayedCrashes, id)
	if len(e.relayedCrashes) > maxRelayedCrashes {
		e.relayedCrashes = e.relayedCrashes[1:]
	}
	e.machine.HandleWorkerCrash(&r.Crash)
}

// relayCrash sends a crash to the entries to which the guard that reports it has no link.
func (e *Entry) relayCrash(r *wire.CrashRelay) {
	others := withoutKnown(e.known.addresses, slices.Concat(e.known.subsetFor(r.Origin), []string{e.opt.Address}))
	if len(others) == 0 {
		return
	}
	for _, relay := range e.relaysTo(others, map[identity.Incarnation]bool{r.Origin: true}) {
		e.sendToGuard(relay.guard, &wire.Frame{CrashRelay: &wire.CrashRelay{Origin: r.Origin, Seq: r.Seq, Crash: r.Crash, Targets: relay.targets}})
	}
}
