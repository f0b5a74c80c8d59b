// Package explain finds why a request failed in the log lines of daemons.
package explain

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"
)

const (
	// around is how far from the request's line other lines count, in seconds: a
	// promotion with its suspicion takes less.
	around = 5.0
	// maxLineBytes bounds one line; longer ones are passed over.
	maxLineBytes = 1 << 20
)

// beliefs are the messages that say what a daemon came to believe.
var beliefs = []string{
	"endpoint does not serve", "endpoint reported", "primary does not answer",
	"replicas receive nothing from the primary", "primary overloaded while replicas lag",
	"another endpoint leads already", "endpoint announced that it leads and does not", "promotion begun", "promotion called",
	"promotion done", "promotion failed", "primary recorded", "primary known",
	"cut off from other failure domains", "no longer cut off", "control daemon lost",
	"control daemon followed", "configuration in force", "drain started", "drain ended",
}

// Line is one log line.
type Line struct {
	// Text is the line as it was read, from its JSON on.
	Text    string
	Time    float64 `json:"ts"`
	Message string  `json:"msg"`
	Daemon  string  `json:"daemon"`
	ID      string  `json:"id"`
	Service string  `json:"service"`
}

// NotFoundError reports an id that no line names.
type NotFoundError struct{ ID string }

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no line names request %s; a request that did not fail leaves none", e.ID)
}

// Command returns the command "explain".
func Command() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "find why a request failed in log files",
		ArgsUsage:   "ID FILE...",
		Description: "Example: hemlockctl explain 5c1393eac7d17a24 entry-*.log control-*.log",
		Action: func(_ context.Context, cmd *cli.Command) error {
			args := cmd.Args().Slice()
			if len(args) < 2 {
				return cli.Exit("give a request id and log files", 2)
			}
			var lines []Line
			for _, name := range args[1:] {
				f, err := os.Open(name)
				if err != nil {
					return cli.Exit(err.Error(), 1)
				}
				read, err := Read(f)
				if closeErr := f.Close(); err == nil {
					err = closeErr
				}
				if err != nil {
					return cli.Exit(err.Error(), 1)
				}
				lines = append(lines, read...)
			}
			found, err := Explain(args[0], lines)
			if err != nil {
				return cli.Exit(err.Error(), 1)
			}
			for _, l := range found {
				if _, err := fmt.Fprintln(cmd.Root().Writer, l.Text); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// Read returns the log lines in r. Text before a line's JSON, as a collector may
// put it there, and lines without JSON are passed over.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		at := strings.IndexByte(scanner.Text(), '{')
		if at < 0 {
			continue
		}
		l := Line{Text: scanner.Text()[at:]}
		if err := json.Unmarshal([]byte(l.Text), &l); err == nil {
			lines = append(lines, l)
		}
	}
	return lines, scanner.Err()
}

// Explain returns the lines that name the request, and what daemons came to
// believe about its service and about themselves around that time, by time. Errors:
// *NotFoundError.
func Explain(id string, lines []Line) ([]Line, error) {
	var own []Line
	for _, l := range lines {
		if l.ID == id {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return nil, &NotFoundError{ID: id}
	}
	found := slices.Clone(own)
	for _, l := range lines {
		if slices.ContainsFunc(own, func(o Line) bool { return concerns(l, o) }) {
			found = append(found, l)
		}
	}
	slices.SortStableFunc(found, func(a, b Line) int { return cmp.Compare(a.Time, b.Time) })
	return found, nil
}

// concerns reports whether l says something that may have decided over own.
func concerns(l, own Line) bool {
	if l.Time < own.Time-around || l.Time > own.Time+around || !slices.Contains(beliefs, l.Message) {
		return false
	}
	if l.Service == "" {
		return l.Daemon == own.Daemon
	}
	return l.Service == own.Service || own.Service == ""
}
