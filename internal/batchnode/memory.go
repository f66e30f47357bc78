package batchnode

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"wigeontray/internal/policy"
	"wigeontray/internal/runs"
	"wigeontray/internal/store"
	"wigeontray/internal/telemetry"
)

// A worker reports every 1.5 s. If all guards were killed at once, the restarted guards would
// have no worker until the next report, and the fleet would refuse every request. A guard
// therefore saves the last report of its worker in the store, and the next process of the
// guard starts from it: what may be outdated is verified with the worker, and the next report
// corrects the rest.

// saveTimeout is the timeout for saving a report. loadTimeout is the timeout for loading it at
// the start; after that time the worker has most likely sent a report.
const (
	saveTimeout = time.Second
	loadTimeout = 500 * time.Millisecond
)

// persistReports restores the stored report, and then saves each queued report until ctx ends.
func (g *Guard) persistReports(ctx context.Context) {
	g.restoreReport(ctx)
	for {
		select {
		case rep := <-g.unsavedReport:
			g.saveReport(ctx, rep)
		case <-ctx.Done():
			return
		}
	}
}

// restoreReport passes the stored report to the machine, unless the worker has reported in the
// meantime.
func (g *Guard) restoreReport(ctx context.Context) {
	if policy.Linked().Has(policy.StoredReport) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	rep, err := g.opt.ReportStore.Load(ctx)
	if errors.Is(err, ErrUnexpectedForm) {
		g.opt.Metrics.Inc(telemetry.MalformedItems)
	}
	if err != nil {
		g.opt.Log.Warn("stored report of the worker not read, waiting for the next report", "err", err)
		return
	}
	if rep == nil || rep.Draining {
		return
	}
	g.step(func(now time.Duration, m *runs.Machine) {
		if g.hasReport {
			return // a report of the worker is newer
		}
		g.opt.Log.Info("starting with the stored report of the worker", "worker", rep.ID)
		rep.Seq, rep.IsRecalled = 0, true
		m.HandleReport(now, rep)
	})
}

// queueReport queues a report for saving if it differs from the last one that was queued. It
// replaces a report that is still in the queue.
func (g *Guard) queueReport(rep *runs.Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opt.ReportStore == nil || g.lastQueuedReport != nil && sameWorkerState(g.lastQueuedReport, rep) {
		return
	}
	g.lastQueuedReport = rep
	select {
	case <-g.unsavedReport: // an older report that was not saved yet
	default:
	}
	g.unsavedReport <- rep
}

// sameWorkerState reports whether two reports agree in all that a restarted guard needs.
func sameWorkerState(a, b *runs.Report) bool {
	return a.WorkerInstance == b.WorkerInstance && a.Draining == b.Draining && a.Capacity == b.Capacity &&
		a.Service == b.Service && a.Domain == b.Domain && slices.Equal(a.Labels, b.Labels)
}

// saveReport saves a report. After a failure the next report is saved even if it is unchanged.
func (g *Guard) saveReport(ctx context.Context, rep *runs.Report) {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	if err := g.opt.ReportStore.Save(ctx, rep); err != nil {
		g.opt.Log.Warn("worker report not saved", "err", err)
		g.mu.Lock()
		g.lastQueuedReport = nil
		g.mu.Unlock()
	}
}

// ErrUnexpectedForm marks an item of the store that is not in the form in which this program
// writes it.
var ErrUnexpectedForm = errors.New("unexpected form")

// StoredReport implements ReportStore with one key of the platform's store.
type StoredReport struct {
	Store    store.Store
	Key      string // used only by the guard of this VM
	revision int64  // last known revision of the key; 0 if none
}

// Load implements ReportStore.
func (s *StoredReport) Load(ctx context.Context) (*runs.Report, error) {
	kvs, _, err := s.Store.Range(ctx, s.Key)
	if err != nil {
		return nil, fmt.Errorf("read stored report: %w", err)
	}
	for _, kv := range kvs {
		if kv.Key != s.Key {
			continue
		}
		s.revision = kv.ModRevision
		return decodeStored(kv.Value)
	}
	return nil, nil
}

// decodeStored decodes and validates a stored report. The error wraps ErrUnexpectedForm if the
// report does not describe a usable worker.
func decodeStored(value []byte) (*runs.Report, error) {
	rep := new(runs.Report)
	err := json.Unmarshal(value, rep)
	if err == nil {
		err = rep.Check()
	}
	if err == nil && (rep.Capacity.CPU == 0 || rep.Capacity.MemoryMB == 0) {
		err = errors.New("report has no capacity")
	}
	if err != nil {
		return nil, fmt.Errorf("%w: stored report: %w", ErrUnexpectedForm, err)
	}
	return rep, nil
}

// Save implements ReportStore. It overwrites the value on a revision conflict: only the guard of
// this VM writes the key, so a conflict means that the response to an earlier write was lost.
func (s *StoredReport) Save(ctx context.Context, rep *runs.Report) error {
	value, err := json.Marshal(rep)
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	revision, err := s.Store.Put(ctx, s.Key, value, s.revision, 0)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		revision, err = s.Store.Put(ctx, s.Key, value, conflict.Current.ModRevision, 0)
	}
	if err != nil {
		return fmt.Errorf("save report: %w", err)
	}
	s.revision = revision
	return nil
}
