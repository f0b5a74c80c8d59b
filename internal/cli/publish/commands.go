// Package publish implements the hemlockctl commands that check, compare and
// publish configurations and show which daemons run them.
package publish

import (
	"net"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"hemlockmast/internal/configuration/confspread"
)

// Exit codes of the commands besides 0.
const (
	// ExitFailure means that the command failed.
	ExitFailure = 1
	// ExitProblems means wrong usage or invalid files. Nothing was sent, unless
	// control found the problems.
	ExitProblems = 2
	// ExitConflict means that another change was published first. Nothing was
	// changed.
	ExitConflict = 3
	// ExitNotInForce means that the change was published but was not in force
	// everywhere before the timeout.
	ExitNotInForce = 4
	// ExitWarnings means that warnings were not accepted. Nothing was sent.
	ExitWarnings = 5
)

const (
	// dialTimeout bounds the connection attempt to a control process.
	dialTimeout = time.Second
	// defaultTimeout is the default for the timeout of a whole command.
	defaultTimeout = 10 * time.Second
)

// Flag names.
const (
	flagControl  = "control"
	flagOutput   = "output"
	flagTimeout  = "timeout"
	flagWait     = "wait"
	flagAccept   = "accept-warnings"
	flagBase     = "base"
	flagChangeID = "change-id"
	flagAuthor   = "author"
)

// Commands returns the commands check, diff, publish, config and status.
func Commands() []*cli.Command {
	return []*cli.Command{checkCommand(), diffCommand(), publishCommand(), configCommand(), statusCommand()}
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:        "check",
		Usage:       "check service files and group files without publishing",
		ArgsUsage:   "FOLDER...",
		Description: "Example: hemlockctl check examples/eisgrund\nExit codes: 0 valid, 2 problems found.",
		Flags:       []cli.Flag{outputFlag()},
		Action:      runCheck,
	}
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show what publishing the folders would change",
		ArgsUsage: "FOLDER...",
		Description: "Example: hemlockctl diff --control 127.0.0.1:7400 examples/eisgrund\n" +
			"Exit codes: 0 shown, 1 control not reached, 2 problems found.",
		Flags:  []cli.Flag{controlFlag(), outputFlag(), timeoutFlag()},
		Action: runDiff,
	}
}

func publishCommand() *cli.Command {
	return &cli.Command{
		Name:      "publish",
		Usage:     "make the folders' files the configuration in force",
		ArgsUsage: "FOLDER...",
		Description: "Example: hemlockctl publish --control 127.0.0.1:7400 --wait examples/eisgrund\n" +
			"Exit codes: 0 published, 1 failed or outcome unknown, 2 problems found,\n" +
			"3 another change was published first, 4 not in force everywhere in time,\n" +
			"5 warnings not accepted. Docs: docs/operate-publish.md.",
		Flags: []cli.Flag{
			controlFlag(), outputFlag(), timeoutFlag(),
			&cli.BoolFlag{Name: flagWait, Usage: "wait until every daemon runs it"},
			&cli.BoolFlag{Name: flagAccept, Usage: "publish in spite of warnings"},
			&cli.Uint64Flag{Name: flagBase, Usage: "`REVISION` that the files were prepared from (default: the one in force)"},
			&cli.StringFlag{Name: flagChangeID, Usage: "`ID` of a change whose answer was lost, to send it again; needs --" + flagBase},
			&cli.StringFlag{Name: flagAuthor, Usage: "`NAME` recorded with the change (default: the user's name)"},
		},
		Action: runPublish,
	}
}

func configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "look at the configuration",
		Commands: []*cli.Command{{
			Name:        "show",
			Usage:       "show the configuration in force",
			Description: "Example: hemlockctl config show --control 127.0.0.1:7400 --output json",
			Flags:       []cli.Flag{controlFlag(), outputFlag(), timeoutFlag()},
			Action:      runShow,
		}},
	}
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show, per failure domain, which daemon runs which revision",
		Description: "Example: hemlockctl status --control 127.0.0.1:7400,127.0.0.1:7401\n" +
			"Exit codes: 0 shown, 1 control not reached.",
		Flags:  []cli.Flag{controlFlag(), outputFlag(), timeoutFlag()},
		Action: runStatus,
	}
}

func controlFlag() cli.Flag {
	return &cli.StringSliceFlag{
		Name: flagControl, Required: true, Sources: cli.EnvVars("HEMLOCK_CONTROL"),
		Usage: "`ADDRESSES` of the control processes, host:port, separated by commas",
	}
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{
		Name: flagOutput, Value: outputTable, Usage: "table or json",
		Validator: func(text string) error {
			if text != outputTable && text != outputJSON {
				return &OutputError{Text: text}
			}
			return nil
		},
	}
}

func timeoutFlag() cli.Flag {
	return &cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "longest time to wait"}
}

// OutputError reports an unknown output format.
type OutputError struct{ Text string }

func (e *OutputError) Error() string { return "output " + e.Text + " is neither table nor json" }

// newPeers returns the RPC clients of the commands.
func newPeers() confspread.Peers {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return confspread.NewHTTPPeers(&http.Transport{DialContext: dialer.DialContext}, false)
}
