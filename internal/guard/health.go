package guard

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"wigeontray/internal/ledger"
	"wigeontray/internal/pause"
)

// unhealthyAfterTimeouts is the number of consecutive health checks that must
// time out for the upstream to be marked unhealthy. A single slow response under
// load does not mean that the upstream has failed. A refused connection or an
// error status marks it unhealthy at once.
const unhealthyAfterTimeouts = 2

// prober runs the health checks of the upstream on separate connections, at most
// one at a time, so that a check never waits for tasks.
type prober struct {
	opt    Options
	client *http.Client
}

func newProber(opt Options) *prober {
	return &prober{opt: opt, client: &http.Client{
		Timeout: opt.HealthTimeout,
		Transport: &http.Transport{
			DialContext:       opt.DialUpstream,
			MaxConnsPerHost:   1,
			DisableKeepAlives: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// probe runs one health check and returns nil if the upstream is healthy.
func (p *prober) probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, p.opt.HealthTimeout)
	defer cancel()
	if p.opt.HealthPath == "" {
		return p.probeTCP(ctx)
	}
	target := strings.TrimSuffix(p.opt.Upstream, "/") + p.opt.HealthPath
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return fmt.Errorf("health check: %w", err)
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return fmt.Errorf("health check: %w", err)
	}
	defer resp.Body.Close()
	_, _ = io.CopyN(io.Discard, resp.Body, maxDetailBytes)
	if resp.StatusCode < 200 || resp.StatusCode > 299 {
		return fmt.Errorf("health check: status %d", resp.StatusCode)
	}
	return nil
}

// probeTCP checks only that the upstream accepts a connection.
func (p *prober) probeTCP(ctx context.Context) error {
	u, err := url.Parse(p.opt.Upstream)
	if err != nil {
		return fmt.Errorf("health check: %w", err)
	}
	conn, err := p.opt.DialUpstream(ctx, "tcp", u.Host)
	if err != nil {
		return fmt.Errorf("health check: %w", err)
	}
	return conn.Close()
}

// watchHealth runs health checks until ctx is canceled. Without them, an
// upstream that crashes would look idle and be assigned tasks before all others.
func (g *Guard) watchHealth(ctx context.Context) {
	p := newProber(g.opt)
	timeouts := 0
	for ctx.Err() == nil {
		err := p.probe(ctx)
		switch {
		case err == nil:
			timeouts = 0
			g.setHealthy(true, "")
		case isTimeout(err) && timeouts+1 < unhealthyAfterTimeouts:
			timeouts++
		case ctx.Err() == nil:
			g.setHealthy(false, err.Error())
		}
		pause.For(ctx, g.opt.HealthInterval)
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &netErr) && netErr.Timeout()
}

// setHealthy passes a change of the upstream's health to the ledger; reason is
// logged if it is unhealthy.
func (g *Guard) setHealthy(healthy bool, reason string) {
	g.apply(func(now time.Time, l *ledger.Ledger) {
		if l.Stats().Healthy == healthy {
			return
		}
		if healthy {
			g.opt.Logger.Info("upstream healthy")
		} else {
			g.opt.Logger.Warn("upstream unhealthy", "reason", reason)
		}
		l.SetHealthy(now, healthy)
	})
}
