// Command wigeontray is the entry and the operators' tool.
package main

import (
	"context"
	"os"

	"wigeontray/internal/cli"
)

func main() { os.Exit(cli.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr)) }
