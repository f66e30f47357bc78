package batchnode

import (
	"maps"
	"slices"
	"time"

	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// Of a service with few guards, some entries would have no guard if each guard linked to a subset of
// the entries, and would refuse its jobs while its workers are idle. The guards of such a service link
// to all entries. Each entry decides that for the guards of which it is an announcer, by the guards that
// are linked to it.

const (
	// minServiceGuards is the number of guards that an entry has to see of a service that is not
	// small. A small one stays so until smallServiceExitFactor as many would be left after its guards
	// have gone back to subsets.
	minServiceGuards       = 64
	smallServiceExitFactor = 2
	// smallServiceDelay is how long an entry has to see too few guards, and minLinkingTime how long
	// all guards may take to link to an entry that has started.
	smallServiceDelay = 3 * time.Second
	minLinkingTime    = 10 * time.Second
)

// smallServices tracks which services have few guards.
type smallServices struct {
	smallSince map[string]time.Duration // when an entry first saw too few guards of a service
	linkAll    map[string]bool          // services whose guards link to all entries
}

// update records the guards that are linked, by service, and reports whether linkAll has changed. age
// is the time since the entry has started.
func (s *smallServices) update(now, age time.Duration, guards map[string]int, entries int) (changed bool) {
	before := s.linkAll
	s.linkAll = make(map[string]bool)
	if entries <= entriesPerGuard {
		s.smallSince = nil
		return len(before) > 0
	}
	linked := 0
	for _, n := range guards {
		linked += n
	}
	isSettled := linked >= minServiceGuards || age >= minLinkingTime
	since := make(map[string]time.Duration)
	for service, n := range guards {
		switch {
		case before[service]:
			s.linkAll[service] = n*entriesPerGuard < smallServiceExitFactor*minServiceGuards*entries
		case n < minServiceGuards && isSettled:
			since[service] = now
			if at, isKnown := s.smallSince[service]; isKnown {
				since[service] = at
			}
			s.linkAll[service] = now-since[service] >= smallServiceDelay
		}
	}
	maps.DeleteFunc(s.linkAll, func(_ string, isSmall bool) bool { return !isSmall })
	s.smallSince = since
	return !maps.Equal(before, s.linkAll)
}

// updateSmallServices tells the guards of which this entry is an announcer whether to link to all
// entries. mu must be held.
func (e *Entry) updateSmallServices(now time.Duration) {
	if len(e.known.addresses) <= entriesPerGuard && len(e.smallServices.linkAll) == 0 {
		return
	}
	if !e.smallServices.update(now, now-e.startedAt, e.machine.GuardsByService(), len(e.known.addresses)) {
		return
	}
	e.opt.Log.Info("services with few guards changed", "services", slices.Sorted(maps.Keys(e.smallServices.linkAll)))
	e.machine.SetSharedByAll(e.smallServices.linkAll)
	for guard := range e.links {
		if slices.Contains(e.known.announcersFor(guard), e.opt.Address) {
			e.sendToGuard(guard, &wire.Frame{Entries: &wire.Entries{LinkAll: e.linksToAll(guard)}})
		}
	}
}

// linksToAll reports whether a guard shall link to all entries. mu must be held.
func (e *Entry) linksToAll(guard identity.Incarnation) bool {
	return e.smallServices.linkAll[e.machine.ServiceOf(guard)]
}
