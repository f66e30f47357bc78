package guard

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"wigeontray/internal/httpserve"
)

// adminShutdownTimeout limits the stop of the admin HTTP server.
const adminShutdownTimeout = time.Second

// adminMaxConnections is the limit on connections to the admin HTTP server.
const adminMaxConnections = 64

// AdminHandler returns the handler of the admin endpoints, which are served on
// loopback:
//
//	GET  /healthz  200 while the process runs
//	GET  /readyz   200 while the upstream is healthy, the guard is not draining
//	               and it is linked to an entry, else 503; JSON with the number
//	               of links and ledger.Stats
//	GET  /metrics  Options.Metrics, if set
//	POST /drain    202; drains the guard before a planned stop; cannot be undone
func (g *Guard) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", g.serveReadyz)
	mux.HandleFunc("POST /drain", func(w http.ResponseWriter, _ *http.Request) {
		g.Drain("asked for by the admin HTTP")
		w.WriteHeader(http.StatusAccepted)
	})
	if g.opt.Metrics != nil {
		mux.Handle("GET /metrics", g.opt.Metrics)
	}
	return mux
}

func (g *Guard) serveReadyz(w http.ResponseWriter, _ *http.Request) {
	stats, links := g.Stats(), g.linkCount()
	w.Header().Set("Content-Type", "application/json")
	if !stats.Healthy || stats.Draining || links == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(struct {
		Links int
		Stats any
	}{links, stats})
}

func (g *Guard) linkCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.links)
}

// listenAdmin listens on Options.Admin, or returns nil if that is empty. Only
// loopback addresses are allowed, because every client of the admin endpoints
// can drain the worker.
func (g *Guard) listenAdmin() (*httpserve.Server, error) {
	if g.opt.Admin == "" {
		return nil, nil
	}
	host, _, err := net.SplitHostPort(g.opt.Admin)
	if err != nil {
		return nil, fmt.Errorf("admin address: %w", err)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return nil, fmt.Errorf("admin address %q: want a loopback IP address", g.opt.Admin)
	}
	limits := httpserve.DefaultLimits()
	limits.MaxConnections = adminMaxConnections
	srv, err := httpserve.Listen(g.opt.Admin, g.AdminHandler(), nil, limits)
	if err != nil {
		return nil, fmt.Errorf("admin address: %w", err)
	}
	return srv, nil
}

func (g *Guard) serveAdmin(ctx context.Context, srv *httpserve.Server) {
	if srv == nil {
		return
	}
	g.wg.Go(func() {
		if err := srv.Serve(); err != nil {
			g.opt.Logger.Error("admin HTTP server failed", "err", err)
		}
	})
	g.wg.Go(func() {
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.Background(), adminShutdownTimeout)
		defer cancel()
		_ = srv.Stop(shutdownCtx)
	})
}
