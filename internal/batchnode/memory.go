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

// A worker reports every second and a half. After all guards were killed, the
// fleet would have no worker until then, and refuse what comes. A guard
// therefore keeps its worker's last report in the store, and its successor begins
// with that: what may be out of date in it is verified with the worker, and a
// report corrects the rest.

// saveTimeout bounds one call; loadTimeout the wait at the start, after which a
// report has most likely come.
const (
	saveTimeout = time.Second
	loadTimeout = 500 * time.Millisecond
)

// persistReports begins with what an earlier guard of this worker knew, and then saves
// each report that tells something new, until ctx ends.
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

func (g *Guard) restoreReport(ctx context.Context) {
	if policy.Linked().Has(policy.StoredReport) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	rep, err := g.opt.Memory.Load(ctx)
	if errors.Is(err, ErrForeign) {
		g.opt.Metrics.Inc(telemetry.ForeignItems)
	}
	if err != nil {
		g.opt.Log.Warn("last report of the worker not read, waiting for the next", "err", err)
		return
	}
	if rep == nil || rep.Draining {
		return
	}
	g.step(func(now time.Duration, m *runs.Machine) {
		if g.hasReport {
			return // the worker's own word is newer
		}
		g.opt.Log.Info("beginning with the last report of the worker", "worker", rep.ID)
		rep.Seq, rep.Recalled = 0, true
		m.Heard(now, rep)
	})
}

// queueReport lets a report be saved if it tells something new.
func (g *Guard) queueReport(rep *runs.Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opt.Memory == nil || g.lastQueuedReport != nil && sameWorkerState(g.lastQueuedReport, rep) {
		return
	}
	g.lastQueuedReport = rep
	select {
	case <-g.unsavedReport: // an older one that was not saved yet
	default:
	}
	g.unsavedReport <- rep
}

func sameWorkerState(a, b *runs.Report) bool {
	return a.ID == b.ID && a.Draining == b.Draining && a.Capacity == b.Capacity &&
		a.Service == b.Service && a.Domain == b.Domain && slices.Equal(a.Labels, b.Labels)
}

// saveReport writes a report. After a failure the next report is saved again.
func (g *Guard) saveReport(ctx context.Context, rep *runs.Report) {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	if err := g.opt.Memory.Save(ctx, rep); err != nil {
		g.opt.Log.Warn("report of the worker not saved", "err", err)
		g.mu.Lock()
		g.lastQueuedReport = nil
		g.mu.Unlock()
	}
}

// ErrForeign marks what lies in the store in another form than this program writes.
var ErrForeign = errors.New("not of the expected form")

// StoredReport is a Memory in the platform's store.
type StoredReport struct {
	Store    store.Store
	Key      string // of this VM's guard alone
	revision int64  // of the key, as far as known
}

// Load implements Memory.
func (s *StoredReport) Load(ctx context.Context) (*runs.Report, error) {
	kvs, _, err := s.Store.Range(ctx, s.Key)
	if err != nil {
		return nil, fmt.Errorf("read last report: %w", err)
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

// decodeStored reads a stored report. Whatever names no worker to use is ErrForeign.
func decodeStored(value []byte) (*runs.Report, error) {
	rep := new(runs.Report)
	err := json.Unmarshal(value, rep)
	if err == nil {
		err = rep.Check()
	}
	if err == nil && (rep.Capacity.CPU == 0 || rep.Capacity.MemoryMB == 0) {
		err = errors.New("report without capacity")
	}
	if err != nil {
		return nil, fmt.Errorf("%w: last report: %w", ErrForeign, err)
	}
	return rep, nil
}

// Save implements Memory. It writes over what stands there: only this VM's
// guard writes the key, and a conflict means that an earlier answer was lost.
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
