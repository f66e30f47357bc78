package cli

import (
	"fmt"
	"net/http"

	"wigeontray/internal/httpserve"
	"wigeontray/internal/sample"
	"wigeontray/internal/store/standin"
)

type localCmd struct {
	Store    localStoreCmd    `cmd:"" help:"Serve an in-memory stand-in of the platform's store."`
	Upstream localUpstreamCmd `cmd:"" help:"Serve a sample upstream."`
}

type localStoreCmd struct {
	Listen string `default:"127.0.0.1:7079" help:"Address to listen on."`
}

// Run serves until SIGTERM. The data is lost when the process exits.
func (c *localStoreCmd) Run(e *commandEnv) error {
	kv := standin.New()
	defer kv.Close()
	return serveUntilSignal(e, c.Listen, kv)
}

type localUpstreamCmd struct {
	Listen string `default:"127.0.0.1:7080" help:"Address to listen on."`
	Worker string `default:"local-1" help:"Worker name to report in responses."`
}

// Run serves until SIGTERM. A task is a JSON object whose field sleep_ms sets how long
// the task takes.
func (c *localUpstreamCmd) Run(e *commandEnv) error {
	return serveUntilSignal(e, c.Listen, sample.New(c.Worker, 1))
}

// serveUntilSignal serves h on the address listen, prints its base URL, and closes the
// server on SIGTERM or SIGINT.
func serveUntilSignal(e *commandEnv, listen string, h http.Handler) error {
	s, err := httpserve.Listen(listen, h, nil, httpserve.DefaultLimits())
	if err != nil {
		return err
	}
	ctx, stop := notifyShutdown(e.ctx)
	defer stop()
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.Serve() }()
	fmt.Fprintf(e.stdout, "http://%s\n", s.Addr())
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
		return s.Close()
	}
}
