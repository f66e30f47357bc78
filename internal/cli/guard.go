package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	"wigeontray/internal/node"
	"wigeontray/internal/operator"
	"wigeontray/internal/settings"
	"wigeontray/internal/telemetry"
)

// guardCommand is the command line of wigeontray-guard.
type guardCommand struct {
	Config  string `required:"" xor:"do" type:"path" placeholder:"FILE" help:"Settings file."`
	Version bool   `required:"" xor:"do" help:"Print the version."`
}

// GuardMain runs the command line of the guard binary and returns its exit
// code. The guard serves until SIGTERM asks for a planned stop.
func GuardMain(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var c guardCommand
	parser, err := kong.New(&c,
		kong.Name("wigeontray-guard"),
		kong.Description("Runs beside one upstream, announces it to the entries and runs their tasks on it."),
		kong.Writers(stdout, stderr),
		kong.UsageOnError(),
	)
	if err != nil {
		panic(err) // the structure above is constant
	}
	if _, err := parser.Parse(args); err != nil {
		fmt.Fprintf(stderr, "wigeontray-guard: %v\n", err)
		return operator.ExitUsage
	}
	if c.Version {
		fmt.Fprintln(stdout, "wigeontray-guard", telemetry.Version)
		return operator.ExitOK
	}
	return exitCode("wigeontray-guard", stderr, serveGuard(ctx, c.Config, stderr))
}

func serveGuard(ctx context.Context, path string, logs io.Writer) error {
	set, err := settings.LoadGuard(path)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	ctx, stop := untilSignal(ctx)
	defer stop()
	return node.RunGuard(ctx, set, logs)
}
