package recovery

import (
	"maps"
	"slices"

	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// Announcer announces to the peers of an entry at which guards the entry starts
// tasks, and delays the use of a new guard until all witnesses have acknowledged it.
//
// Without it, an entry could start a task at a new guard and then crash together
// with that guard. A peer that had never received the guard's name would query all
// other guards and answer "not run" for a task that ran.
type Announcer struct {
	guards   map[identity.Incarnation]bool // value: whether the guard was released for use
	peers    map[identity.Incarnation]*witnessState
	seq      uint64
	actions  []AnnounceAction
	isFenced bool
}

// witnessState is the announcement state of one peer.
type witnessState struct {
	linked        bool
	unacked       map[uint64][]identity.Incarnation // guards in each unacknowledged frame, by Seq
	acked         map[identity.Incarnation]bool
	sinceMs       int64 // start of the witness period; 0 if the peer is not a witness
	rosterVersion int64 // roster version when it became a witness
}

// AnnounceAction is one operation for the owner of an Announcer to execute: send
// Witness to Peer, or release Ready. Exactly one of Witness and Ready is set.
type AnnounceAction struct {
	Peer    identity.Incarnation
	Witness *wire.Witness
	Ready   identity.Incarnation // a guard that may be used from now on
}

// NewAnnouncer returns an announcer without guards and peers.
func NewAnnouncer() *Announcer {
	return &Announcer{
		guards: make(map[identity.Incarnation]bool),
		peers:  make(map[identity.Incarnation]*witnessState),
	}
}

// Actions returns the actions since the last call and clears them.
func (a *Announcer) Actions() []AnnounceAction {
	out := a.actions
	a.actions = nil
	return out
}

// GuardUp adds a guard. A Ready action follows once all witnesses have acknowledged
// it, or at once if there are none.
func (a *Announcer) GuardUp(g identity.Incarnation) {
	if _, known := a.guards[g]; known {
		return
	}
	a.guards[g] = false
	for _, p := range a.linked() {
		a.send(p, &wire.Witness{Guards: []identity.Incarnation{g}})
	}
	a.releaseGuards()
}

// GuardLost removes a guard that this entry no longer uses. If the guard comes back,
// GuardUp announces it anew. admittedBeforeMs is greater than the birth of every
// identity that this entry may have admitted so far.
func (a *Announcer) GuardLost(g identity.Incarnation, admittedBeforeMs int64) {
	if _, known := a.guards[g]; !known {
		return
	}
	delete(a.guards, g)
	for _, state := range a.peers {
		state.clearAcks(g)
	}
	for _, p := range a.linked() {
		a.send(p, &wire.Witness{Dropped: []wire.DroppedGuard{{Guard: g, AfterMs: admittedBeforeMs}}})
	}
}

// clearAcks discards the acknowledgements of g, including those still in transit. If
// the guard is added again, an acknowledgement of the earlier announcement must not
// count for the new one, which the peer may never receive.
func (w *witnessState) clearAcks(g identity.Incarnation) {
	delete(w.acked, g)
	for seq, guards := range w.unacked {
		w.unacked[seq] = slices.DeleteFunc(guards, func(x identity.Incarnation) bool { return x == g })
	}
}

// PeerUp sends the announcement of all guards when a link to a peer is established,
// and again when it is re-established.
func (a *Announcer) PeerUp(p identity.Incarnation) {
	state := a.peers[p]
	if state == nil {
		state = &witnessState{acked: make(map[identity.Incarnation]bool)}
		a.peers[p] = state
	}
	state.linked = true
	state.unacked = make(map[uint64][]identity.Incarnation)
	a.send(p, &wire.Witness{
		Guards: slices.Sorted(maps.Keys(a.guards)), SinceMs: state.sinceMs, Version: state.rosterVersion,
	})
}

// PeerDown records a lost link. A witness remains one: it may still run on the other
// side of a failed network link and act as a witness.
func (a *Announcer) PeerDown(p identity.Incarnation) {
	state := a.peers[p]
	if state == nil {
		return
	}
	state.linked = false
	if state.sinceMs == 0 {
		delete(a.peers, p)
	}
}

// Acknowledged handles a peer's acknowledgement of a Witness.
func (a *Announcer) Acknowledged(p identity.Incarnation, seq uint64) {
	state := a.peers[p]
	if state == nil {
		return
	}
	for _, g := range state.unacked[seq] {
		if _, known := a.guards[g]; known {
			state.acked[g] = true
		}
	}
	delete(state.unacked, seq)
	a.releaseGuards()
}

// Grant makes each linked member of the latest roster version a witness if it has
// acknowledged all guards. admittedBeforeMs is greater than the birth of every
// identity that this entry may have admitted so far.
func (a *Announcer) Grant(rosterVersion int64, isMember func(identity.Incarnation) bool, admittedBeforeMs int64) {
	if a.isFenced || rosterVersion == 0 {
		return
	}
	for _, p := range a.linked() {
		state := a.peers[p]
		if state.sinceMs != 0 || len(state.acked) != len(a.guards) || !isMember(p) {
			continue
		}
		state.sinceMs, state.rosterVersion = admittedBeforeMs, rosterVersion
		a.send(p, &wire.Witness{SinceMs: state.sinceMs, Version: state.rosterVersion})
	}
}

// Roster handles a new roster version. Acknowledgements of a witness that is not a
// member of it are no longer required: the same version ends the peer's role as a
// witness. A fenced entry gets no new guard.
func (a *Announcer) Roster(rosterVersion int64, isMember func(identity.Incarnation) bool, isFenced bool) {
	a.isFenced = a.isFenced || isFenced
	for p, state := range a.peers {
		if state.sinceMs == 0 || rosterVersion <= state.rosterVersion || isMember(p) {
			continue
		}
		state.sinceMs, state.rosterVersion = 0, 0
		if !state.linked {
			delete(a.peers, p)
		}
	}
	a.releaseGuards()
}

// PendingGuards returns the number of guards that wait for acknowledgements of
// witnesses.
func (a *Announcer) PendingGuards() (n int) {
	for _, ready := range a.guards {
		if !ready {
			n++
		}
	}
	return n
}

// releaseGuards releases the guards that every witness has acknowledged.
func (a *Announcer) releaseGuards() {
	if a.isFenced {
		return
	}
	for _, g := range slices.Sorted(maps.Keys(a.guards)) {
		if !a.guards[g] && a.isAckedByAllWitnesses(g) {
			a.guards[g] = true
			a.actions = append(a.actions, AnnounceAction{Ready: g})
		}
	}
}

func (a *Announcer) isAckedByAllWitnesses(g identity.Incarnation) bool {
	for _, state := range a.peers {
		if state.sinceMs != 0 && !state.acked[g] {
			return false
		}
	}
	return true
}

func (a *Announcer) linked() []identity.Incarnation {
	var out []identity.Incarnation
	for p, state := range a.peers {
		if state.linked {
			out = append(out, p)
		}
	}
	slices.Sort(out)
	return out
}

func (a *Announcer) send(p identity.Incarnation, w *wire.Witness) {
	a.seq++
	w.Seq = a.seq
	a.peers[p].unacked[w.Seq] = slices.Clone(w.Guards)
	a.actions = append(a.actions, AnnounceAction{Peer: p, Witness: w})
}
