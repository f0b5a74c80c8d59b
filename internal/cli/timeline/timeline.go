// Package timeline implements the hemlockctl command that shows the events of all
// daemons in causal order.
package timeline

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"

	timelinepb "hemlockmast/api/timeline"
	"hemlockmast/internal/shared/timeline"
	"hemlockmast/internal/shared/timeline/timelinerpc"
)

// defaultTimeout is the default timeout for collecting from all daemons.
const defaultTimeout = 5 * time.Second

// PeriodError reports an invalid start or end of the period.
type PeriodError struct{ Flag, Text string }

func (e *PeriodError) Error() string {
	return fmt.Sprintf("--%s %q: give a time such as 2026-01-31T22:15:00Z, or a duration before now such as 10m",
		e.Flag, e.Text)
}

// OutputError reports an unknown output format.
type OutputError struct{ Text string }

func (e *OutputError) Error() string {
	return fmt.Sprintf("--output %q: give table or json", e.Text)
}

// PartialError reports daemons that could not be reached, so that their events
// are missing from the output.
type PartialError struct{ Daemons []string }

func (e *PartialError) Error() string {
	return "the time line is not whole; no full answer from " + strings.Join(e.Daemons, ", ")
}

// Command returns the timeline command.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "timeline",
		Usage: "show the events of all daemons in causal order",
		Description: `Example: hemlockctl timeline --daemon http://127.0.0.1:7401 --daemon http://127.0.0.1:7402 --group north --from 10m
Daemons that cannot be asked are named, and the exit code is 1 then.`,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{
				Name: "daemon", Required: true, Usage: "base URL of a daemon's operator port; may be repeated",
				Sources: cli.EnvVars("HEMLOCK_DAEMONS"),
			},
			&cli.StringFlag{Name: "group", Usage: "only events of this database group"},
			&cli.StringFlag{Name: "service", Usage: "only events of this service"},
			&cli.StringFlag{Name: "session", Usage: "only events of this session id"},
			&cli.StringFlag{Name: "request", Usage: "only events of this request id"},
			&cli.StringFlag{Name: "from", Usage: "start: a time (RFC 3339) or a duration before now"},
			&cli.StringFlag{Name: "to", Usage: "end: a time (RFC 3339) or a duration before now"},
			&cli.StringFlag{Name: "output", Value: "table", Usage: "table or json"},
			&cli.BoolFlag{Name: "utc", Usage: "show times in UTC in place of local time"},
			&cli.DurationFlag{Name: "timeout", Value: defaultTimeout, Usage: "longest time to wait"},
		},
		Action: action,
	}
}

func action(ctx context.Context, cmd *cli.Command) error {
	filter, err := parseFilter(cmd, time.Now())
	if err != nil {
		return err
	}
	outputFormat := cmd.String("output")
	if outputFormat != "table" && outputFormat != "json" {
		return &OutputError{Text: outputFormat}
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	found := timelinerpc.Collect(ctx, http.DefaultClient, completeURLs(cmd.StringSlice("daemon")), filter)
	if outputFormat == "json" {
		err = writeJSON(cmd.Root().Writer, found)
	} else {
		zone := time.Local
		if cmd.Bool("utc") {
			zone = time.UTC
		}
		err = writeTable(cmd.Root().Writer, found, zone)
	}
	if err != nil {
		return err
	}
	return checkComplete(found)
}

// completeURLs adds "http://" to addresses without a scheme.
func completeURLs(daemons []string) []string {
	urls := make([]string, 0, len(daemons))
	for _, d := range daemons {
		if !strings.Contains(d, "://") {
			d = "http://" + d
		}
		urls = append(urls, d)
	}
	return urls
}

func parseFilter(cmd *cli.Command, now time.Time) (*timelinepb.Filter, error) {
	from, err := parseBound(cmd, "from", now)
	if err != nil {
		return nil, err
	}
	to, err := parseBound(cmd, "to", now)
	if err != nil {
		return nil, err
	}
	return &timelinepb.Filter{
		Group:   cmd.String("group"),
		Service: cmd.String("service"),
		Session: cmd.String("session"),
		Request: cmd.String("request"),
		FromNs:  from,
		ToNs:    to,
	}, nil
}

// parseBound parses the start or end of the period. It returns nanoseconds since
// the Unix epoch, or 0 if the flag is not set. Errors: *PeriodError.
func parseBound(cmd *cli.Command, flag string, now time.Time) (int64, error) {
	text := cmd.String(flag)
	if text == "" {
		return 0, nil
	}
	if at, err := time.Parse(time.RFC3339Nano, text); err == nil {
		return at.UnixNano(), nil
	}
	if ago, err := time.ParseDuration(text); err == nil && ago >= 0 {
		return now.Add(-ago).UnixNano(), nil
	}
	return 0, &PeriodError{Flag: flag, Text: text}
}

func writeTable(w io.Writer, found *timelinerpc.Collection, zone *time.Location) error {
	if len(found.Events) == 0 {
		if _, err := fmt.Fprintln(w, "no events"); err != nil {
			return err
		}
	}
	if err := timeline.WriteTable(w, found.Events, zone); err != nil {
		return err
	}
	for _, m := range found.Unreached {
		if _, err := fmt.Fprintf(w, "MISSING  %s\n", m); err != nil {
			return err
		}
	}
	for _, m := range found.Overwritten {
		if _, err := fmt.Fprintf(w, "CUT      %s\n", m); err != nil {
			return err
		}
	}
	return nil
}

// writeJSON writes one JSON object with the events, the failovers and the daemons
// whose events are missing.
func writeJSON(w io.Writer, found *timelinerpc.Collection) error {
	out := &timelinepb.Report{Events: found.Events}
	for _, f := range timeline.Failovers(found.Events) {
		gap, _ := f.Gap()
		out.Failovers = append(out.Failovers, &timelinepb.Failover{
			Group: f.Group, OldSlot: f.OldSlot, NewSlot: f.NewSlot, Term: f.Term,
			SuspectedNs: f.Suspected.UnixNano(), GapNs: gap.Nanoseconds(),
			Finished: !f.Resumed.IsZero(), Cleared: f.Cleared,
		})
	}
	for _, m := range found.Unreached {
		out.Unreached = append(out.Unreached, &timelinepb.Missing{Daemon: m.Daemon, Cause: m.Cause.Error()})
	}
	for _, m := range found.Overwritten {
		out.Overwritten = append(out.Overwritten, &timelinepb.Missing{Daemon: m.Daemon, Lost: m.Lost})
	}
	text, err := protojson.Marshal(out)
	if err != nil {
		return err
	}
	_, err = w.Write(append(text, '\n'))
	return err
}

// checkComplete returns a *PartialError if a daemon was not reached.
func checkComplete(found *timelinerpc.Collection) error {
	if len(found.Unreached) == 0 {
		return nil
	}
	e := &PartialError{}
	for _, m := range found.Unreached {
		e.Daemons = append(e.Daemons, m.Daemon)
	}
	return e
}
