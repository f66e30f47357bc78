// Command wigeontray-guard runs beside one upstream. It announces the upstream
// to the entries and runs their tasks on it.
package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/charmbracelet/log"

	"wigeontray/internal/guard"
)

// memoryLimit is a soft bound on the Go heap and stacks, in bytes. A guard may
// take 32 MB of its worker. The collector would let garbage grow to the size of
// what is remembered, and pass that bound while half of the heap is garbage.
const memoryLimit = 22 << 20

// flags are the guard's settings on the command line.
type flags struct {
	Entry       []string      `required:"" help:"host:port of an entry's inner protocol; may be repeated."`
	FleetKey    string        `env:"WIGEONTRAY_FLEET_KEY" help:"Shared key of the fleet."`
	Service     string        `required:"" help:"Service of the upstream, as member/service."`
	Upstream    string        `required:"" help:"Upstream, as http://host:port."`
	Path        string        `default:"/" help:"Path to which tasks are posted."`
	HealthPath  string        `help:"Path that answers 2xx while the upstream is healthy; without it, a connection is enough."`
	HealthEvery time.Duration `default:"1s" help:"Period of the health check."`
	Worker      string        `required:"" help:"Name of the worker."`
	Rack        string        `help:"Rack of the worker."`
	Domain      string        `help:"Failure domain of the worker."`
	Region      string        `help:"Region of the worker."`
	Slots       int           `default:"8" help:"Tasks on the upstream at once."`
	Connections int           `default:"64" help:"Connections to the upstream at once."`
	Admin       string        `help:"Loopback host:port of the admin HTTP."`
	StopTimeout time.Duration `default:"30s" help:"How long a planned stop waits for tasks in flight."`
}

func (f *flags) options(logger *log.Logger) guard.Options {
	return guard.Options{
		Entries: f.Entry, FleetKey: f.FleetKey, Service: f.Service,
		Upstream: f.Upstream, Path: f.Path, HealthPath: f.HealthPath, HealthEvery: f.HealthEvery,
		Worker: f.Worker, Rack: f.Rack, Domain: f.Domain, Region: f.Region,
		Slots: f.Slots, Connections: f.Connections, Admin: f.Admin, Logger: logger,
		Seed: uint64(time.Now().UnixNano()),
	}
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("wigeontray-guard"), kong.Description("Runs beside one upstream."))
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
	logger := log.NewWithOptions(os.Stderr, log.Options{ReportTimestamp: true})
	if err := run(&f, logger); err != nil {
		logger.Error("guard ended", "err", err)
		os.Exit(1)
	}
}

// run serves until SIGTERM or SIGINT and then stops gracefully.
func run(f *flags, logger *log.Logger) error {
	g, err := guard.New(f.options(logger))
	if err != nil {
		return err
	}
	signals, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	stopped := make(chan error, 1)
	context.AfterFunc(signals, func() {
		ctx, cancel := context.WithTimeout(context.Background(), f.StopTimeout)
		defer cancel()
		stopped <- g.Stop(ctx)
	})
	if err := g.Run(context.Background()); err != nil {
		return err
	}
	return <-stopped
}
