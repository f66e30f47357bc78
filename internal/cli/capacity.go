package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"wigeontray/internal/capacity"
	"wigeontray/internal/node"
	"wigeontray/internal/tlsconf"
)

type capacityCmd struct {
	Inner       string        `placeholder:"HOST:PORT" help:"Inner address of a running entry; by default an entry in this process is measured."`
	Callers     string        `placeholder:"URL" help:"Base URL of the entry for callers."`
	Admin       string        `placeholder:"URL" help:"Base URL of the entry for operators."`
	TokenFile   string        `placeholder:"FILE" help:"File with the member's token."`
	KeyFile     string        `placeholder:"FILE" help:"File with the key that guards present."`
	Cert        string        `placeholder:"FILE" help:"Certificate for the inner protocol."`
	Key         string        `placeholder:"FILE" help:"Key of the certificate."`
	CA          string        `placeholder:"FILE" help:"Authority of the entry's certificate."`
	Member      string        `default:"ayni" help:"Member that submits."`
	Service     string        `default:"measure" help:"Service of the member; no other guards may offer it."`
	Guards      []int         `help:"Numbers of guards to measure; 10,50,200,820 by default."`
	Jobs        []int         `help:"Numbers of tasks per job to measure; 1,100 by default."`
	Idle        time.Duration `default:"15s" help:"Time to measure idle links at each number of guards."`
	Load        time.Duration `default:"1500ms" help:"Time to load the entry at each number of guards."`
	Concurrency int           `default:"32" help:"Number of concurrent callers."`
	JSON        bool          `help:"Write JSON instead of tables."`
}

// Run measures what a guard and a task cost at an entry and prints the report.
func (c *capacityCmd) Run(e *commandEnv) error {
	opts := capacity.Options{
		Guards: c.Guards, Jobs: c.Jobs, Idle: c.Idle, Load: c.Load,
		Callers: c.Concurrency, JSON: c.JSON, Progress: e.stderr,
	}
	if c.Inner == "" {
		return c.measureStandalone(e, opts)
	}
	target, err := c.target()
	if err != nil {
		return err
	}
	opts.Target = *target
	return capacity.Run(e.ctx, opts, e.stdout)
}

// target builds the measurement target, an entry that is already running, from the flags.
func (c *capacityCmd) target() (*capacity.Target, error) {
	entryTarget := &capacity.Target{Inner: c.Inner, Callers: c.Callers, Admin: c.Admin, Member: c.Member, Service: c.Service}
	var err error
	if entryTarget.Token, err = readSecret(c.TokenFile); err != nil {
		return nil, err
	}
	if c.KeyFile != "" {
		if entryTarget.FleetKey, err = readSecret(c.KeyFile); err != nil {
			return nil, err
		}
	}
	if c.Cert != "" {
		entryTarget.InnerTLS, err = tlsconf.InnerClient(tlsconf.Files{Cert: c.Cert, Key: c.Key, CA: c.CA})
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errUsage, err)
		}
	}
	return entryTarget, nil
}

// measureStandalone starts a standalone system in this process and measures its entry.
func (c *capacityCmd) measureStandalone(e *commandEnv, opts capacity.Options) error {
	s, err := node.NewStandalone("127.0.0.1:0", false, io.Discard)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(e.ctx)
	defer cancel()
	runDone := make(chan error, 1)
	go func() { runDone <- s.Run(ctx) }()
	if err := s.AwaitReady(ctx); err != nil {
		return err
	}
	callers, inner, admin := s.Addrs()
	opts.Target = capacity.Target{
		Inner: inner, Callers: "http://" + callers, Admin: "http://" + admin,
		Token: node.SampleMembers()[0].Token, Member: c.Member, Service: c.Service, InProcess: true,
	}
	if err := capacity.Run(ctx, opts, e.stdout); err != nil {
		return err
	}
	cancel()
	return <-runDone
}
