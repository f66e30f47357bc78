// Command wigeontray-guard runs beside one upstream. It announces the upstream
// to the entries and runs their tasks on it.
package main

import (
	"context"
	"os"

	"wigeontray/internal/cli"
)

func main() { os.Exit(cli.GuardMain(context.Background(), os.Args[1:], os.Stdout, os.Stderr)) }
