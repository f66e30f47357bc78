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

// RunGuard serves by settings until ctx ends and then stops gracefully: the
// upstream's tasks finish and their results reach the entries.
func RunGuard(ctx context.Context, set *settings.Guard, logs io.Writer) error {
	o, err := guardOptions(set, logs)
	if err != nil {
		return err
	}
	limitMemory(set.Limits.Memory)
	g, err := guard.New(*o)
	if err != nil {
		return err
	}
	stopped := make(chan error, 1)
	defer context.AfterFunc(ctx, func() {
		limit, cancel := context.WithTimeout(context.Background(), set.Limits.DrainTimeout)
		defer cancel()
		stopped <- g.Stop(limit)
	})()
	if err := g.Run(context.Background()); err != nil {
		return err
	}
	return <-stopped
}

func guardOptions(set *settings.Guard, logs io.Writer) (*guard.Options, error) {
	logger, err := telemetry.NewLogger(set.Log.Format, set.Log.Level, logs)
	if err != nil {
		return nil, err
	}
	key, err := set.Fleet.Key()
	if err != nil {
		return nil, fmt.Errorf("key of links: %w", err)
	}
	dialTLS, err := set.TLS.Client()
	if err != nil {
		return nil, err
	}
	member, _, _ := strings.Cut(set.Upstream.Service, "/")
	figures := telemetry.New()
	return &guard.Options{
		Entries: set.Entries, TLS: dialTLS, Key: key,
		Service: set.Upstream.Service, Worker: set.Worker, Rack: set.Rack, Domain: set.FailureDomain, Region: set.Region,
		Accelerator: int(set.Accelerators), MemoryMB: int(set.MemoryMB), Slots: int(set.Upstream.Slots),
		Upstream: set.Upstream.URL, Path: set.Upstream.Path,
		HealthPath: set.Upstream.HealthPath, HealthEvery: set.Upstream.HealthPeriod,
		Connections: int(set.Upstream.Connections), MaxAnswer: int(set.Limits.AnswerBytes),
		Admin: set.Admin, Metrics: figures, Registry: figures.GoMetrics(),
		Logger: logger, Software: telemetry.Version, Seed: rand.Uint64(),
		Ledger: ledger.Options{Member: member, Retention: set.Limits.Retention, HeldBytes: int(set.Limits.HeldBytes)},
	}, nil
}
