package batchnode

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"wigeontray/internal/pause"
	"wigeontray/internal/policy"
	"wigeontray/internal/runs"
	"wigeontray/internal/store"
	"wigeontray/internal/telemetry"
)

// A worker reports every 1.5 s. If all guards were killed at once, the restarted guards would
// have no worker until the next report, and the fleet would refuse every request. And an entry that the
// store turns away meanwhile is not registered, so that only the guards that were linked to it know
// its address. A guard therefore saves the last report of its worker and the addresses of its
// entries in the store, and the next process of the guard starts from them: what may be outdated is
// verified with the worker, and the next report corrects the rest.

// SavedState is what a guard saves for its next process.
type SavedState struct {
	runs.Report          // last one of the worker
	Entries     []string `json:",omitempty"` // addresses of the entries that the guard links to, sorted
}

// StateStore keeps the state of a guard across its restarts.
type StateStore interface {
	// Load returns the state that was saved last, nil if there is none.
	Load(ctx context.Context) (*SavedState, error)
	// Save replaces the saved state.
	Save(ctx context.Context, state *SavedState) error
}

// saveTimeout is the timeout for saving a state. loadTimeout is the timeout for loading it at
// the start; after that time the worker has most likely sent a report.
const (
	saveTimeout = time.Second
	loadTimeout = 500 * time.Millisecond
)

// saveEntriesInterval is how often changed addresses of entries are saved, and firstSaveEntriesInterval
// is the delay of the first time, by which the guard has linked to its entries. All guards save a change
// of the entries: the interval spreads their calls.
const (
	saveEntriesInterval      = 30 * time.Second
	firstSaveEntriesInterval = 10 * time.Second
)

// persistState restores the saved state, and then saves each queued report and changes of the entries
// until ctx ends.
func (g *Guard) persistState(ctx context.Context) {
	g.restoreState(ctx)
	var saved SavedState
	entriesTimer := time.NewTimer(pause.Jitter(firstSaveEntriesInterval))
	defer entriesTimer.Stop()
	for {
		state := saved
		select {
		case rep := <-g.unsavedReport:
			state.Report, state.Entries = *rep, g.targetAddresses()
		case <-entriesTimer.C:
			entriesTimer.Reset(pause.Jitter(saveEntriesInterval))
			state.Entries = g.targetAddresses()
			if state.ID == "" || slices.Equal(state.Entries, saved.Entries) {
				continue
			}
		case <-ctx.Done():
			return
		}
		if g.saveState(ctx, &state) {
			saved = state
		}
	}
}

// targetAddresses returns the addresses of the entries that the guard links to, sorted.
func (g *Guard) targetAddresses() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var addresses []string
	for address, t := range g.targets {
		if !t.isRetiring {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// restoreState adds the saved addresses of entries, and passes the saved report to the machine unless
// the worker has reported in the meantime.
func (g *Guard) restoreState(ctx context.Context) {
	if policy.Linked().Has(policy.StoredReport) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	state, err := g.opt.StateStore.Load(ctx)
	if errors.Is(err, ErrUnexpectedForm) {
		g.opt.Metrics.Inc(telemetry.MalformedItems)
	}
	if err != nil {
		g.opt.Log.Warn("saved state not read, waiting for the next report of the worker", "err", err)
		return
	}
	if state == nil {
		return
	}
	g.AddEntries(state.Entries)
	if state.Draining {
		return
	}
	rep := &state.Report
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
	if g.opt.StateStore == nil || g.lastQueuedReport != nil && sameWorkerState(g.lastQueuedReport, rep) {
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

// saveState saves a state and reports whether it was saved. After a failure the next report is saved
// even if it is unchanged.
func (g *Guard) saveState(ctx context.Context, state *SavedState) bool {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	err := g.opt.StateStore.Save(ctx, state)
	if err == nil {
		return true
	}
	g.opt.Log.Warn("state not saved", "err", err)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastQueuedReport = nil
	return false
}

// ErrUnexpectedForm marks an item of the store that is not in the form in which this program
// writes it.
var ErrUnexpectedForm = errors.New("unexpected form")

// StoredState implements StateStore with one key of the platform's store.
type StoredState struct {
	Store    store.Store
	Key      string // used only by the guard of this VM
	revision int64  // last known revision of the key; 0 if none
}

// Load implements StateStore.
func (s *StoredState) Load(ctx context.Context) (*SavedState, error) {
	kvs, _, err := s.Store.Range(ctx, s.Key)
	if err != nil {
		return nil, fmt.Errorf("read saved state: %w", err)
	}
	for _, kv := range kvs {
		if kv.Key != s.Key {
			continue
		}
		s.revision = kv.ModRevision
		return decodeState(kv.Value)
	}
	return nil, nil
}

// decodeState decodes and validates a saved state. The error wraps ErrUnexpectedForm if the report
// does not describe a usable worker, or an address is none.
func decodeState(value []byte) (*SavedState, error) {
	state := new(SavedState)
	err := json.Unmarshal(value, state)
	if err == nil {
		err = state.Check()
	}
	if err == nil && (state.Capacity.CPU == 0 || state.Capacity.MemoryMB == 0) {
		err = errors.New("report has no capacity")
	}
	for _, address := range state.Entries {
		err = cmp.Or(err, validateAddress([]byte(address)))
	}
	if err != nil {
		return nil, fmt.Errorf("%w: saved state: %w", ErrUnexpectedForm, err)
	}
	return state, nil
}

// Save implements StateStore. It overwrites the value on a revision conflict: only the guard of
// this VM writes the key, so a conflict means that the response to an earlier write was lost.
func (s *StoredState) Save(ctx context.Context, state *SavedState) error {
	value, err := json.Marshal(state)
	if err != nil {
		return fmt.Errorf("encode state: %w", err)
	}
	revision, err := s.Store.Put(ctx, s.Key, value, s.revision, 0)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		revision, err = s.Store.Put(ctx, s.Key, value, conflict.Current.ModRevision, 0)
	}
	if err != nil {
		return fmt.Errorf("save state: %w", err)
	}
	s.revision = revision
	return nil
}
