// Command hemlockmast-standin runs one stand-in database endpoint, which
// implements docs/endpoint-contract.md.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"hemlockmast/internal/testing/standin"
)

// exitFailure is the exit code for wrong flags and for an endpoint that cannot
// start or stop.
const exitFailure = 1

// exitKilled is the exit code after HEMLOCK FAULT KILL.
const exitKilled = 137

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
		Name:  "hemlockmast-standin",
		Usage: "a stand-in database endpoint that speaks the PostgreSQL protocol",
		Description: "Example: hemlockmast-standin --group orders --slot s1 --addr 127.0.0.1:6001 --primary\n" +
			"The address is printed on the first line of the output.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "group", Required: true, Usage: "name of the database group"},
			&cli.StringFlag{Name: "slot", Required: true, Usage: "name of the slot in the group"},
			&cli.StringSliceFlag{Name: "database", Usage: "name of a database; repeat for more, none allows all"},
			&cli.IntFlag{Name: "conn-limit", Value: 20, Usage: "connections of all databases together; 0 for no limit"},
			&cli.DurationFlag{Name: "connect-delay", Value: 10 * time.Millisecond, Usage: "how long a new connection takes"},
			&cli.StringFlag{Name: "data", Usage: "data folder; without it the state is lost at exit"},
			&cli.StringFlag{Name: "addr", Value: "127.0.0.1:0", Usage: "listening address"},
			&cli.StringFlag{Name: "advertise", Usage: "address that others use; the listening address if empty"},
			&cli.StringSliceFlag{Name: "announce", Usage: "base URL of a daemon to announce to; repeat for more"},
			&cli.BoolFlag{Name: "primary", Usage: "with an empty disk: be the group's first primary"},
			&cli.StringFlag{Name: "follow", Usage: "with an empty disk: replicate from the group's first primary at this address"},
			&cli.DurationFlag{Name: "drain", Value: 10 * time.Second, Usage: "how long SIGTERM waits for connections to end"},
			&cli.DurationFlag{Name: "replication-lag", Usage: "from the primary's sending to synced"},
			&cli.DurationFlag{Name: "apply-lag", Usage: "from synced to visible"},
		},
		Action: run,
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	e, err := standin.Start(standin.Config{
		Group:          cmd.String("group"),
		Slot:           cmd.String("slot"),
		Databases:      cmd.StringSlice("database"),
		ConnLimit:      cmd.Int("conn-limit"),
		ConnectDelay:   cmd.Duration("connect-delay"),
		DataDir:        cmd.String("data"),
		Addr:           cmd.String("addr"),
		Advertise:      cmd.String("advertise"),
		Announce:       cmd.StringSlice("announce"),
		Primary:        cmd.Bool("primary"),
		Follow:         cmd.String("follow"),
		ReplicationLag: cmd.Duration("replication-lag"),
		ApplyLag:       cmd.Duration("apply-lag"),
		OnKill:         func() { os.Exit(exitKilled) },
	})
	if err != nil {
		return err
	}
	fmt.Println(e.Addr())
	<-ctx.Done()
	drain(e, cmd.Duration("drain"))
	return e.Close()
}

// drainPollInterval is the time between two checks for open connections.
const drainPollInterval = 50 * time.Millisecond

// drain announces that the endpoint leaves and waits until no connection is open,
// at most for limit.
func drain(e *standin.Endpoint, limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	e.Leave(ctx)
	for e.Status().ConnsInUse > 0 && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
}
