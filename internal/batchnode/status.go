package batchnode

import (
	"encoding/json"
	"net/http"
	"time"

	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// StatusPath is the HTTP path at which a process serves its status to operators.
const StatusPath = "/v1/status"

// ConfigStatus describes the active configuration of a process.
type ConfigStatus struct {
	Version        int64   `json:"version"`              // 0 before the first
	InForceSeconds float64 `json:"in_force_s,omitempty"` // time since it was activated
}

// DrainsStatus describes the drains that a process has received.
type DrainsStatus struct {
	Revision int64         `json:"revision"` // of the store; 0 if no drains were received yet
	Domains  []DrainStatus `json:"domains"`
}

// DrainStatus describes one drained failure domain.
type DrainStatus struct {
	Domain       string  `json:"domain"`
	KnownSeconds float64 `json:"known_s,omitempty"` // time since this process received the drain
	Workers      int     `json:"workers,omitempty"` // known workers in this failure domain; set by entries only
}

// ProcessStatus holds the fields common to the status of entries and guards.
type ProcessStatus struct {
	Incarnation identity.Incarnation `json:"incarnation"`
	Config      ConfigStatus         `json:"configuration"`
	Drains      DrainsStatus         `json:"drains"`
}

// EntryStatus is the status of an entry.
type EntryStatus struct {
	ProcessStatus
	UnknownOrders []string `json:"unknown_orders"` // keys of unsupported orders
	Guards        int      `json:"guards"`
	Workers       int      `json:"usable_workers"`
	Jobs          int      `json:"open_jobs"`

	Shares EntrySharesStatus `json:"shares"`
}

// Status returns the current status of the entry.
func (e *Entry) Status() EntryStatus {
	e.configMu.Lock()
	defer e.configMu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.opt.Clock()
	jobs, _ := e.machine.Jobs("")
	s := EntryStatus{
		ProcessStatus: ProcessStatus{
			Incarnation: e.id, Config: ConfigStatus{Version: e.configVersion},
			Drains: newDrainsStatus(&e.drains.known, e.drains.knownSince, now),
		},
		UnknownOrders: append([]string{}, e.unknownOrders...),
		Guards:        len(e.links), Workers: e.machine.Workers(), Jobs: jobs,
		Shares: e.sharesStatus(now),
	}
	if e.configVersion > 0 {
		s.Config.InForceSeconds = (now - e.configAppliedAt).Seconds()
	}
	for i := range s.Drains.Domains {
		d := &s.Drains.Domains[i]
		d.Workers = e.machine.WorkersInDomain(d.Domain)
	}
	return s
}

// GuardStatus is the status of a guard.
type GuardStatus struct {
	ProcessStatus
	Entries int    `json:"entries"`
	Worker  string `json:"worker"` // empty if there is none
	Domain  string `json:"domain"`
	Usable  bool   `json:"usable"`
	Drained bool   `json:"drained"`
	Runs    int    `json:"runs"`

	Shares GuardSharesStatus `json:"shares"`
}

// Status returns the current status of the guard.
func (g *Guard) Status() GuardStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	w, now := g.machine.Worker(), g.opt.Clock()
	return GuardStatus{
		ProcessStatus: ProcessStatus{
			Incarnation: g.id, Config: ConfigStatus{Version: g.configVersion},
			Drains: newDrainsStatus(&g.drains, g.drainedSince, now),
		},
		Entries: len(g.links), Worker: w.ID, Domain: w.Domain, Usable: w.Usable,
		Drained: g.machine.IsDomainDrained(), Runs: g.machine.Running(),
		Shares: g.sharesStatus(now),
	}
}

func newDrainsStatus(d *wire.Drains, since map[string]time.Duration, now time.Duration) DrainsStatus {
	s := DrainsStatus{Revision: d.Revision, Domains: []DrainStatus{}}
	for _, domain := range d.Domains {
		s.Domains = append(s.Domains, DrainStatus{Domain: domain, KnownSeconds: (now - since[domain]).Seconds()})
	}
	return s
}

// knownSince returns when the drain of each domain was first received: the time in previous, or
// now for a domain that is new.
func knownSince(previous map[string]time.Duration, domains []string, now time.Duration) map[string]time.Duration {
	merged := make(map[string]time.Duration, len(domains))
	for _, d := range domains {
		merged[d] = now
		if knownAt, known := previous[d]; known {
			merged[d] = knownAt
		}
	}
	return merged
}

// ServeStatus returns a handler that responds with the result of status as JSON.
func ServeStatus[T any](status func() T) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(status()) // the client may have disconnected
	})
}
