package cli

import (
	"fmt"
	"net/http"

	"wigeontray/internal/httpserve"
	"wigeontray/internal/sample"
	"wigeontray/internal/store/standin"
)

type localCmd struct {
	Store    localStoreCmd    `cmd:"" help:"Serve a stand-in of the platform's store, in memory."`
	Upstream localUpstreamCmd `cmd:"" help:"Serve a sample upstream."`
}

type localStoreCmd struct {
	Listen string `default:"127.0.0.1:7079" help:"Address to listen on."`
}

// Run serves until SIGTERM. Nothing is kept.
func (c *localStoreCmd) Run(e *commandEnv) error {
	kv := standin.New()
	defer kv.Close()
	return serveUntilSignal(e, c.Listen, kv)
}

type localUpstreamCmd struct {
	Listen string `default:"127.0.0.1:7080" help:"Address to listen on."`
	Worker string `default:"local-1" help:"Name that it gives in answers."`
}

// Run serves until SIGTERM. A task is a JSON object; sleep_ms in it is how long
// the task takes.
func (c *localUpstreamCmd) Run(e *commandEnv) error {
	return serveUntilSignal(e, c.Listen, sample.New(c.Worker, 1))
}

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
