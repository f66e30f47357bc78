package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"slices"
	"syscall"

	"wigeontray/internal/settings"
	"wigeontray/platform"
)

// configPathEnv is the environment variable with the path of the settings file, used when no
// flag gives the path.
const configPathEnv = "WIGEONTRAY_CONFIG"

type platformCmd struct {
	Config string `required:"" type:"path" env:"WIGEONTRAY_CONFIG" placeholder:"FILE" help:"Settings file."`
}

// Run serves callers until a signal starts a graceful shutdown.
func (c *platformCmd) Run(e *commandEnv) error {
	return runPlatform(e.ctx, platform.RunEntry, c.Config, e.stdout)
}

// ignoreSIGHUP ignores SIGHUP, the signal for changed settings, if args contain platformArg.
// Otherwise the default action would terminate a platform process that is still starting. It must be
// called before anything else, because the default action applies until then. An entry reads changed
// settings at its next start; a guard installs a handler for the signal later on.
func ignoreSIGHUP(args []string, platformArg string) {
	if slices.Contains(args, platformArg) {
		signal.Ignore(syscall.SIGHUP)
	}
}

// runPlatform runs one of the platform's roles, an entry or a guard, until a signal starts a graceful
// shutdown. A settings error is reported as a usage error.
func runPlatform(ctx context.Context, run func(context.Context, string, io.Writer) error, config string, logs io.Writer) error {
	ctx, stop := notifyShutdown(ctx)
	defer stop()
	err := run(ctx, config, logs)
	var settingsErr *settings.Error
	if errors.As(err, &settingsErr) {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	return err
}
