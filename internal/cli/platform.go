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

// configPathEnv names the variable that holds the path of the settings file where the
// flag is left out.
const configPathEnv = "WIGEONTRAY_CONFIG"

type platformCmd struct {
	Config string `required:"" type:"path" env:"WIGEONTRAY_CONFIG" placeholder:"FILE" help:"Settings file."`
}

// Run serves callers until a signal asks for a planned stop.
func (c *platformCmd) Run(e *commandEnv) error {
	return runPlatform(e.ctx, platform.RunEntry, c.Config, e.stdout)
}

// ignoreSIGHUP keeps the signal for changed settings from ending a process of the platform
// that starts. It comes before all else: until then the signal has its default. An entry reads
// the settings at its next start; a guard catches the signal later on.
func ignoreSIGHUP(args []string, platformArg string) {
	if slices.Contains(args, platformArg) {
		signal.Ignore(syscall.SIGHUP)
	}
}

// runPlatform runs one of the platform's roles. Its logs go to standard output.
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
