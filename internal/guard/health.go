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

// unhealthyAfterTimeouts is how many health checks in a row may time out before the
// upstream counts as unhealthy. One slow answer under load is no death; a
// refused connection or an error status takes effect at once.
const unhealthyAfterTimeouts = 2

// prober checks the upstream's health on connections of its own, at most one
// at a time, so that a check never waits behind tasks.
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

// probe returns nil if the upstream is healthy.
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

// watchHealth checks the upstream until ctx ends. An upstream that dies without
// a word would otherwise look idle and be given work before any other.
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
		pause.For(ctx, g.opt.HealthEvery)
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &netErr) && netErr.Timeout()
}

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
		l.Health(now, healthy)
	})
}
