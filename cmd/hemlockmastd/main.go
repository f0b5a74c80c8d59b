// Command hemlockmastd runs one daemon of hemlockmast.
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
	// A reload or a log reader that went away must not end the daemon, however
	// early the signal arrives.
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
