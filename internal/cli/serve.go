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

// notifyShutdown returns a context that is canceled by SIGTERM or SIGINT, the signals for a
// graceful shutdown.
func notifyShutdown(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
}

type serveCmd struct {
	Config string `required:"" type:"path" placeholder:"FILE" help:"Settings file."`
}

// Run serves until a signal starts a graceful shutdown.
func (c *serveCmd) Run(e *commandEnv) error {
	conf, err := settings.LoadEntry(c.Config)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	n, err := node.NewEntry(conf, nil, e.stderr)
	if err != nil {
		return err
	}
	ctx, stop := notifyShutdown(e.ctx)
	defer stop()
	return n.Run(ctx)
}

type standaloneCmd struct {
	Listen string `default:"127.0.0.1:0" help:"Address for callers; port 0 selects a free port."`
	Serve  bool   `help:"Continue to serve after the sample jobs, until SIGTERM."`
}

// sampleJobsTimeout limits the startup of the standalone system together with its sample jobs.
const sampleJobsTimeout = 20 * time.Second

// Run starts the standalone system, submits one job for each sample member and prints the answers.
func (c *standaloneCmd) Run(e *commandEnv) error {
	s, err := node.NewStandalone(c.Listen, true, e.stderr)
	if err != nil {
		return err
	}
	ctx, stop := notifyShutdown(e.ctx)
	defer stop()
	runCtx, cancelRun := context.WithCancel(ctx)
	defer cancelRun()
	runDone := make(chan error, 1)
	go func() { runDone <- s.Run(runCtx) }()
	if err := c.runSampleJobs(runCtx, e, s); err != nil {
		return err
	}
	if c.Serve {
		callers, inner, admin := s.Addrs()
		fmt.Fprintf(e.stdout, "callers http://%s, guards %s, operators http://%s\n", callers, inner, admin)
		<-ctx.Done()
	}
	cancelRun()
	return <-runDone
}

// runSampleJobs submits the sample jobs over HTTP, as a caller does, and prints the answers.
func (c *standaloneCmd) runSampleJobs(ctx context.Context, e *commandEnv, s *node.Standalone) error {
	ctx, cancel := context.WithTimeout(ctx, sampleJobsTimeout)
	defer cancel()
	defer e.startProgress("waiting for the sample jobs")()
	if err := s.AwaitReady(ctx); err != nil {
		return err
	}
	callers, _, _ := s.Addrs()
	for _, member := range node.SampleMembers() {
		cl := &client.Client{Entries: []string{"http://" + callers}, Token: member.Token, HTTP: http.DefaultClient}
		key, err := cl.NewIdentity(ctx)
		if err != nil {
			return err
		}
		tasks := []json.RawMessage{json.RawMessage(member.Task), json.RawMessage(member.Task)}
		answer, err := cl.Submit(ctx, key, &client.Job{Service: member.Service, Tasks: tasks, DeadlineMs: 5000})
		if err != nil {
			return err
		}
		fmt.Fprintf(e.stdout, "%s/%s: %s\n", member.Name, member.Service, answer.Body)
		if err := outcomeError(answer); err != nil {
			return err
		}
	}
	return nil
}
