package batchnode

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"wigeontray/internal/batch"
	"wigeontray/internal/errkind"
	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
)

// helloTimeout bounds the wait for the first frame of a link.
const helloTimeout = 2 * time.Second

// ServeHTTP takes links of guards.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	link, err := wire.Accept(w, r, nil)
	if err != nil {
		e.opt.Log.Warn("link not accepted", "remote", r.RemoteAddr, "err", err)
		return
	}
	go e.Serve(context.Background(), link)
}

// Serve reads one link until it ends.
func (e *Entry) Serve(ctx context.Context, link wire.Link) {
	hello, err := e.greet(ctx, link)
	if err != nil {
		e.opt.Metrics.Inc(telemetry.LinksRefused)
		e.opt.Log.Warn("link refused", "err", err)
		link.Close("no hello")
		return
	}
	e.open(hello, link)
	for {
		f, err := link.Recv(ctx)
		if err != nil {
			break
		}
		e.receive(hello, link, f)
	}
	e.closed(hello, link)
}

func (e *Entry) greet(ctx context.Context, link wire.Link) (*wire.RunHello, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	f, err := link.Recv(ctx)
	if err != nil {
		return nil, fmt.Errorf("wait for hello: %w", err)
	}
	if f.RunHello == nil || f.RunHello.Incarnation == "" {
		return nil, errors.New("first frame is no hello")
	}
	if f.RunHello.Version < wire.MinVersion {
		return nil, fmt.Errorf("protocol version %d is older than %d", f.RunHello.Version, wire.MinVersion)
	}
	return f.RunHello, nil
}

// open makes a link the current one of its guard and welcomes it.
func (e *Entry) open(h *wire.RunHello, link wire.Link) {
	e.configMu.Lock() // what changes meanwhile is told after the welcome
	defer e.configMu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unlink(h.Incarnation, "superseded")
	e.links[h.Incarnation] = link
	e.opt.Metrics.Inc(telemetry.LinksOpened)
	e.opt.Metrics.Set(telemetry.Guards, int64(len(e.links)))
	e.opt.Log.Info("guard linked", "guard", h.Incarnation, "worker", h.Worker.ID, "usable", h.Worker.Usable)
	e.post(h.Incarnation, &wire.Frame{RunWelcome: &wire.RunWelcome{
		Version: wire.Version, Incarnation: e.id, Revision: e.version,
		Entries: e.known, Software: telemetry.Version,
	}})
	drains := e.drains.known
	e.post(h.Incarnation, &wire.Frame{Drains: &drains}) // before any task
	e.stepLocked(func(now time.Duration, m *batch.Machine) { m.GuardUp(now, h) })
}

// closed tells the machine of a link that has ended, unless a newer one of the
// same guard has taken its place.
func (e *Entry) closed(h *wire.RunHello, link wire.Link) {
	link.Close("done")
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.copies.sending, link)
	if current := e.links[h.Incarnation]; current != nil && current != link {
		return
	}
	delete(e.links, h.Incarnation)
	e.opt.Metrics.Inc(telemetry.LinksLost)
	e.opt.Metrics.Set(telemetry.Guards, int64(len(e.links)))
	e.opt.Log.Info("guard link ended", "guard", h.Incarnation)
	e.stepLocked(func(now time.Duration, m *batch.Machine) { m.GuardDown(now, h.Incarnation) })
}

func (e *Entry) receive(h *wire.RunHello, link wire.Link, f *wire.Frame) {
	if f.Desired != nil {
		e.fromGuard(h, link, f.Desired)
		return
	}
	if f.Drains != nil {
		e.drainsFromGuard(link, f.Drains)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.links[h.Incarnation] != link {
		return // a newer link has taken its place
	}
	switch {
	case f.RunsEnded != nil:
		e.countEnds(f.RunsEnded)
		e.stepLocked(func(now time.Duration, m *batch.Machine) { m.Ended(now, h.Incarnation, f.RunsEnded) })
	case f.GuardBeat != nil:
		if w := f.GuardBeat.Worker; w != nil {
			e.opt.Log.Info("worker changed", "guard", h.Incarnation, "worker", w.ID, "usable", w.Usable, "leaving", w.Leaving)
		}
		e.stepLocked(func(now time.Duration, m *batch.Machine) { m.Beat(now, h.Incarnation, f.GuardBeat) })
	case f.WorkerCrash != nil:
		e.machine.NoteCrash(f.WorkerCrash)
	case f.JobQuery != nil:
		e.report(h.Incarnation, f.JobQuery)
	case f.JobReport != nil:
		e.queries.take(f.JobReport)
	default:
		e.opt.Metrics.Inc(telemetry.FramesUnknown)
	}
}

func (e *Entry) countEnds(r *wire.RunsEnded) {
	for i := range r.Ends {
		end := &r.Ends[i]
		switch {
		case end.Kind == errkind.None:
			e.opt.Metrics.Inc(telemetry.TasksAnswered)
			e.opt.Metrics.Observe(telemetry.TaskRunLatency, time.Duration(end.RunMs)*time.Millisecond)
		case end.Ran == errkind.RanNo:
			e.opt.Metrics.Inc(telemetry.TasksNotStarted)
		default:
			e.opt.Metrics.Failed(end.Kind)
		}
	}
}

// SetEntries notes where entries are, this one among them, and sends the new addresses to
// the guards. The whole list at each change, from each entry, would fill the links of a large
// fleet while its entries come back one after the other. An entry that has restarted is listed
// twice until its earlier registration lapses.
func (e *Entry) SetEntries(addresses []string) {
	if !slices.Contains(addresses, e.opt.Address) {
		addresses = append(addresses, e.opt.Address)
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	e.mu.Lock()
	defer e.mu.Unlock()
	if slices.Equal(addresses, e.known) {
		return
	}
	added := slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return slices.Contains(e.known, a) })
	e.known = addresses
	e.opt.Log.Info("entries changed", "entries", len(addresses))
	e.machine.SetEntries(len(addresses))
	if len(added) == 0 {
		return
	}
	for id := range e.links {
		e.post(id, &wire.Frame{Entries: &wire.Entries{Addresses: added}})
	}
}
