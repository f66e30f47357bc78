package runs

import (
	"slices"
	"time"

	"wigeontray/internal/policy"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// Where entries are asked for unequal amounts of work, equally urgent ones are offered scarce capacity in
// the order in which their jobs have arrived, as if all jobs waited in one queue. With equal turns the
// callers of an entry that many of them use would wait longer than those of the others.

const (
	// askedTimeout is how long a statement of demand counts. An entry that is suspended or cut off then
	// no longer counts in the sum.
	askedTimeout = 3 * time.Second
	// AskedInterval is the minimum interval between two statements of demand on a link, in each direction.
	AskedInterval = 250 * time.Millisecond
	// maxEvenRatio is the ratio of two entries' demands up to which they count as equal.
	maxEvenRatio = 1.5
	// maxWaitAge limits the age that an entry may state of its oldest waiting job.
	maxWaitAge = 2 * time.Second
)

// statedDemand is what an entry has stated of its callers' requests.
type statedDemand struct {
	asked       sched.AskedWork
	askedAt     time.Duration // 0 if unknown
	totalSentAt time.Duration // when the sum over all entries was last sent to it
	// waitingSince is when the oldest of its most urgent waiting jobs has arrived.
	waitingSince time.Duration
}

// record stores a statement. waitedMs is the age of the entry's oldest waiting job.
func (s *statedDemand) record(now time.Duration, asked *sched.AskedWork, waitedMs int64) {
	s.waitingSince = now - min(max(0, milliseconds(waitedMs)), maxWaitAge)
	if asked != nil && asked.CPU >= 0 && asked.Requests >= 0 {
		s.asked, s.askedAt = *asked, now
		s.asked.Known = slices.DeleteFunc(s.asked.Known[:min(len(s.asked.Known), sched.MaxStatedCallers)], func(c sched.CallerWork) bool { return c.CPU < 0 })
	}
}

// isRecent reports whether the amount of work is known and recent.
func (s *statedDemand) isRecent(now time.Duration) bool {
	return s.askedAt > 0 && now-s.askedAt < askedTimeout
}

// addTotalAsked adds the sum of the linked entries' demands to a load for one of them, if it is due.
func (m *Machine) addTotalAsked(now time.Duration, ent *entryState, load *wire.RunLoad) {
	if m.disabled.Has(policy.DemandShares) || !ent.stated.isRecent(now) || now-ent.stated.totalSentAt < AskedInterval {
		return
	}
	total := m.totalAsked(now)
	total.Known = m.totalKnown(now, ent)
	load.Asked, ent.stated.totalSentAt = &total, now
}

// totalAsked returns what the callers of all linked entries ask for.
func (m *Machine) totalAsked(now time.Duration) (total sched.AskedWork) {
	for _, ent := range m.entries {
		if ent.isLinked && ent.stated.isRecent(now) {
			total = total.Plus(ent.stated.asked)
		}
	}
	return total
}

// totalKnown returns what the callers that an entry has stated ask for at all linked entries that have stated
// them.
func (m *Machine) totalKnown(now time.Duration, ent *entryState) []sched.CallerWork {
	total := slices.Clone(ent.stated.asked.Known)
	for _, other := range m.entries {
		if other == ent || !other.isLinked || !other.stated.isRecent(now) {
			continue
		}
		for _, c := range other.stated.asked.Known {
			if i := slices.IndexFunc(total, func(t sched.CallerWork) bool { return t.Hash == c.Hash }); i >= 0 {
				total[i].CPU += c.CPU
			}
		}
	}
	return total
}

// hasUnevenDemand reports whether the waiting entries are asked for so unequal amounts of work that the
// order of arrival decides between them.
func (m *Machine) hasUnevenDemand(now time.Duration) bool {
	if m.disabled.Has(policy.DemandShares) {
		return false
	}
	var lowest, highest *sched.AskedWork
	for _, ent := range m.entries {
		if !ent.isLinked || ent.demand.CPU == 0 || !ent.stated.isRecent(now) {
			continue
		}
		asked := &ent.stated.asked
		if lowest == nil || asked.CPU < lowest.CPU {
			lowest = asked
		}
		if highest == nil || asked.CPU > highest.CPU {
			highest = asked
		}
	}
	if lowest == nil {
		return false
	}
	byChance := 2 * sched.ChanceDeviation(float64(lowest.Requests+highest.Requests)/2)
	return float64(highest.CPU) > max(maxEvenRatio, 1+byChance)*float64(lowest.CPU)
}
