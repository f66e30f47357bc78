package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"wigeontray/internal/client"
	"wigeontray/internal/node"
	"wigeontray/internal/settings"
)

// untilSignal ends with SIGTERM or SIGINT, which ask for a planned stop.
func untilSignal(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
}

type serveCmd struct {
	Config string `required:"" type:"path" placeholder:"FILE" help:"Settings file."`
}

// Run serves until a signal asks for a planned stop.
func (c *serveCmd) Run(e *env) error {
	set, err := settings.LoadEntry(c.Config)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	n, err := node.NewEntry(set, nil, e.stderr)
	if err != nil {
		return err
	}
	ctx, stop := untilSignal(e.ctx)
	defer stop()
	return n.Run(ctx)
}

type standaloneCmd struct {
	Listen string `default:"127.0.0.1:0" help:"Address for callers; port 0 picks one."`
	Serve  bool   `help:"Go on serving after the sample jobs, until SIGTERM."`
}

// startTimeout bounds the start of the whole system in one process.
const startTimeout = 20 * time.Second

// Run serves, submits one job for each sample member, and prints the answers.
func (c *standaloneCmd) Run(e *env) error {
	s, err := node.NewStandalone(c.Listen, true, e.stderr)
	if err != nil {
		return err
	}
	ctx, stop := untilSignal(e.ctx)
	defer stop()
	running, end := context.WithCancel(ctx)
	defer end()
	stopped := make(chan error, 1)
	go func() { stopped <- s.Run(running) }()
	if err := c.demonstrate(running, e, s); err != nil {
		return err
	}
	if c.Serve {
		callers, inner, admin := s.Addrs()
		fmt.Fprintf(e.stdout, "callers http://%s, guards %s, operators http://%s\n", callers, inner, admin)
		<-ctx.Done()
	}
	end()
	return <-stopped
}

// demonstrate submits the sample jobs as a caller would.
func (c *standaloneCmd) demonstrate(ctx context.Context, e *env, s *node.Standalone) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	defer e.progress("waiting for the sample jobs")()
	if err := s.AwaitReady(ctx); err != nil {
		return err
	}
	callers, _, _ := s.Addrs()
	for _, m := range node.SampleMembers() {
		cl := &client.Client{Entries: []string{"http://" + callers}, Token: m.Token, HTTP: http.DefaultClient}
		key, err := cl.Key(ctx)
		if err != nil {
			return err
		}
		tasks := []json.RawMessage{json.RawMessage(m.Task), json.RawMessage(m.Task)}
		a, err := cl.Submit(ctx, key, &client.Job{Service: m.Service, Tasks: tasks, DeadlineMs: 5000})
		if err != nil {
			return err
		}
		fmt.Fprintf(e.stdout, "%s/%s: %s\n", m.Name, m.Service, a.Body)
		if err := verdict(a); err != nil {
			return err
		}
	}
	return nil
}
