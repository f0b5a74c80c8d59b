// Command hemlockmast-measure measures the figures that the documentation states.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"hemlockmast/internal/shared/version"
	"hemlockmast/internal/testing/measure"
)

// exitFailure is the exit code when a measurement fails.
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
		Name:    "hemlockmast-measure",
		Usage:   "measure a running system or a cluster in one process",
		Version: version.Text,
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "print JSON instead of a line"},
		},
		Commands: []*cli.Command{loadCommand(), failoverCommand(), readsCommand()},
	}
}

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:        "load",
		Usage:       "run one statement in a closed loop of callers",
		Description: "Example: hemlockmast-measure load --url postgres://app@127.0.0.1:6432/db --open 10000 --active 64",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "url", Required: true, Usage: "connection string; repeat to spread callers"},
			&cli.StringFlag{Name: "statement", Value: "SELECT 1", Usage: "the statement"},
			&cli.IntFlag{Name: "open", Value: 1, Usage: "open connections"},
			&cli.IntFlag{Name: "active", Value: 1, Usage: "connections that send"},
			&cli.DurationFlag{Name: "warmup", Value: time.Second, Usage: "time before the measurement"},
			&cli.DurationFlag{Name: "duration", Value: 5 * time.Second, Usage: "time of the measurement"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			result, err := measure.RunLoad(ctx, measure.LoadConfig{
				URLs:      cmd.StringSlice("url"),
				Statement: cmd.String("statement"),
				Open:      cmd.Int("open"),
				Active:    cmd.Int("active"),
				Warmup:    cmd.Duration("warmup"),
				Duration:  cmd.Duration("duration"),
			})
			if err != nil {
				return err
			}
			return print(cmd, result)
		},
	}
}

// print writes a result as JSON or as text, depending on --json.
func print(cmd *cli.Command, result fmt.Stringer) error {
	if !cmd.Bool("json") {
		_, err := fmt.Fprintln(cmd.Root().Writer, result)
		return err
	}
	return json.NewEncoder(cmd.Root().Writer).Encode(result)
}

func failoverCommand() *cli.Command {
	return &cli.Command{
		Name:        "failover",
		Usage:       "take primaries away and measure the gap that callers see",
		Description: "Example: hemlockmast-measure failover --folder examples/eisgrund --delay 500us --fault kill --runs 20",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "folder", Value: "examples/eisgrund", Usage: "folder with service files"},
			&cli.IntFlag{Name: "daemons", Value: 2, Usage: "daemons in each failure domain"},
			&cli.DurationFlag{Name: "delay", Value: 500 * time.Microsecond, Usage: "one-way delay of links"},
			&cli.StringFlag{Name: "fault", Value: measure.FaultKill, Usage: "kill, freeze or cut"},
			&cli.IntFlag{Name: "runs", Value: 5, Usage: "failovers, each on a new cluster"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			data, err := os.MkdirTemp("", "hemlockmast-measure-")
			if err != nil {
				return err
			}
			defer func() { _ = os.RemoveAll(data) }()
			result, err := measure.RunFailover(ctx, measure.FailoverConfig{
				Folder:     cmd.String("folder"),
				Daemons:    cmd.Int("daemons"),
				Delay:      cmd.Duration("delay"),
				Fault:      cmd.String("fault"),
				Runs:       cmd.Int("runs"),
				DataFolder: data,
			})
			if err != nil {
				return err
			}
			return print(cmd, result)
		},
	}
}

func readsCommand() *cli.Command {
	return &cli.Command{
		Name:        "reads",
		Usage:       "measure the share of reads that replicas serve",
		Description: "Example: hemlockmast-measure reads --folder examples/sankofa --delay 1500us --lag 50ms",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "folder", Value: "examples/sankofa", Usage: "folder with service files"},
			&cli.IntFlag{Name: "daemons", Value: 2, Usage: "daemons in each failure domain"},
			&cli.DurationFlag{Name: "delay", Value: 1500 * time.Microsecond, Usage: "one-way delay of links"},
			&cli.DurationFlag{Name: "lag", Value: 50 * time.Millisecond, Usage: "time from the primary to synced at replicas"},
			&cli.DurationFlag{Name: "apply-lag", Usage: "time from synced to visible"},
			&cli.IntFlag{Name: "sessions", Value: 64, Usage: "sessions that read and write"},
			&cli.DurationFlag{Name: "duration", Value: 5 * time.Second, Usage: "time of the measurement"},
			&cli.BoolFlag{Name: "named", Usage: "sessions go by id and change daemons, instead of by connection"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			result, err := measure.RunReads(ctx, measure.ReadsConfig{
				Folder:   cmd.String("folder"),
				Daemons:  cmd.Int("daemons"),
				Delay:    cmd.Duration("delay"),
				Lag:      cmd.Duration("lag"),
				ApplyLag: cmd.Duration("apply-lag"),
				Sessions: cmd.Int("sessions"),
				Duration: cmd.Duration("duration"),
				Named:    cmd.Bool("named"),
			})
			if err != nil {
				return err
			}
			return print(cmd, result)
		},
	}
}
