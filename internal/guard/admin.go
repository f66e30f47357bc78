package guard

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Bounds of the admin HTTP.
const (
	adminHeaderTimeout = 5 * time.Second
	adminStopTimeout   = time.Second
	adminMaxHeader     = 16 << 10
)

// AdminHandler serves the guard's own state to the worker it runs on:
//
//	GET  /healthz  200 while the process lives
//	GET  /readyz   200 while new work is taken, else 503; JSON of ledger.Stats
//	GET  /metrics  Options.Metrics, if set
//	POST /drain    202; announces a planned stop, for good
func (g *Guard) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", g.serveReady)
	mux.HandleFunc("POST /drain", func(w http.ResponseWriter, _ *http.Request) {
		g.Drain("asked for by the admin HTTP")
		w.WriteHeader(http.StatusAccepted)
	})
	if g.opt.Metrics != nil {
		mux.Handle("GET /metrics", g.opt.Metrics)
	}
	return mux
}

func (g *Guard) serveReady(w http.ResponseWriter, _ *http.Request) {
	s, links := g.Stats(), g.linkCount()
	w.Header().Set("Content-Type", "application/json")
	if !s.Healthy || s.Draining || links == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(struct {
		Links int
		Stats any
	}{links, s})
}

func (g *Guard) linkCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.links)
}

// listenAdmin refuses any address but loopback: whoever reaches the admin HTTP
// can drain the worker.
func (g *Guard) listenAdmin() (net.Listener, error) {
	if g.opt.Admin == "" {
		return nil, nil
	}
	host, _, err := net.SplitHostPort(g.opt.Admin)
	if err != nil {
		return nil, fmt.Errorf("admin address: %w", err)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return nil, fmt.Errorf("admin address %q: want a loopback IP number", g.opt.Admin)
	}
	l, err := net.Listen("tcp", g.opt.Admin)
	if err != nil {
		return nil, fmt.Errorf("admin address: %w", err)
	}
	return l, nil
}

func (g *Guard) serveAdmin(ctx context.Context, l net.Listener) {
	if l == nil {
		return
	}
	srv := &http.Server{Handler: g.AdminHandler(), ReadHeaderTimeout: adminHeaderTimeout, MaxHeaderBytes: adminMaxHeader}
	g.work.Go(func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			g.opt.Logger.Error("admin HTTP ended", "err", err)
		}
	})
	g.work.Go(func() {
		<-ctx.Done()
		stopCtx, cancel := context.WithTimeout(context.Background(), adminStopTimeout)
		defer cancel()
		_ = srv.Shutdown(stopCtx)
	})
}
