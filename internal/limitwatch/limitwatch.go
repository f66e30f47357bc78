// Package limitwatch shows operators when the limits on clients act: metrics, and log lines at a limited rate.
//
// The package may import membudget and telemetry.
package limitwatch

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"wigeontray/internal/membudget"
	"wigeontray/internal/telemetry"
)

// lineInterval is the time between two log lines.
const lineInterval = 5 * time.Second

// watch logs what the limits have done since its last line.
type watch struct {
	budget *membudget.Budget
	log    *log.Logger

	writeMu sync.Mutex // serialises write; lock order: writeMu, then the lock of the budget, then mu
	logged  membudget.Stats

	mu        sync.Mutex
	isPending bool // a line is scheduled
	loggedAt  time.Time
}

// Start registers the metrics of a budget, and logs when its limits act. It must be called before the budget and the
// registry are used.
func Start(b *membudget.Budget, m *telemetry.Registry, l *log.Logger) {
	m.ReadGauge(telemetry.RequestBytes, func() int64 { return b.Stats().Charged })
	m.ReadCounter(telemetry.RequestsEvicted, func() int64 { return b.Stats().Evictions })
	m.ReadCounter(telemetry.RequestsOverMemory, func() int64 { return b.Stats().Refusals })
	m.ReadCounter(telemetry.ConnectionsEvicted, func() int64 { return b.Stats().Connections })
	w := &watch{budget: b, log: l}
	b.OnLimit(w.schedule)
}

// schedule has a line written, unless one is scheduled. It is called with the lock of the budget held.
func (w *watch) schedule() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isPending {
		return
	}
	w.isPending = true
	time.AfterFunc(max(0, lineInterval-time.Since(w.loggedAt)), w.write)
}

func (w *watch) write() {
	w.writeMu.Lock()
	defer w.writeMu.Unlock()
	w.mu.Lock()
	w.isPending, w.loggedAt = false, time.Now()
	w.mu.Unlock()
	stats := w.budget.Stats()
	w.log.Warn("limits on clients act", "requests_evicted", stats.Evictions-w.logged.Evictions, "requests_refused", stats.Refusals-w.logged.Refusals,
		"connections_closed", stats.Connections-w.logged.Connections, "request_bytes", stats.Charged)
	w.logged = stats
}
