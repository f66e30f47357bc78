// Package cli implements the command lines of both binaries: flags, help texts,
// exit codes and output. Each command delegates to the package that does the work.
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

// errUsage marks invalid flags or settings.
var errUsage = errors.New("usage")

// errFailed marks a command that ran to completion with a negative result.
var errFailed = errors.New("failed")

// errOutcomeUnknown marks a command whose outcome cannot be determined. The caller must check the
// outcome before repeating the command.
var errOutcomeUnknown = errors.New("outcome unknown")

// commandEnv holds the context and output streams that all commands share.
type commandEnv struct {
	ctx    context.Context
	stdout io.Writer
	stderr io.Writer
}

// commands defines the commands of wigeontray. Field names are the command names.
type commands struct {
	Serve      serveCmd      `cmd:"" help:"Run an entry with a settings file until SIGTERM."`
	Standalone standaloneCmd `cmd:"" help:"Run entry, guards, sample upstreams and store in one process and serve two sample jobs."`
	Platform   platformCmd   `cmd:"" help:"Run an entry on the users' platform until SIGTERM."`
	Submit     submitCmd     `cmd:"" help:"Submit a job and print its answer as JSON."`
	Status     statusCmd     `cmd:"" help:"Print an entry's status and active configuration as JSON."`
	Check      checkCmd      `cmd:"" help:"Validate settings and records without applying them."`
	Replay     replayCmd     `cmd:"" help:"Replay traces against the dispatch logic and report whether their expected outcomes are met."`
	Compare    compareCmd    `cmd:"" help:"Compare task placement policies on generated workloads."`
	Capacity   capacityCmd   `cmd:"" help:"Measure what guards and tasks cost at an entry."`
	Record     recordCmd     `cmd:"" help:"Read and amend records through an entry."`
	Local      localCmd      `cmd:"" help:"Run local stand-ins of a store and an upstream, to try a fleet on one machine."`
	Keys       keysCmd       `cmd:"" help:"Generate a certificate authority and certificates for a fleet, or a member's token."`
	Explain    explainCmd    `cmd:"" help:"Reconstruct from logs what happened to a job on the users' platform, and why."`
	Summarize  summarizeCmd  `cmd:"" help:"Count from logs how the jobs of a period ended on the users' platform, by reason, queue, failure domain, entry and second."`
	Version    versionCmd    `cmd:"" help:"Print the version."`
}

// Main runs the command line of wigeontray and returns its exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	ignoreSIGHUP(args, "platform")
	var grammar commands
	parsed, err := parse(&grammar, "wigeontray", "A shared dispatcher for short urgent requests.", args, stdout, stderr)
	if err != nil {
		return exitCode("wigeontray", stderr, err)
	}
	return exitCode("wigeontray", stderr, parsed.Run(&commandEnv{ctx: ctx, stdout: stdout, stderr: stderr}))
}

// parse parses args into grammar, the command struct of a binary. A help flag prints
// the help text and exits the process with code 0.
func parse(grammar any, name, description string, args []string, stdout, stderr io.Writer) (*kong.Context, error) {
	parser, err := kong.New(grammar, kong.Name(name), kong.Description(description), kong.Writers(stdout, stderr))
	if err != nil {
		panic(err) // the grammar is fixed at compile time, so this is a programming error
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	return parsed, nil
}

// exitCode prints err, if any, and returns the exit code for it.
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

// readSecret reads a token or key from a file and strips trailing line breaks.
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
