package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"wigeontray/internal/node"
	"wigeontray/internal/operator"
	"wigeontray/internal/settings"
	"wigeontray/internal/telemetry"
	"wigeontray/platform"
)

// guardCommand is the command line of wigeontray-guard.
type guardCommand struct {
	Config   string `required:"" xor:"do" type:"path" placeholder:"FILE" help:"Settings file."`
	Version  bool   `required:"" xor:"do" help:"Print the version."`
	Platform bool   `required:"" xor:"do" help:"Run on the users' platform, by the settings file that WIGEONTRAY_CONFIG names."`
}

// GuardMain runs the command line of the guard binary and returns its exit
// code. The guard serves until SIGTERM asks for a planned stop.
func GuardMain(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	ignoreHangup(args, "--platform")
	var c guardCommand
	const name = "wigeontray-guard"
	_, err := parse(&c, name, "Runs beside one upstream, announces it to the entries and runs their tasks on it.", args, stdout, stderr)
	if err != nil {
		return exitCode(name, stderr, err)
	}
	if c.Version {
		fmt.Fprintln(stdout, name, telemetry.Version)
		return operator.ExitOK
	}
	if c.Platform {
		return exitCode(name, stderr, runPlatform(ctx, platform.RunGuard, os.Getenv(configEnv), stdout))
	}
	return exitCode(name, stderr, serveGuard(ctx, c.Config, stderr))
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
