// Package cli owns the command line of both binaries: flags, help texts, exit
// codes and output. Each command calls the package that does the work.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"wigeontray/internal/operator"
	"wigeontray/internal/telemetry"
)

// errUsage marks wrong flags or settings.
var errUsage = errors.New("usage")

// errFailed marks a command that ran and whose answer is no.
var errFailed = errors.New("failed")

// errOutcomeUnknown marks an outcome that cannot be known; ask before repeating.
var errOutcomeUnknown = errors.New("outcome unknown")

// commandEnv is what commands share.
type commandEnv struct {
	ctx    context.Context
	stdout io.Writer
	stderr io.Writer
}

// commands of wigeontray.
type commands struct {
	Serve      serveCmd      `cmd:"" help:"Run an entry by a settings file until SIGTERM."`
	Standalone standaloneCmd `cmd:"" help:"Run entry, guards, sample upstreams and store in one process and serve two sample jobs."`
	Platform   platformCmd   `cmd:"" help:"Run an entry on the users' platform until SIGTERM."`
	Submit     submitCmd     `cmd:"" help:"Submit a job and print its answer as JSON."`
	Status     statusCmd     `cmd:"" help:"Print what is in force at an entry as JSON."`
	Check      checkCmd      `cmd:"" help:"Check settings and records without using them."`
	Replay     replayCmd     `cmd:"" help:"Replay traces against the decisions and report whether their outcomes are met."`
	Compare    compareCmd    `cmd:"" help:"Compare the ways of placing tasks on generated workloads."`
	Capacity   capacityCmd   `cmd:"" help:"Measure what guards and tasks cost at an entry."`
	Record     recordCmd     `cmd:"" help:"Read and amend records through an entry."`
	Local      localCmd      `cmd:"" help:"Stand-ins to try a fleet on one machine: a store and an upstream."`
	Keys       keysCmd       `cmd:"" help:"Make a certificate authority and certificates for a fleet, or a member's token."`
	Explain    explainCmd    `cmd:"" help:"Tell from logs what became of a job on the users' platform, and why."`
	Version    versionCmd    `cmd:"" help:"Print the version."`
}

// Main runs the command line of the entry binary and returns its exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	ignoreSIGHUP(args, "platform")
	var grammar commands
	parsed, err := parse(&grammar, "wigeontray", "A shared dispatcher for short urgent requests.", args, stdout, stderr)
	if err != nil {
		return exitCode("wigeontray", stderr, err)
	}
	return exitCode("wigeontray", stderr, parsed.Run(&commandEnv{ctx: ctx, stdout: stdout, stderr: stderr}))
}

// parse reads args by the grammar of a binary. A request for help prints it and
// ends the process with code 0.
func parse(grammar any, name, description string, args []string, stdout, stderr io.Writer) (*kong.Context, error) {
	parser, err := kong.New(grammar, kong.Name(name), kong.Description(description), kong.Writers(stdout, stderr))
	if err != nil {
		panic(err) // grammars are constant
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	return parsed, nil
}

func exitCode(name string, stderr io.Writer, err error) int {
	if err == nil {
		return operator.ExitOK
	}
	fmt.Fprintf(stderr, "%s: %v\n", name, err)
	switch {
	case errors.Is(err, errUsage):
		return operator.ExitUsage
	case errors.Is(err, errOutcomeUnknown):
		return operator.ExitUnknown
	}
	return operator.ExitCode(err)
}

type versionCmd struct{}

// Run prints the version.
func (versionCmd) Run(e *commandEnv) error {
	_, err := fmt.Fprintln(e.stdout, "wigeontray", telemetry.Version)
	return err
}

// readSecret reads a token or key from a file, without its trailing newline.
func readSecret(path string) (string, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("%w: %w", errUsage, err)
	}
	for len(b) > 0 && (b[len(b)-1] == '\n' || b[len(b)-1] == '\r') {
		b = b[:len(b)-1]
	}
	return string(b), nil
}
