package publish

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os/user"
	"time"

	"github.com/urfave/cli/v3"

	configpb "hemlockmast/api/configstate"
	"hemlockmast/api/confspread"
	"hemlockmast/api/service"
	"hemlockmast/internal/configuration/servicefile"
)

const (
	// statusPollInterval is the time between two status queries of --wait.
	statusPollInterval = 50 * time.Millisecond
	// changeIDBytes is the size of a generated change id before hex encoding.
	changeIDBytes = 12
)

// loadArgs loads and checks the folders in the arguments. It prints the problems
// that it finds.
func loadArgs(cmd *cli.Command) (*service.Configuration, error) {
	dirs := cmd.Args().Slice()
	if len(dirs) == 0 {
		return nil, cli.Exit("name at least one folder", ExitProblems)
	}
	cfg, problems := servicefile.Load(dirs...)
	if len(problems) == 0 {
		return cfg, nil
	}
	if err := printerOf(cmd).problems(problems); err != nil {
		return nil, err
	}
	return nil, cli.Exit(fmt.Sprintf("%d problems; nothing was sent", len(problems)), ExitProblems)
}

func runCheck(_ context.Context, cmd *cli.Command) error {
	cfg, err := loadArgs(cmd)
	if err != nil {
		return err
	}
	return printerOf(cmd).checked(cfg)
}

func newClient(cmd *cli.Command) *client {
	return &client{addrs: cmd.StringSlice(flagControl), peers: newPeers()}
}

func runDiff(ctx context.Context, cmd *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
	defer cancel()
	cfg, err := loadArgs(cmd)
	if err != nil {
		return err
	}
	prepared, err := prepare(ctx, newClient(cmd), cfg)
	if err != nil {
		return cli.Exit(err, exitCode(err))
	}
	return printerOf(cmd).prepared(prepared)
}

// Prepared describes a change before it is sent.
type Prepared struct {
	BaseRevision uint64       `json:"base_revision"`
	Differences  []Difference `json:"differences"`
	Warnings     []Warning    `json:"warnings"`
}

// prepare compares cfg with the configuration in force.
func prepare(ctx context.Context, c *client, cfg *service.Configuration) (*Prepared, error) {
	answer, err := c.current(ctx)
	if err != nil {
		return nil, err
	}
	current := answer.GetConfiguration()
	return &Prepared{
		BaseRevision: current.GetRevision(),
		Differences:  Diff(current, cfg),
		Warnings:     Warnings(current, cfg, c.usage(ctx)),
	}, nil
}

func runPublish(ctx context.Context, cmd *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
	defer cancel()
	if cmd.IsSet(flagChangeID) && !cmd.IsSet(flagBase) {
		return cli.Exit("--"+flagChangeID+" needs the --"+flagBase+" that the change was sent with", ExitProblems)
	}
	cfg, err := loadArgs(cmd)
	if err != nil {
		return err
	}
	c := newClient(cmd)
	prepared, err := prepare(ctx, c, cfg)
	if err != nil {
		return cli.Exit(err, exitCode(err))
	}
	out := printerOf(cmd)
	if err := out.prepared(prepared); err != nil {
		return err
	}
	if len(prepared.Warnings) > 0 && !cmd.Bool(flagAccept) {
		return cli.Exit("nothing was sent; publish with --"+flagAccept+" if this is meant", ExitWarnings)
	}
	accepted, err := c.publish(ctx, newRequest(cmd, cfg, prepared.BaseRevision))
	if err != nil {
		return cli.Exit(err, exitCode(err))
	}
	if err := out.accepted(accepted); err != nil {
		return err
	}
	if cmd.Bool(flagWait) {
		return waitInForce(ctx, c, out, accepted.GetRevision())
	}
	return nil
}

func newRequest(cmd *cli.Command, cfg *service.Configuration, base uint64) *confspread.PublishRequest {
	if cmd.IsSet(flagBase) {
		base = cmd.Uint64(flagBase)
	}
	id := cmd.String(flagChangeID)
	if id == "" {
		id = newChangeID()
	}
	author := cmd.String(flagAuthor)
	if author == "" {
		author = userName()
	}
	return &confspread.PublishRequest{
		Change: &configpb.Change{
			Id: id, Author: author, SubmittedUnixMs: time.Now().UnixMilli(),
		},
		BaseRevision:  base,
		Configuration: cfg,
	}
}

func newChangeID() string {
	id := make([]byte, changeIDBytes)
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}

func userName() string {
	if u, err := user.Current(); err == nil && u.Username != "" {
		return u.Username
	}
	return "unknown"
}

// waitInForce waits until every daemon that control knows runs revision or a
// later one, or until ctx ends.
func waitInForce(ctx context.Context, c *client, out *printer, revision uint64) error {
	startedAt := time.Now()
	var last *Status
	for {
		status, err := c.status(ctx)
		if err == nil {
			last = status
		}
		if last != nil && last.isInForce(revision) {
			return out.inForce(last, revision, time.Since(startedAt))
		}
		select {
		case <-ctx.Done():
			return notInForce(out, last, revision)
		case <-time.After(statusPollInterval):
		}
	}
}

// notInForce prints the last status and returns the error for ExitNotInForce.
func notInForce(out *printer, last *Status, revision uint64) error {
	if last != nil {
		if err := out.status(last); err != nil {
			return err
		}
	}
	return cli.Exit(fmt.Sprintf("revision %d was accepted but is not in force everywhere", revision), ExitNotInForce)
}

// isInForce reports whether every known daemon is reachable and runs revision or
// a later one. It is false if no failure domain is known.
func (s *Status) isInForce(revision uint64) bool {
	for _, domain := range s.Domains {
		for _, member := range domain.GetMembers() {
			if member.GetRevision() < revision || !member.GetReachable() {
				return false
			}
		}
	}
	return len(s.Domains) > 0
}

func runShow(ctx context.Context, cmd *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
	defer cancel()
	answer, err := newClient(cmd).current(ctx)
	if err != nil {
		return cli.Exit(err, exitCode(err))
	}
	return printerOf(cmd).configuration(answer)
}

func runStatus(ctx context.Context, cmd *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
	defer cancel()
	status, err := newClient(cmd).status(ctx)
	if err != nil {
		return cli.Exit(err, exitCode(err))
	}
	return printerOf(cmd).status(status)
}
