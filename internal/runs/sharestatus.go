package runs

import (
	"time"

	"wigeontray/internal/identity"
	"wigeontray/internal/sched"
)

// OfferOrder is the order in which equally urgent entries are offered capacity.
type OfferOrder uint8

// Orders of offers.
const (
	NoOrder   OfferOrder = iota // fewer than two entries wait
	InTurn                      // in turn
	ByArrival                   // by the arrival of their oldest waiting jobs
)

// String returns the name that logs and the status show.
func (o OfferOrder) String() string { return [...]string{"none", "turn", "arrival"}[o] }

// EntryDemand is what an entry has stated of its callers' requests, for operators.
type EntryDemand struct {
	Entry    identity.Incarnation
	Asked    sched.AskedWork
	AskedAge time.Duration
	IsKnown  bool // Asked was stated recently
	// WaitingCPU is the capacity that the entry waits for, in thousandths of a core. Waited is the age of the
	// oldest of its most urgent waiting jobs, as it counts in the order of arrival; 0 if it does not state it.
	WaitingCPU int64
	Waited     time.Duration
}

// EntryDemands returns what the linked entries have stated, in the order of their names.
func (m *Machine) EntryDemands(now time.Duration) []EntryDemand {
	var out []EntryDemand
	for _, entry := range m.sortedEntries() {
		ent := m.entries[entry]
		if !ent.isLinked {
			continue
		}
		d := EntryDemand{Entry: entry, WaitingCPU: ent.demand.CPU}
		if d.IsKnown = ent.stated.isRecent(now); d.IsKnown {
			d.Asked, d.AskedAge = ent.stated.asked, now-ent.stated.askedAt
		}
		if d.IsKnown && d.WaitingCPU > 0 {
			d.Waited = now - ent.stated.waitingSince
		}
		out = append(out, d)
	}
	return out
}

// TotalAsked returns what the callers of all linked entries ask for, as it is sent to the entries.
func (m *Machine) TotalAsked(now time.Duration) sched.AskedWork { return m.totalAsked(now) }

// OfferOrder returns the order in which equally urgent entries are offered capacity at present.
func (m *Machine) OfferOrder(now time.Duration) OfferOrder {
	waiting := 0
	for _, ent := range m.entries {
		if ent.isLinked && ent.demand.CPU > 0 {
			waiting++
		}
	}
	switch {
	case waiting < 2:
		return NoOrder
	case m.offersByArrival(now):
		return ByArrival
	}
	return InTurn
}

// Offers returns the number of offers made so far.
func (m *Machine) Offers() uint64 { return m.offerTurns }
