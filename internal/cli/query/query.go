// Package query implements the hemlockctl command that runs a statement, for
// users without a PostgreSQL client.
package query

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/urfave/cli/v3"
)

// defaultTimeout is the default timeout of the connection and the statement
// together.
const defaultTimeout = 10 * time.Second

// Command returns the query command.
func Command() *cli.Command {
	return &cli.Command{
		Name:      "query",
		Usage:     "run one SQL statement and print its rows",
		ArgsUsage: "STATEMENT",
		Description: `Example: hemlockctl query --url 'postgres://bulletin@127.0.0.1:6432/charts' 'SELECT 1'
A session id or token may stand in the URL: ?hemlock.session_id=bridge-7`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "url", Required: true, Usage: "connection string"},
			&cli.DurationFlag{Name: "timeout", Value: defaultTimeout, Usage: "longest time to wait"},
			&cli.BoolFlag{Name: "token", Usage: "print the session token after the rows"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 1 {
				return cli.Exit("query takes one statement", 2)
			}
			ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
			defer cancel()
			return run(ctx, cmd.Root().Writer, cmd.String("url"), cmd.Args().First(), cmd.Bool("token"))
		},
	}
}

func run(ctx context.Context, w io.Writer, url, sql string, showToken bool) error {
	conn, err := pgx.Connect(ctx, url)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }()
	rows, err := conn.Query(ctx, sql)
	if err != nil {
		return err
	}
	defer rows.Close()
	if err := print(w, rows); err != nil {
		return err
	}
	if showToken {
		_, err = fmt.Fprintln(w, conn.PgConn().ParameterStatus("hemlock.session_token"))
	}
	return err
}

// print writes the rows as a table, followed by the command tag.
func print(w io.Writer, rows pgx.Rows) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	var names []string
	for _, f := range rows.FieldDescriptions() {
		names = append(names, f.Name)
	}
	if len(names) > 0 {
		_, _ = fmt.Fprintln(table, strings.Join(names, "\t"))
	}
	for rows.Next() {
		values, err := rows.Values()
		if err != nil {
			return err
		}
		cells := make([]string, len(values))
		for i, v := range values {
			cells[i] = fmt.Sprint(v)
		}
		_, _ = fmt.Fprintln(table, strings.Join(cells, "\t"))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if err := rows.Err(); err != nil {
		return err
	}
	_, err := fmt.Fprintln(w, rows.CommandTag().String())
	return err
}
