package batchnode

import (
	"math"
	"time"

	"wigeontray/internal/batch"
	"wigeontray/internal/errkind"
	"wigeontray/internal/telemetry"
)

// EntrySharesStatus describes how an entry shares the capacity with other entries.
type EntrySharesStatus struct {
	ByDemand bool            `json:"by_demand"` // the setting
	Services []ServiceStatus `json:"services"`
}

// ServiceStatus describes the demand for one service's capacity.
type ServiceStatus struct {
	Service string       `json:"service"`
	Asked   DemandStatus `json:"asked"` // for by the callers of this entry
	// Total is what the callers of all entries ask for, as the guards have stated it; nil if that is not known.
	Total           *DemandStatus  `json:"total,omitempty"`
	TotalAgeSeconds float64        `json:"total_age_s,omitempty"`
	Entries         int            `json:"entries"`             // that share a worker
	Part            float64        `json:"part"`                // of the capacity that this entry expects
	PartBy          string         `json:"part_by"`             // equal or demand
	Refused         map[string]int `json:"refused_last_minute"` // requests by error kind
	HeaviestCallers []CallerStatus `json:"heaviest_callers"`
}

// DemandStatus is an amount of work that callers ask for.
type DemandStatus struct {
	Cores    float64 `json:"cores"`
	Callers  int     `json:"callers"`
	Requests int     `json:"requests"` // that the amount rests on
}

// CallerStatus is the work that one caller asks for.
type CallerStatus struct {
	Caller string  `json:"caller"` // empty for the callers that are measured as one
	Cores  float64 `json:"cores"`
}

// sharesStatus returns the entry's shares. mu must be held.
func (e *Entry) sharesStatus(now time.Duration) EntrySharesStatus {
	out := EntrySharesStatus{ByDemand: e.opt.SharesByDemand, Services: []ServiceStatus{}}
	for _, service := range e.machine.ShareServices() {
		share := e.machine.ShareWithCallers(now, service)
		s := ServiceStatus{
			Service: service, Entries: share.Entries, Part: rounded(share.Part), PartBy: shareName(&share),
			Asked:   DemandStatus{Cores: cores(share.Own.CPU), Callers: share.Own.Callers, Requests: share.Own.Requests},
			Refused: e.recentRefusals.of(now, service), HeaviestCallers: []CallerStatus{},
		}
		if share.IsTotalKnown {
			s.Total = &DemandStatus{Cores: cores(share.Total.CPU), Callers: share.Total.Callers, Requests: share.Total.Requests}
			s.TotalAgeSeconds = share.TotalAge.Seconds()
		}
		for _, c := range share.Heaviest {
			s.HeaviestCallers = append(s.HeaviestCallers, CallerStatus{Caller: c.Caller, Cores: cores(c.CPU)})
		}
		out.Services = append(out.Services, s)
	}
	return out
}

func shareName(s *batch.ShareStatus) string {
	if s.ByDemand {
		return telemetry.ShareByDemand
	}
	return telemetry.ShareEqual
}

// cores converts thousandths of a core.
func cores(cpu int64) float64 { return float64(cpu) / 1000 }

// rounded rounds to thousandths.
func rounded(part float64) float64 { return math.Round(part*1000) / 1000 }

const (
	// shareCheckInterval is the interval between two checks whether a share has changed.
	shareCheckInterval = 500 * time.Millisecond
	// minShareLogInterval is the minimum interval between two log lines about the share of a service, or
	// about the order of a guard's offers.
	minShareLogInterval = 5 * time.Second
	// minShareLogChange is the relative change of a part from which on it is logged.
	minShareLogChange = 0.25
)

// loggedShare is the share of a service as it was logged last.
type loggedShare struct {
	part     float64 // 0 if none was recorded
	byDemand bool
	at       time.Duration // of the last line; 0 for none
}

// isChange reports whether a share differs from the logged one so much that it is logged, and records it in
// that case.
func (l *loggedShare) isChange(now time.Duration, part float64, byDemand bool) bool {
	if l.part == 0 && !byDemand {
		l.part = part
	}
	if byDemand == l.byDemand && math.Abs(part-l.part) <= minShareLogChange*l.part || l.at > 0 && now-l.at < minShareLogInterval {
		return false
	}
	*l = loggedShare{part: part, byDemand: byDemand, at: now}
	return true
}

// shareLog logs changes of the entry's shares.
type shareLog struct {
	checkedAt time.Duration
	logged    map[string]*loggedShare // by service
}

// logShareChanges logs the shares that have changed. mu must be held.
func (e *Entry) logShareChanges(now time.Duration) {
	if !e.opt.SharesByDemand || now-e.shareLog.checkedAt < shareCheckInterval {
		return
	}
	e.shareLog.checkedAt = now
	for _, service := range e.machine.ShareServices() {
		logged := e.shareLog.logged[service]
		if logged == nil {
			logged = new(loggedShare)
			e.shareLog.logged[service] = logged
		}
		share := e.machine.Share(now, service)
		before := *logged
		if !logged.isChange(now, share.Part, share.ByDemand) {
			continue
		}
		e.opt.Log.Info("share of the capacity changed", "service", service, "part", rounded(share.Part), "part_by", shareName(&share), "before", rounded(before.part),
			"own", cores(share.Own.CPU), "total", cores(share.Total.CPU), "requests", share.Total.Requests, "entries", share.Entries, "total_age", share.TotalAge.Round(time.Millisecond))
	}
}

// refusalInputs is what a refusal was based on, read before anything has changed.
type refusalInputs struct {
	snapshot batch.Snapshot
	share    batch.ShareStatus
	wait     time.Duration
}

// recordRefusal logs and counts a refused job. mu must be held.
func (e *Entry) recordRefusal(now time.Duration, job *batch.Job, refused *errkind.Error, in *refusalInputs) {
	e.opt.Metrics.CountRefusal(refused.Kind)
	e.recentRefusals.record(now, job.Queue.Service, refused.Kind)
	if isWaitRefusal(refused.Kind) && in.wait > 0 {
		e.opt.Metrics.CountWaitRefusal(shareName(&in.share))
	}
	s, share := &in.snapshot, &in.share
	e.opt.Log.Info("job refused", "job", job.ID, "request", job.Request, "queue", job.Queue.Name, "reason", refused.Kind, "cause", refused.Detail, "after", refused.After,
		"waiting", s.Waiting, "running", s.Running, "workers", s.Workers, "free", s.Free, "entries", s.Entries, "link_rate", s.LinkRate, "link_ahead", s.LinkBacklog,
		"wait", in.wait.Round(time.Millisecond), "part", rounded(share.Part), "part_by", shareName(share), "own", cores(share.Own.CPU), "total", cores(share.Total.CPU), "total_age", share.TotalAge.Round(time.Millisecond), "caller", job.Caller)
}

// isWaitRefusal reports whether a job is refused with a kind because it would wait too long.
func isWaitRefusal(kind errkind.Kind) bool {
	return kind == errkind.Overloaded || kind == errkind.CannotFinishInTime
}
