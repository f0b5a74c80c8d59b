// Package daemoncmd is the command line of hemlockmastd.
package daemoncmd

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/go-logr/logr"
	"github.com/urfave/cli/v3"

	"hemlockmast/internal/daemon"
	"hemlockmast/internal/fleet/fleetd"
	"hemlockmast/internal/shared/logging"
	"hemlockmast/internal/shared/settings"
)

// Exit codes of the daemon.
const (
	// ExitFailure means that the daemon stopped because of an error.
	ExitFailure = 1
	// ExitSettings means that the settings are invalid and nothing was started.
	ExitSettings = 2
)

// NewLogger returns a logger for a log level of the settings.
type NewLogger func(level string) (logr.Logger, error)

// Command returns the root command of hemlockmastd.
func Command(version string, newLogger NewLogger) *cli.Command {
	file := &cli.StringFlag{
		Name: "settings", Aliases: []string{"s"}, Required: true,
		Usage: "JSON `FILE` with the settings of docs/settings.md",
	}
	return &cli.Command{
		Name:    "hemlockmastd",
		Usage:   "database proxy with session consistency",
		Version: version,
		Description: "Example: hemlockmastd run --settings /etc/hemlockmast/settings.json\n" +
			"Exit codes: 0 stopped as asked, 1 failed, 2 settings refused.",
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			{
				Name: "run", Usage: "run the daemon until SIGTERM or SIGINT", Flags: []cli.Flag{file},
				Action: func(ctx context.Context, cmd *cli.Command) error {
					return run(ctx, cmd.String("settings"), newLogger)
				},
			},
			{
				Name: "serve", Usage: "run one role, entry or control, on the users' platform until SIGTERM",
				Flags: []cli.Flag{file},
				Action: func(ctx context.Context, cmd *cli.Command) error {
					return serve(ctx, cmd.String("settings"))
				},
			},
			{
				Name: "check", Usage: "check the settings without starting",
				Flags: []cli.Flag{file, &cli.BoolFlag{
					Name: "serve", Usage: "the file is one for the command serve",
				}},
				Action: func(_ context.Context, cmd *cli.Command) error {
					if cmd.Bool("serve") {
						return checkServe(cmd)
					}
					s, err := load(cmd.String("settings"))
					if err != nil {
						return err
					}
					_, err = fmt.Fprintf(cmd.Root().Writer, "settings of %s are valid\n", s.Name)
					return err
				},
			},
		},
	}
}

// load reads the settings file of the command run.
func load(path string) (*settings.Settings, error) {
	s, err := settings.Load(path)
	if err != nil {
		return nil, cli.Exit(err.Error(), ExitSettings)
	}
	return s, nil
}

func run(ctx context.Context, path string, newLogger NewLogger) error {
	s, err := load(path)
	if err != nil {
		return err
	}
	log, err := newLogger(s.GetLog().GetLevel())
	if err != nil {
		return err
	}
	d, err := daemon.New(s, daemon.Options{Log: log})
	if err != nil {
		return cli.Exit(err.Error(), ExitFailure)
	}
	log.Info("daemon started", "daemon", s.Name, "admin", d.AdminURL())
	if err := d.Run(ctx); err != nil {
		return cli.Exit(err.Error(), ExitFailure)
	}
	return nil
}

// logFlushTimeout bounds the time to write the remaining log lines at exit.
const logFlushTimeout = 200 * time.Millisecond

func serve(ctx context.Context, path string) error {
	s, err := fleetd.Load(path)
	if err != nil {
		return cli.Exit(err.Error(), ExitSettings)
	}
	lines := logging.NewAsync(os.Stdout)
	defer lines.Close(logFlushTimeout)
	log := logging.NewDaemon(s.LogLevel, lines)
	if err := fleetd.Run(ctx, path, s, log); err != nil {
		log.Error(err, "daemon failed")
		return cli.Exit(err.Error(), ExitFailure)
	}
	return nil
}

// checkServe checks a settings file of the command serve.
func checkServe(cmd *cli.Command) error {
	s, err := fleetd.Load(cmd.String("settings"))
	if err != nil {
		return cli.Exit(err.Error(), ExitSettings)
	}
	_, err = fmt.Fprintf(cmd.Root().Writer, "settings of %s (role %s) are valid\n", s.Name, s.Role)
	return err
}
