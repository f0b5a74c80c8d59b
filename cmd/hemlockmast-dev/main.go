// Command hemlockmast-dev runs daemons and stand-in endpoints in one process on
// loopback, to try hemlockmast on one machine.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"hemlockmast/internal/shared/logging"
	"hemlockmast/internal/shared/version"
	"hemlockmast/internal/testing/devcluster"
)

const (
	// exitFailure is the exit code when the program fails.
	exitFailure = 1
	// connectDelay is how long a new connection to a stand-in endpoint takes.
	connectDelay = 10 * time.Millisecond
	// controlDaemons is the size of the control group.
	controlDaemons = 3
	// drainTimeout bounds how long a stopping daemon waits for work in progress.
	drainTimeout = 5 * time.Second
)

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
		Name:        "hemlockmast-dev",
		Usage:       "run daemons and stand-in endpoints in one process on loopback",
		Version:     version.Text,
		Description: "Example: go run ./cmd/hemlockmast-dev --config examples/eisgrund",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "config", Value: []string{"examples/eisgrund"}, Usage: "folder with service files; repeat for more"},
			&cli.IntFlag{Name: "daemons", Value: 2, Usage: "daemons in each failure domain"},
			&cli.DurationFlag{Name: "replication-lag", Value: 2 * time.Millisecond, Usage: "delay of the replicas"},
			&cli.StringFlag{Name: "log-level", Value: "error", Usage: "error, info or debug"},
		},
		Action: run,
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	log, err := logging.New(cmd.String("log-level"))
	if err != nil {
		return err
	}
	data, err := os.MkdirTemp("", "hemlockmast-dev-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(data) }()
	c, err := devcluster.Start(ctx, devcluster.Config{
		Control:          controlDaemons,
		DataFolder:       data,
		Folders:          cmd.StringSlice("config"),
		DaemonsPerDomain: cmd.Int("daemons"),
		ConnectDelay:     connectDelay,
		ReplicationLag:   cmd.Duration("replication-lag"),
		DrainTimeout:     drainTimeout,
		Log:              log,
	})
	if err != nil {
		return err
	}
	printGuide(c)
	<-ctx.Done()
	return c.Close()
}

// printGuide prints the addresses of the cluster and commands to try.
func printGuide(c *devcluster.Cluster) {
	fmt.Println("daemons:")
	for _, d := range c.Daemons {
		fmt.Printf("  %-12s failure domain %-8s callers %s  admin %s\n",
			d.Name, d.FailureDomain, d.CallerAddr(), d.AdminURL())
	}
	s := c.Configuration.Services[0]
	url := fmt.Sprintf("postgres://%s@%s/%s", s.Users[0], c.Daemons[0].CallerAddr(), s.Databases[0])
	fmt.Printf("\nconnect (service %s, group %s):\n  %s\n", s.Name, s.Group, url)
	fmt.Println("\ntry:")
	for _, sql := range []string{
		"CREATE TABLE reports (k text PRIMARY KEY, v text)",
		"INSERT INTO reports (k, v) VALUES ('floe-1', 'drifting')",
		"SELECT k, v FROM reports",
	} {
		fmt.Printf("  go run ./cmd/hemlockctl query --url '%s' \"%s\"\n", url, sql)
	}
	fmt.Printf("  go run ./cmd/hemlockctl status --control %s\n", strings.Join(c.ControlAddrs(), ","))
	fmt.Printf("  go run ./cmd/hemlockctl timeline --daemon %s\n", c.Daemons[0].AdminURL())
	fmt.Println("\nCtrl-C stops everything.")
}
