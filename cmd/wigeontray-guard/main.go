// Command wigeontray-guard runs a guard: a process next to one upstream that registers
// the upstream with the entries and executes their tasks on it.
package main

import (
	"context"
	"os"

	"wigeontray/internal/cli"
)

func main() { os.Exit(cli.GuardMain(context.Background(), os.Args[1:], os.Stdout, os.Stderr)) }
