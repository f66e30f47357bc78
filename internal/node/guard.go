package node

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"

	"wigeontray/internal/guard"
	"wigeontray/internal/ledger"
	"wigeontray/internal/settings"
	"wigeontray/internal/telemetry"
)

// RunGuard runs a guard until ctx ends and then stops it gracefully: running
// tasks finish and their results reach the entries.
func RunGuard(ctx context.Context, cfg *settings.Guard, logs io.Writer) error {
	o, err := guardOptions(cfg, logs)
	if err != nil {
		return err
	}
	setMemoryLimit(cfg.Limits.Memory)
	g, err := guard.New(*o)
	if err != nil {
		return err
	}
	stopErr := make(chan error, 1)
	defer context.AfterFunc(ctx, func() {
		stopCtx, cancel := context.WithTimeout(context.Background(), cfg.Limits.DrainTimeout)
		defer cancel()
		stopErr <- g.Stop(stopCtx)
	})()
	if err := g.Run(context.Background()); err != nil {
		return err
	}
	return <-stopErr
}

func guardOptions(cfg *settings.Guard, logs io.Writer) (*guard.Options, error) {
	logger, err := telemetry.NewLogger(cfg.Log.Format, cfg.Log.Level, logs)
	if err != nil {
		return nil, err
	}
	key, err := cfg.Fleet.Key()
	if err != nil {
		return nil, fmt.Errorf("fleet key: %w", err)
	}
	dialTLS, err := cfg.TLS.Client()
	if err != nil {
		return nil, err
	}
	member, _, _ := strings.Cut(cfg.Upstream.Service, "/")
	registry := telemetry.New()
	return &guard.Options{
		Entries: cfg.Entries, TLS: dialTLS, Key: key,
		Service: cfg.Upstream.Service, Worker: cfg.Worker, Rack: cfg.Rack, Domain: cfg.FailureDomain, Region: cfg.Region,
		Accelerator: int(cfg.Accelerators), MemoryMB: int(cfg.MemoryMB), Slots: int(cfg.Upstream.Slots),
		Upstream: cfg.Upstream.URL, Path: cfg.Upstream.Path,
		HealthPath: cfg.Upstream.HealthPath, HealthInterval: cfg.Upstream.HealthInterval,
		Connections: int(cfg.Upstream.Connections), MaxResponseBytes: int(cfg.Limits.MaxAnswerBytes),
		Admin: cfg.Admin, Metrics: registry, Registry: registry.GoMetrics(),
		Logger: logger, Software: telemetry.Version, Seed: rand.Uint64(),
		Ledger: ledger.Options{Member: member, Retention: cfg.Limits.Retention, HeldBytes: int(cfg.Limits.HeldBytes)},
	}, nil
}
