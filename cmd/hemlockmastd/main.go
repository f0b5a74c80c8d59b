// Command hemlockmastd runs one daemon of hemlockmast.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"hemlockmast/internal/cli/daemoncmd"
	"hemlockmast/internal/logging"
	"hemlockmast/internal/version"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cmd := daemoncmd.Command(version.Text, logging.New)
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(daemoncmd.ExitFailure)
	}
}
