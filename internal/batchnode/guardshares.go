package batchnode

import (
	"time"

	"wigeontray/internal/identity"
	"wigeontray/internal/runs"
)

// GuardSharesStatus describes how a guard divides the room of its worker among entries.
type GuardSharesStatus struct {
	// RoomBy is the order in which equally urgent entries are offered room: turn or arrival; none if fewer than
	// two wait.
	RoomBy  string              `json:"room_by"`
	Total   DemandStatus        `json:"total"` // sum of what the entries have stated
	Entries []EntryDemandStatus `json:"entries"`
}

// EntryDemandStatus is what a linked entry has stated of its callers' requests.
type EntryDemandStatus struct {
	Entry identity.Incarnation `json:"entry"`
	// Asked is nil if the entry has stated nothing recently.
	Asked           *DemandStatus `json:"asked,omitempty"`
	AskedAgeSeconds float64       `json:"asked_age_s,omitempty"`
	WaitingCores    float64       `json:"waiting_cores,omitempty"` // that it waits for
	WaitingSeconds  float64       `json:"waiting_s,omitempty"`     // age of its oldest waiting job
}

// sharesStatus returns the demands of the linked entries. mu must be held.
func (g *Guard) sharesStatus(now time.Duration) GuardSharesStatus {
	total := g.machine.TotalAsked(now)
	out := GuardSharesStatus{
		RoomBy:  g.machine.OfferOrder(now).String(),
		Total:   DemandStatus{Cores: cores(total.CPU), Callers: total.Callers, Requests: total.Requests},
		Entries: []EntryDemandStatus{},
	}
	for _, d := range g.machine.EntryDemands(now) {
		s := EntryDemandStatus{Entry: d.Entry, WaitingCores: cores(d.WaitingCPU), WaitingSeconds: d.Waited.Seconds()}
		if d.IsKnown {
			s.Asked = &DemandStatus{Cores: cores(d.Asked.CPU), Callers: d.Asked.Callers, Requests: d.Asked.Requests}
			s.AskedAgeSeconds = d.AskedAge.Seconds()
		}
		out.Entries = append(out.Entries, s)
	}
	return out
}

// offerLog counts a guard's offers and logs changes of their order.
type offerLog struct {
	counted   uint64 // offers
	checkedAt time.Duration
	order     runs.OfferOrder // logged last; offers are in turn at the start
	loggedAt  time.Duration   // 0 for never
}

// recordOffers counts the offers made since the last call by their order, and logs a change of the order. mu
// must be held.
func (g *Guard) recordOffers(now time.Duration) {
	l := &g.offerLog
	made := g.machine.Offers() - l.counted
	if made == 0 && now-l.checkedAt < shareCheckInterval {
		return
	}
	l.counted += made
	order := g.machine.OfferOrder(now)
	g.opt.Metrics.CountOffers(order.String(), int64(made))
	if now-l.checkedAt < shareCheckInterval {
		return
	}
	l.checkedAt = now
	if !l.isChange(now, order) {
		return
	}
	total := g.machine.TotalAsked(now)
	g.opt.Log.Info("order of offers changed", "order", order, "total", cores(total.CPU), "callers", total.Callers, "requests", total.Requests, "entries", len(g.links))
}

// isChange reports whether the order is logged, and records it in that case. Where fewer than two entries
// wait there is no order to log.
func (l *offerLog) isChange(now time.Duration, order runs.OfferOrder) bool {
	if order == runs.NoOrder || order == l.order || l.loggedAt > 0 && now-l.loggedAt < minShareLogInterval {
		return false
	}
	l.order, l.loggedAt = order, now
	return true
}
