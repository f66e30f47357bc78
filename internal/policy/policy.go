// Package policy names the mechanisms of the decisions that can be switched off, so
// that what each of them is worth can be measured. There is no setting for it: tests
// hand a Set to the machines, and tools link one in:
//
//	go build -ldflags "-X wigeontray/internal/policy.linked=whole-starts,offers" ./cmd/...
//
// The package imports nothing of the project.
package policy

import (
	"fmt"
	"slices"
	"strings"
)

// Mechanism is one mechanism of a decision.
type Mechanism uint8

// Mechanisms. Without one, the machines leave its rule out; all constants stay.
const (
	// WholeStarts lets a job that others may overtake begin only as a whole.
	WholeStarts Mechanism = iota
	// BoundedWait refuses a job that has waited for a part of its time.
	BoundedWait
	// Offers holds room for one waiting entry at a time.
	Offers
	// UrgentOffers orders offers by the most urgent task that would fit, and lets them
	// grow and be declined.
	UrgentOffers
	// NearFirst tells the guards of the own failure domain first that tasks wait.
	NearFirst
	// OwnDomain places tasks in the own failure domain first.
	OwnDomain
	// LearnedTimes corrects the callers' estimates of run times.
	LearnedTimes
	// QuickShare assumes that a job may end in a part of its expected time.
	QuickShare
	// Quarantine shuts out workers that fail or are slow.
	Quarantine
	// Probation lets a worker come back with one task at first.
	Probation
	// StallWatch stops runs that stand still.
	StallWatch
	// PaceWatch finds a slow worker by how its runs advance, and moves them.
	PaceWatch
	// RetrySpread tells refused callers different times to come back at.
	RetrySpread
	// StoredReport lets a guard begin with the last report of its worker in the store.
	StoredReport
	// ConfigRelay passes a configuration from guards to entries that have an older one.
	ConfigRelay
	// StartGrace lets jobs wait for the first workers of an entry that has just begun.
	StartGrace
	// QuickOrders waits for less long for answers of a worker that left one out.
	QuickOrders
	// HangWatch gives back at once what a worker has on which nothing advances.
	HangWatch
	// CrashLimit fails the job of a task under which workers have crashed.
	CrashLimit
	// SuspectsApart runs tasks that are suspected of a crash apart from each other.
	SuspectsApart
	mechanismCount
)

var mechanismNames = [mechanismCount]string{
	WholeStarts: "whole-starts", BoundedWait: "bounded-wait", Offers: "offers", UrgentOffers: "urgent-offers",
	NearFirst: "near-first", OwnDomain: "own-domain", LearnedTimes: "learned-times", QuickShare: "quick-share",
	Quarantine: "quarantine", Probation: "probation", StallWatch: "stall-watch", PaceWatch: "pace-watch",
	RetrySpread: "retry-spread", StoredReport: "stored-report", ConfigRelay: "config-relay", StartGrace: "start-grace",
	QuickOrders: "quick-orders", HangWatch: "hang-watch", CrashLimit: "crash-limit", SuspectsApart: "suspects-apart",
}

// String gives the name that Parse reads.
func (m Mechanism) String() string { return mechanismNames[m] }

// All lists the mechanisms.
func All() []Mechanism {
	mechanisms := make([]Mechanism, mechanismCount)
	for i := range mechanisms {
		mechanisms[i] = Mechanism(i)
	}
	return mechanisms
}

// Set is a set of mechanisms. The zero value is empty.
type Set uint32

// Of gives the set of some mechanisms.
func Of(mechanisms ...Mechanism) Set {
	var s Set
	for _, m := range mechanisms {
		s |= 1 << m
	}
	return s
}

// Has tells whether a mechanism is in the set.
func (s Set) Has(m Mechanism) bool { return s&(1<<m) != 0 }

// Parse reads names that are separated by commas.
func Parse(list string) (Set, error) {
	var s Set
	for _, name := range strings.Split(list, ",") {
		if name == "" {
			continue
		}
		m := slices.Index(mechanismNames[:], name)
		if m < 0 {
			return 0, fmt.Errorf("no mechanism is named %q", name)
		}
		s |= 1 << m
	}
	return s, nil
}

// linked is set by the linker.
var linked string

// Linked gives the mechanisms that this program was linked without. A name that is
// not known ends the process: its measurement would be of something else.
func Linked() Set {
	s, err := Parse(linked)
	if err != nil {
		panic(err)
	}
	return s
}
