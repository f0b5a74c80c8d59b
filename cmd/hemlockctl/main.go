// Command hemlockctl is the command line tool for operators of hemlockmast.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"hemlockmast/internal/cli/explain"
	"hemlockmast/internal/cli/explainroute"
	"hemlockmast/internal/cli/fleet"
	"hemlockmast/internal/cli/publish"
	"hemlockmast/internal/cli/query"
	"hemlockmast/internal/cli/state"
	"hemlockmast/internal/cli/timeline"
	"hemlockmast/internal/shared/version"
)

// exitFailure is the exit code of a failed command without a code of its own.
// Code 2 means wrong usage.
const exitFailure = 1

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailure)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:                  "hemlockctl",
		Usage:                 "operate hemlockmast",
		Version:               version.Text,
		EnableShellCompletion: true,
		Description:           "Exit codes: 0 done, 1 failed, 2 wrong use.",
		Commands: append(publish.Commands(),
			query.Command(), state.Command(), timeline.Command(), explain.Command(), explainroute.Command(), fleet.Command()),
	}
}
