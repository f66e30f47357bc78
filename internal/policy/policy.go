// Package policy lists the scheduling mechanisms that can be disabled for ablation
// measurements, which show what each mechanism contributes. No setting disables them:
// tests pass a Set to the state machines, and measuring tools set one at link time:
//
//	go build -ldflags "-X wigeontray/internal/policy.linked=whole-starts,offers" ./cmd/...
//
// The package imports no other package of the project.
package policy

import (
	"fmt"
	"slices"
	"strings"
)

// Mechanism is a rule of the scheduler that can be disabled on its own.
type Mechanism uint8

// Mechanisms. Disabling one skips its rule and changes no constant.
const (
	// WholeStarts starts a job that other jobs may overtake only when all its tasks can
	// start together.
	WholeStarts Mechanism = iota
	// BoundedWait refuses a job that has to queue for more than a fraction of the time in
	// which it should finish.
	BoundedWait
	// Offers reserves freed capacity for one waiting entry at a time.
	Offers
	// UrgentOffers orders offers by the most urgent task that fits, and lets an offer be
	// extended or declined.
	UrgentOffers
	// NearFirst announces waiting tasks to the guards of the entry's own failure domain
	// first.
	NearFirst
	// OwnDomain prefers workers in the entry's own failure domain.
	OwnDomain
	// LearnedTimes corrects the callers' run time estimates by observed run times.
	LearnedTimes
	// QuickShare admits a job that would meet its deadline in a fraction of its expected
	// time.
	QuickShare
	// Quarantine excludes workers that fail tasks or are slow.
	Quarantine
	// Probation limits a worker that returns to one task at first.
	Probation
	// StallWatch stops runs that make no progress.
	StallWatch
	// PaceWatch detects a slow worker by the progress of its runs and moves the runs.
	PaceWatch
	// RetrySpread gives refused callers different retry times.
	RetrySpread
	// StoredReport lets a guard start from the last report of its worker in the store.
	StoredReport
	// ConfigRelay forwards a configuration from guards to entries that have an older one.
	ConfigRelay
	// StartGrace queues jobs of a newly started entry until its first workers register.
	StartGrace
	// QuickOrders shortens the answer timeouts of a worker that left a request unanswered.
	QuickOrders
	// HangWatch immediately returns the runs of a worker on which no run makes progress.
	HangWatch
	// CrashLimit fails a job if workers crashed while running one of its tasks.
	CrashLimit
	// SuspectsApart places no two tasks that are suspected of a crash on one worker.
	SuspectsApart
	// WorkerSpeeds learns how fast each worker is and gives the fast ones the tasks that would
	// end too late elsewhere.
	WorkerSpeeds
	// DemandShares divides scarce capacity among entries by what their callers ask for.
	DemandShares
	// CallerShares divides scarce capacity among callers in max-min shares.
	CallerShares
	// StrictOffers uses capacity that is offered for the most urgent tasks for nothing less urgent, and
	// offers it in the order of arrival.
	StrictOffers
	mechanismCount
)

var mechanismNames = [mechanismCount]string{
	WholeStarts: "whole-starts", BoundedWait: "bounded-wait", Offers: "offers", UrgentOffers: "urgent-offers",
	NearFirst: "near-first", OwnDomain: "own-domain", LearnedTimes: "learned-times", QuickShare: "quick-share",
	Quarantine: "quarantine", Probation: "probation", StallWatch: "stall-watch", PaceWatch: "pace-watch",
	RetrySpread: "retry-spread", StoredReport: "stored-report", ConfigRelay: "config-relay", StartGrace: "start-grace",
	QuickOrders: "quick-orders", HangWatch: "hang-watch", CrashLimit: "crash-limit", SuspectsApart: "suspects-apart",
	WorkerSpeeds: "worker-speeds", DemandShares: "demand-shares", CallerShares: "caller-shares",
	StrictOffers: "strict-offers",
}

// String returns the name that Parse accepts.
func (m Mechanism) String() string { return mechanismNames[m] }

// All returns every mechanism.
func All() []Mechanism {
	mechanisms := make([]Mechanism, mechanismCount)
	for i := range mechanisms {
		mechanisms[i] = Mechanism(i)
	}
	return mechanisms
}

// Set is a set of mechanisms. The zero value is empty.
type Set uint32

// Of returns the set of the given mechanisms.
func Of(mechanisms ...Mechanism) Set {
	var s Set
	for _, m := range mechanisms {
		s |= 1 << m
	}
	return s
}

// Has reports whether the set contains m.
func (s Set) Has(m Mechanism) bool { return s&(1<<m) != 0 }

// Parse reads a comma-separated list of mechanism names. Empty names are skipped; an
// unknown name is an error.
func Parse(list string) (Set, error) {
	var s Set
	for _, name := range strings.Split(list, ",") {
		if name == "" {
			continue
		}
		m := slices.Index(mechanismNames[:], name)
		if m < 0 {
			return 0, fmt.Errorf("unknown mechanism %q", name)
		}
		s |= 1 << m
	}
	return s, nil
}

// linked is the list that the linker sets with -X.
var linked string

// Linked returns the mechanisms that were disabled at link time. It panics on an unknown
// name, because the program would then measure a configuration other than the intended one.
func Linked() Set {
	s, err := Parse(linked)
	if err != nil {
		panic(err)
	}
	return s
}
