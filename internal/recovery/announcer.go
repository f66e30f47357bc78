package recovery

import (
	"maps"
	"slices"

	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// Announcer is the side of an entry that is still alive: it tells its peers at
// which guards it starts tasks, and holds a new guard back until its witnesses
// know of it.
//
// If it did not, an entry could start a task at a guard that just came up and
// die with it; a peer that never heard of this guard would ask all the others
// and answer "not run" about a task that ran.
type Announcer struct {
	guards  map[identity.Incarnation]bool // by guard: handed out as ready
	peers   map[identity.Incarnation]*listener
	seq     uint64
	actions []AnnounceAction
	fenced  bool
}

// listener is what one peer has been told.
type listener struct {
	linked  bool
	sent    map[uint64][]identity.Incarnation // unacknowledged
	acked   map[identity.Incarnation]bool
	sinceMs int64 // 0: not a witness
	version int64 // roster version of the grant
}

// AnnounceAction is one thing to do: exactly one field is set, but for Peer,
// which receives Witness.
type AnnounceAction struct {
	Peer    identity.Incarnation
	Witness *wire.Witness
	Ready   identity.Incarnation // a guard that may be used from now on
}

// NewAnnouncer returns an announcer that knows no guard and no peer.
func NewAnnouncer() *Announcer {
	return &Announcer{
		guards: make(map[identity.Incarnation]bool),
		peers:  make(map[identity.Incarnation]*listener),
	}
}

// Actions returns the actions since the last call.
func (a *Announcer) Actions() []AnnounceAction {
	out := a.actions
	a.actions = nil
	return out
}

// GuardUp adds a guard. A Ready action follows, at once when nobody has to
// acknowledge it.
func (a *Announcer) GuardUp(g identity.Incarnation) {
	if _, known := a.guards[g]; known {
		return
	}
	a.guards[g] = false
	for _, p := range a.linked() {
		a.send(p, &wire.Witness{Guards: []identity.Incarnation{g}})
	}
	a.release()
}

// GuardLost drops a guard that this entry never uses again. beyondMs is above
// the birth of every identity that it may have admitted so far.
func (a *Announcer) GuardLost(g identity.Incarnation, beyondMs int64) {
	if _, known := a.guards[g]; !known {
		return
	}
	delete(a.guards, g)
	for _, l := range a.peers {
		l.forget(g)
	}
	for _, p := range a.linked() {
		a.send(p, &wire.Witness{Dropped: []wire.DroppedGuard{{Guard: g, AfterMs: beyondMs}}})
	}
}

// forget voids acknowledgements of g, also those that are still on their way: if
// the guard comes back, one of the earlier announcement must not pass for one of
// the new, which the peer may never hear.
func (l *listener) forget(g identity.Incarnation) {
	delete(l.acked, g)
	for seq, guards := range l.sent {
		l.sent[seq] = slices.DeleteFunc(guards, func(x identity.Incarnation) bool { return x == g })
	}
}

// PeerUp begins or repeats the telling after a link was made.
func (a *Announcer) PeerUp(p identity.Incarnation) {
	l := a.peers[p]
	if l == nil {
		l = &listener{acked: make(map[identity.Incarnation]bool)}
		a.peers[p] = l
	}
	l.linked = true
	l.sent = make(map[uint64][]identity.Incarnation)
	a.send(p, &wire.Witness{
		Guards: slices.Sorted(maps.Keys(a.guards)), SinceMs: l.sinceMs, Version: l.version,
	})
}

// PeerDown notes a lost link. A witness stays one: it may be alive, and act as a
// witness, behind a cut cable.
func (a *Announcer) PeerDown(p identity.Incarnation) {
	l := a.peers[p]
	if l == nil {
		return
	}
	l.linked = false
	if l.sinceMs == 0 {
		delete(a.peers, p)
	}
}

// Acknowledged takes a peer's answer.
func (a *Announcer) Acknowledged(p identity.Incarnation, seq uint64) {
	l := a.peers[p]
	if l == nil {
		return
	}
	for _, g := range l.sent[seq] {
		if _, known := a.guards[g]; known {
			l.acked[g] = true
		}
	}
	delete(l.sent, seq)
	a.release()
}

// Grant makes a witness of every linked member of the last roster version that
// has acknowledged all guards. beyondMs is above the birth of every identity
// that this entry may have admitted so far.
func (a *Announcer) Grant(version int64, isMember func(identity.Incarnation) bool, beyondMs int64) {
	if a.fenced || version == 0 {
		return
	}
	for _, p := range a.linked() {
		l := a.peers[p]
		if l.sinceMs != 0 || len(l.acked) != len(a.guards) || !isMember(p) {
			continue
		}
		l.sinceMs, l.version = beyondMs, version
		a.send(p, &wire.Witness{SinceMs: l.sinceMs, Version: l.version})
	}
}

// Roster takes a newly learned version. A witness that it leaves out is waited
// for no longer: the peer loses its standing by the same version. A fenced entry
// gets no new guard at all.
func (a *Announcer) Roster(version int64, isMember func(identity.Incarnation) bool, fenced bool) {
	a.fenced = a.fenced || fenced
	for p, l := range a.peers {
		if l.sinceMs == 0 || version <= l.version || isMember(p) {
			continue
		}
		l.sinceMs, l.version = 0, 0
		if !l.linked {
			delete(a.peers, p)
		}
	}
	a.release()
}

// Held counts guards that wait for a witness.
func (a *Announcer) Held() (n int) {
	for _, ready := range a.guards {
		if !ready {
			n++
		}
	}
	return n
}

// release hands out the guards that every witness knows.
func (a *Announcer) release() {
	if a.fenced {
		return
	}
	for _, g := range slices.Sorted(maps.Keys(a.guards)) {
		if !a.guards[g] && a.everyWitnessKnows(g) {
			a.guards[g] = true
			a.actions = append(a.actions, AnnounceAction{Ready: g})
		}
	}
}

func (a *Announcer) everyWitnessKnows(g identity.Incarnation) bool {
	for _, l := range a.peers {
		if l.sinceMs != 0 && !l.acked[g] {
			return false
		}
	}
	return true
}

func (a *Announcer) linked() []identity.Incarnation {
	var out []identity.Incarnation
	for p, l := range a.peers {
		if l.linked {
			out = append(out, p)
		}
	}
	slices.Sort(out)
	return out
}

func (a *Announcer) send(p identity.Incarnation, w *wire.Witness) {
	a.seq++
	w.Seq = a.seq
	a.peers[p].sent[w.Seq] = slices.Clone(w.Guards)
	a.actions = append(a.actions, AnnounceAction{Peer: p, Witness: w})
}
