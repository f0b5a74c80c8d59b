// Command hemlockmast-soak runs daemons as processes on loopback, injects faults
// from outside and checks what callers, operators and endpoints observe.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"hemlockmast/internal/shared/version"
	"hemlockmast/internal/testing/soak"
)

// exitFailure is the exit code when a guarantee did not hold or a run failed.
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
		Name:        "hemlockmast-soak",
		Usage:       "play random faults against daemons on this machine",
		Description: "Example: go build -o bin/ ./cmd/... && bin/hemlockmast-soak --daemon bin/hemlockmastd --runs 50",
		Version:     version.Text,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "daemon", Required: true, Usage: "path of hemlockmastd"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the first run; drawn when 0"},
			&cli.IntFlag{Name: "runs", Value: 1, Usage: "number of runs, each with the next seed"},
			&cli.DurationFlag{Name: "length", Value: 12 * time.Second, Usage: "time in which faults begin"},
			&cli.StringFlag{Name: "logs", Value: os.TempDir(), Usage: "folder for the daemons' folders"},
			&cli.BoolFlag{Name: "promotions", Usage: "several services, and faults around their promotions"},
			&cli.BoolFlag{Name: "large", Usage: "54 processes and six services, with the faults of --promotions"},
			&cli.BoolFlag{Name: "stops", Usage: "planned stops only, of several daemons at once"},
			&cli.BoolFlag{Name: "keep", Usage: "keep the daemons' folders of good runs too"},
			&cli.BoolFlag{Name: "verbose", Usage: "print the faults of every run"},
		},
		Action: runAll,
	}
}

// BrokenError reports the seeds of runs in which a guarantee did not hold.
type BrokenError struct{ Seeds []uint64 }

func (e *BrokenError) Error() string {
	return fmt.Sprintf("promises did not hold with seeds %v", e.Seeds)
}

// runAll runs consecutive seeds and returns a *BrokenError if one of them broke a
// guarantee.
func runAll(ctx context.Context, cmd *cli.Command) error {
	seed := cmd.Uint64("seed")
	if seed == 0 {
		seed = rand.Uint64N(1 << 32)
	}
	var broken []uint64
	for i := range uint64(cmd.Int("runs")) {
		ok, err := runOne(ctx, cmd, seed+i)
		if err != nil {
			return err
		}
		if !ok {
			broken = append(broken, seed+i)
		}
	}
	if len(broken) > 0 {
		return &BrokenError{Seeds: broken}
	}
	return nil
}

// runOne runs one seed and reports whether all guarantees held. If not, it keeps
// the folder of the daemons.
func runOne(ctx context.Context, cmd *cli.Command, seed uint64) (bool, error) {
	folder, err := os.MkdirTemp(cmd.String("logs"), fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return false, err
	}
	daemon, err := filepath.Abs(cmd.String("daemon"))
	if err != nil {
		return false, err
	}
	result, err := soak.Run(ctx, soak.Config{
		Binary: daemon, Folder: folder, Seed: seed, Length: cmd.Duration("length"),
		Promotions: cmd.Bool("promotions") || cmd.Bool("large"), Large: cmd.Bool("large"), Stops: cmd.Bool("stops"),
	})
	if err != nil {
		return false, err
	}
	fmt.Printf("seed %d: %+v, configuration %d, %d promotions, %d broken\n", seed, result.Counts, result.Configuration,
		result.Promotions, len(result.Broken))
	if cmd.Bool("verbose") || len(result.Broken) > 0 {
		for _, line := range append(result.Schedule, result.Broken...) {
			fmt.Println("  ", line)
		}
	}
	if len(result.Broken) > 0 {
		fmt.Println("   daemons' output and disks are kept in", folder)
		return false, nil
	}
	if cmd.Bool("keep") {
		return true, nil
	}
	return true, os.RemoveAll(folder)
}
