// Command wigeontray runs an entry and provides the operators' commands.
package main

import (
	"context"
	"os"

	"wigeontray/internal/cli"
)

func main() { os.Exit(cli.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr)) }
