package runs

import (
	"time"

	"wigeontray/internal/policy"
	"wigeontray/internal/wire"
)

// Entries with strict offers use what they are offered only for tasks as urgent as their demand, and give
// the rest back. Otherwise capacity that is offered for a job whose tasks have meanwhile found room
// elsewhere goes to less urgent tasks of the same entry, while urgent ones of other entries wait.

// offersByArrival reports whether equally urgent entries are offered capacity in the order in which their
// oldest waiting jobs have arrived. In turn, jobs of several entries that have started in part divide the
// freed capacity between them, and all of them are late.
func (m *Machine) offersByArrival(now time.Duration) bool {
	return m.hasUnevenDemand(now) || m.haveAllStrictOffers()
}

// haveAllStrictOffers reports whether all waiting entries have strict offers. An entry of an earlier version
// does not state the age of its jobs, and would always come last.
func (m *Machine) haveAllStrictOffers() bool {
	if m.disabled.Has(policy.StrictOffers) {
		return false
	}
	for _, ent := range m.entries {
		if ent.isLinked && ent.demand.CPU > 0 && !ent.hasStrictOffers {
			return false
		}
	}
	return true
}

// takeBackOffer withdraws the pending offer of an entry whose demand has become less urgent. The capacity is
// then offered again, to the entry that is most urgent now.
func (ent *entryState) takeBackOffer(beat *wire.EntryHeartbeat) {
	ent.hasStrictOffers = beat.StrictOffers
	if beat.StrictOffers && beat.Demand.Priority > ent.demand.Priority {
		ent.offer = offer{}
	}
}
