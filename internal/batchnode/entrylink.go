package batchnode

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"wigeontray/internal/batch"
	"wigeontray/internal/errkind"
	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
)

// helloTimeout is how long an entry waits for the first frame of a link.
const helloTimeout = 2 * time.Second

// maxConcurrentAccepts is the number of links that an entry accepts at once. All guards dial an entry
// that has restarted; if it served hundreds of handshakes at the same time, callers would wait behind
// all of them for a turn on its processor.
const maxConcurrentAccepts = 4

// ServeHTTP accepts links of guards.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	link, err := e.accept(w, r)
	if err != nil {
		e.opt.Log.Warn("link not accepted", "remote", r.RemoteAddr, "err", err)
		return
	}
	go e.Serve(context.Background(), link)
}

// accept upgrades a request to a link once fewer than maxConcurrentAccepts others are in progress.
func (e *Entry) accept(w http.ResponseWriter, r *http.Request) (wire.Link, error) {
	select {
	case e.acceptSlots <- struct{}{}:
	case <-r.Context().Done():
		return nil, r.Context().Err() // the guard has given the handshake up
	}
	defer func() { <-e.acceptSlots }()
	return wire.Accept(w, r, nil)
}

// Serve performs the handshake on a link and handles its frames until it is closed.
func (e *Entry) Serve(ctx context.Context, link wire.Link) {
	hello, err := e.receiveHello(ctx, link)
	if err != nil {
		e.opt.Metrics.Inc(telemetry.LinksRefused)
		e.opt.Log.Warn("link refused", "err", err)
		link.Close("no hello")
		return
	}
	e.addLink(hello, link)
	for {
		f, err := link.Recv(ctx)
		if err != nil {
			break
		}
		e.handleFrame(hello, link, f)
	}
	e.removeLink(hello, link)
}

// receiveHello reads and validates the first frame of a link.
func (e *Entry) receiveHello(ctx context.Context, link wire.Link) (*wire.RunHello, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	f, err := link.Recv(ctx)
	if err != nil {
		return nil, fmt.Errorf("wait for hello: %w", err)
	}
	if f.RunHello == nil || f.RunHello.Incarnation == "" {
		return nil, errors.New("first frame is not a hello")
	}
	if f.RunHello.Version < wire.MinVersion {
		return nil, fmt.Errorf("protocol version %d is older than %d", f.RunHello.Version, wire.MinVersion)
	}
	return f.RunHello, nil
}

// addLink registers a link as the current one of its guard, closes the previous one, and sends
// the welcome.
func (e *Entry) addLink(hello *wire.RunHello, link wire.Link) {
	e.configMu.Lock() // changes of configuration and drains are sent after the welcome
	defer e.configMu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closeLink(hello.Incarnation, "superseded")
	e.links[hello.Incarnation] = link
	e.opt.Metrics.Inc(telemetry.LinksOpened)
	e.opt.Metrics.Set(telemetry.Guards, int64(len(e.links)))
	e.opt.Log.Info("guard linked", "guard", hello.Incarnation, "worker", hello.Worker.WorkerInstance, "usable", hello.Worker.Usable)
	e.sendToGuard(hello.Incarnation, &wire.Frame{RunWelcome: &wire.RunWelcome{
		Version: wire.Version, Incarnation: e.id, Revision: e.configVersion,
		Entries: e.addressesFor(hello.Incarnation), LinkAll: e.smallServices.linkAll[hello.Worker.Service], Software: telemetry.Version,
	}})
	drains := e.drains.known
	e.sendToGuard(hello.Incarnation, &wire.Frame{Drains: &drains}) // must precede the first task
	if e.asksNextGuard {
		e.asksNextGuard = false
		e.requestEntriesFrom(hello.Incarnation)
	}
	e.stepLocked(func(now time.Duration, m *batch.Machine) { m.AddGuard(now, hello) })
}

// removeLink removes a closed link and notifies the machine, unless a newer link of the same
// guard has replaced it.
func (e *Entry) removeLink(hello *wire.RunHello, link wire.Link) {
	link.Close("done")
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.outgoingCopies.inProgress, link)
	if current := e.links[hello.Incarnation]; current != nil && current != link {
		return
	}
	delete(e.links, hello.Incarnation)
	e.opt.Metrics.Inc(telemetry.LinksLost)
	e.opt.Metrics.Set(telemetry.Guards, int64(len(e.links)))
	e.opt.Log.Info("guard link ended", "guard", hello.Incarnation)
	e.stepLocked(func(now time.Duration, m *batch.Machine) { m.RemoveGuard(now, hello.Incarnation) })
}

func (e *Entry) handleFrame(hello *wire.RunHello, link wire.Link, f *wire.Frame) {
	if f.DesiredConfig != nil {
		e.handleGuardConfig(hello, link, f.DesiredConfig)
		return
	}
	if f.Drains != nil {
		e.handleGuardDrains(link, f.Drains)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.links[hello.Incarnation] != link {
		return // a newer link has replaced this one
	}
	switch {
	case f.RunsEnded != nil:
		e.countRunEnds(f.RunsEnded)
		e.stepLocked(func(now time.Duration, m *batch.Machine) { m.HandleRunsEnded(now, hello.Incarnation, f.RunsEnded) })
	case f.GuardHeartbeat != nil:
		if w := f.GuardHeartbeat.Worker; w != nil {
			e.opt.Log.Info("worker changed", "guard", hello.Incarnation, "worker", w.WorkerInstance, "usable", w.Usable, "leaving", w.Leaving)
		}
		e.stepLocked(func(now time.Duration, m *batch.Machine) { m.HandleBeat(now, hello.Incarnation, f.GuardHeartbeat) })
	case f.WorkerCrash != nil:
		e.machine.HandleWorkerCrash(f.WorkerCrash)
	case f.CrashRelay != nil:
		e.handleCrashRelay(hello.Incarnation, f.CrashRelay)
	case f.JobQuery != nil:
		e.answerQuery(hello.Incarnation, f.JobQuery)
	case f.Entries != nil:
		e.addEntries(f.Entries.Addresses)
	case f.CancelledJobs != nil:
		e.cancelJobs(f.CancelledJobs.Jobs)
	case f.JobReport != nil:
		e.handleReport(hello.Incarnation, f.JobReport)
	default:
		e.opt.Metrics.Inc(telemetry.FramesUnknown)
	}
}

func (e *Entry) countRunEnds(r *wire.RunsEnded) {
	for i := range r.Ends {
		end := &r.Ends[i]
		switch {
		case end.Kind == errkind.None:
			e.opt.Metrics.Inc(telemetry.TasksAnswered)
			e.opt.Metrics.Observe(telemetry.TaskRunLatency, time.Duration(end.RunMs)*time.Millisecond)
		case end.Ran == errkind.RanNo:
			e.opt.Metrics.Inc(telemetry.TasksNotStarted)
		default:
			e.opt.Metrics.CountFailure(end.Kind)
		}
	}
}
