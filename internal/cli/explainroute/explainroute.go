// Package explainroute implements the hemlockctl command that shows where a request would go now
// at an entry on the users' platform.
package explainroute

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/urfave/cli/v3"

	"hemlockmast/internal/proxy/explanation"
)

const (
	// fetchTimeout bounds the request to the entry.
	fetchTimeout = 2 * time.Second
	// maxAnswerBytes bounds the entry's answer.
	maxAnswerBytes = 1 << 20
	// exitUsage is the exit code for wrong usage.
	exitUsage = 2
)

// StatusError reports an HTTP status other than 200 OK.
type StatusError struct{ Address, Status string }

func (e *StatusError) Error() string { return fmt.Sprintf("entry %s answered %s", e.Address, e.Status) }

// Command returns the command "explain-route".
func Command() *cli.Command {
	return &cli.Command{
		Name: "explain-route", Usage: "show where a request would go now at an entry, and why, without sending it",
		Description: `The entry's address is its internal one. Give the workspace by its name, never a key.
Examples: hemlockctl explain-route --entry 10.1.0.8:7440 --database orders --workspace acme
          hemlockctl explain-route --entry 10.1.0.8:7440 --database orders --workspace acme --write`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "entry", Required: true, Usage: "internal address of the entry"},
			&cli.StringFlag{Name: "database", Required: true, Usage: "database that the caller names"},
			&cli.StringFlag{Name: "workspace", Usage: "name of the caller's workspace"},
			&cli.BoolFlag{Name: "write", Usage: "a write outside a transaction"},
			&cli.BoolFlag{Name: "transaction", Usage: "the start of a transaction"},
			&cli.BoolFlag{Name: "read-only", Usage: "with --transaction: of a read-only one"},
			&cli.StringFlag{Name: "output", Value: "table", Usage: "table or json"},
		},
		Action: run,
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	kind, ok := kindOf(cmd.Bool("write"), cmd.Bool("transaction"), cmd.Bool("read-only"))
	output := cmd.String("output")
	switch {
	case !ok:
		return cli.Exit("explain-route takes either --write or --transaction, and --read-only only with --transaction", exitUsage)
	case output != "table" && output != "json":
		return cli.Exit("--output is table or json", exitUsage)
	}
	query := url.Values{"database": {cmd.String("database")}, "workspace": {cmd.String("workspace")}, "kind": {string(kind)}}
	e, err := fetch(ctx, cmd.String("entry"), query)
	if err != nil {
		return err
	}
	if output == "json" {
		encoder := json.NewEncoder(cmd.Root().Writer)
		encoder.SetIndent("", "  ")
		return encoder.Encode(e)
	}
	return Write(cmd.Root().Writer, e)
}

// kindOf returns the kind that the flags name. It reports false if they contradict each other.
func kindOf(isWrite, isTransaction, isReadOnly bool) (explanation.Kind, bool) {
	switch {
	case isWrite && isTransaction, isReadOnly && !isTransaction:
		return "", false
	case isWrite:
		return explanation.Write, true
	case isReadOnly:
		return explanation.ReadOnlyTransaction, true
	case isTransaction:
		return explanation.Transaction, true
	}
	return explanation.Read, true
}

// fetch asks the entry. Errors: *StatusError, and those of the request and of decoding.
func fetch(ctx context.Context, address string, query url.Values) (*explanation.Explanation, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: address, Path: explanation.Path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, &StatusError{Address: address, Status: response.Status}
	}
	e := new(explanation.Explanation)
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(e); err != nil {
		return nil, err
	}
	return e, nil
}
