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

// guardCommand defines the flags of wigeontray-guard.
type guardCommand struct {
	Config   string `required:"" xor:"do" type:"path" placeholder:"FILE" help:"Settings file."`
	Version  bool   `required:"" xor:"do" help:"Print the version."`
	Platform bool   `required:"" xor:"do" help:"Run on the users' platform, with the settings file that WIGEONTRAY_CONFIG names."`
}

// GuardMain runs the command line of wigeontray-guard and returns its exit code.
// The guard runs until SIGTERM starts a graceful shutdown.
func GuardMain(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	ignoreSIGHUP(args, "--platform")
	var command guardCommand
	const name = "wigeontray-guard"
	_, err := parse(&command, name, "Runs beside one upstream, announces it to the entries and runs their tasks on it.", args, stdout, stderr)
	if err != nil {
		return exitCode(name, stderr, err)
	}
	if command.Version {
		fmt.Fprintln(stdout, name, telemetry.Version)
		return operator.ExitOK
	}
	if command.Platform {
		return exitCode(name, stderr, runPlatform(ctx, platform.RunGuard, os.Getenv(configPathEnv), stdout))
	}
	return exitCode(name, stderr, serveGuard(ctx, command.Config, stderr))
}

func serveGuard(ctx context.Context, path string, logs io.Writer) error {
	conf, err := settings.LoadGuard(path)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	ctx, stop := notifyShutdown(ctx)
	defer stop()
	return node.RunGuard(ctx, conf, logs)
}
