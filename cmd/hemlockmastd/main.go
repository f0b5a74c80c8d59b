// Command hemlockmastd runs one hemlockmast daemon.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"hemlockmast/internal/cli/daemoncmd"
	"hemlockmast/internal/shared/logging"
	"hemlockmast/internal/shared/version"
)

func main() {
	// SIGPIPE, after the reader of the logs has gone, and SIGHUP, for a reload,
	// must not end the daemon. The signals are handled first because they may
	// arrive early.
	signal.Ignore(syscall.SIGPIPE)
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cmd := daemoncmd.Command(version.Text, logging.New)
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(daemoncmd.ExitFailure)
	}
}
