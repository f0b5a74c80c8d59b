// Package explain searches the logs of daemons for the reason why a request failed, and for
// what happened in the promotions of a service.
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
	// windowSeconds is how far a related line may be from a line of the request,
	// before or after. A promotion with the preceding suspicion takes less.
	windowSeconds = 5.0
	// maxLineBytes is the size limit of one line. Read skips a longer line.
	maxLineBytes = 1 << 20
)

// stateMessages are the log messages about a daemon's state and its view of
// endpoints and control.
var stateMessages = []string{
	"endpoint does not serve", "endpoint reported", "primary does not answer",
	"replicas receive nothing from the primary", "primary overloaded while replicas lag",
	"another endpoint leads already", "endpoint announced that it leads and does not", "promotion begun", "promotion called",
	"promotion done", "promotion failed", "promotion interrupted", "new primary answers", "acknowledged commit is missing",
	"acknowledgements closed", "entries closed acknowledgements", "success of a commit not passed on",
	"primary recorded", "primary known",
	"cut off from other failure domains", "no longer cut off", "control daemon lost",
	"control daemon followed", "configuration in force", "drain started", "drain ended",
}

// Line is one log line. Time is in seconds since the Unix epoch.
type Line struct {
	// Text is the JSON part of the line.
	Text    string
	Time    float64 `json:"ts"`
	Message string  `json:"msg"`
	Daemon  string  `json:"daemon"`
	ID      string  `json:"id"`
	Service string  `json:"service"`
}

// NotFoundError reports a request id that does not occur in the lines.
type NotFoundError struct{ ID string }

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no line names request %s; a request that did not fail leaves none", e.ID)
}

// Command returns the command "explain".
func Command() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "find in log files why a request failed or what happened in promotions",
		ArgsUsage: "[ID] FILE...",
		Description: `Examples: hemlockctl explain 5c1393eac7d17a24 entry-*.log control-*.log
hemlockctl explain --service yeny1a entry-*.log control-*.log
hemlockctl explain --endpoint i-1ed08d41d1 entry-*.log control-*.log`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "service", Usage: "tell the promotions of this service"},
			&cli.StringFlag{Name: "endpoint", Usage: "tell the promotions in which this endpoint takes part"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			subject := Subject{Service: cmd.String("service"), Endpoint: cmd.String("endpoint")}
			if subject != (Subject{}) {
				return writePromotions(cmd.Root().Writer, subject, cmd.Args().Slice())
			}
			if cmd.NArg() < 2 {
				return cli.Exit("give a request id and log files", 2)
			}
			return writeRequest(cmd.Root().Writer, cmd.Args().First(), cmd.Args().Tail())
		},
	}
}

// writeRequest writes the lines that explain a request.
func writeRequest(w io.Writer, id string, files []string) error {
	lines, err := readFiles(files)
	if err != nil {
		return cli.Exit(err.Error(), 1)
	}
	found, err := Explain(id, lines)
	if err != nil {
		return cli.Exit(err.Error(), 1)
	}
	for _, l := range found {
		if _, err := fmt.Fprintln(w, l.Text); err != nil {
			return err
		}
	}
	return nil
}

// writePromotions writes the stories of the subject's promotions.
func writePromotions(w io.Writer, subject Subject, files []string) error {
	if len(files) == 0 {
		return cli.Exit("give log files", 2)
	}
	lines, err := readFiles(files)
	if err != nil {
		return cli.Exit(err.Error(), 1)
	}
	stories, err := Promotions(subject, lines)
	if err != nil {
		return cli.Exit(err.Error(), 1)
	}
	for _, s := range stories {
		if err := s.Write(w); err != nil {
			return err
		}
	}
	return nil
}

func readFiles(names []string) ([]Line, error) {
	var lines []Line
	for _, name := range names {
		read, err := readFile(name)
		if err != nil {
			return nil, err
		}
		lines = append(lines, read...)
	}
	return lines, nil
}

func readFile(name string) (lines []Line, err error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { err = cmp.Or(err, f.Close()) }()
	return Read(f)
}

// Read returns the log lines in r. It skips lines without valid JSON, lines of more than
// maxLineBytes, and any text before the JSON, such as the prefix of a log collector.
// Errors: those of r.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	reader := bufio.NewReader(r)
	var text []byte
	isLong := false
	for {
		part, err := reader.ReadSlice('\n')
		isLong = isLong || len(text)+len(part) > maxLineBytes
		if !isLong {
			text = append(text, part...)
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if l, ok := parseLine(string(text)); ok && !isLong {
			lines = append(lines, l)
		}
		text, isLong = text[:0], false
		if err == io.EOF {
			return lines, nil
		}
		if err != nil {
			return lines, err
		}
	}
}

// parseLine returns the log line in text; ok is false if text has no valid JSON.
func parseLine(text string) (l Line, ok bool) {
	text = strings.TrimRight(text, "\r\n")
	at := strings.IndexByte(text, '{')
	if at < 0 {
		return Line{}, false
	}
	l.Text = text[at:]
	return l, json.Unmarshal([]byte(l.Text), &l) == nil
}

// Explain returns the lines of the request and, around their time, the state
// messages about its service and about the daemons that logged them. The lines
// are sorted by time. Errors: *NotFoundError.
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
		if slices.ContainsFunc(own, func(o Line) bool { return isRelated(l, o) }) {
			found = append(found, l)
		}
	}
	slices.SortStableFunc(found, func(a, b Line) int { return cmp.Compare(a.Time, b.Time) })
	return found, nil
}

// isRelated reports whether l is a state message that may explain own, a line of
// the request.
func isRelated(l, own Line) bool {
	if l.Time < own.Time-windowSeconds || l.Time > own.Time+windowSeconds || !slices.Contains(stateMessages, l.Message) {
		return false
	}
	if l.Service == "" {
		return l.Daemon == own.Daemon
	}
	return l.Service == own.Service || own.Service == ""
}
