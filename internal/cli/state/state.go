// Package state implements the hemlockctl command that checks, backs up or
// restores the data folder of a control VM while its daemon is stopped.
package state

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"hemlockmast/internal/controlgroup/agree"
	"hemlockmast/internal/controlgroup/agreelog"
)

// exitUsage is the exit code for wrong usage.
const exitUsage = 2

// Command returns the state command.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "state",
		Usage: "check, back up or restore a control VM's data folder, with its daemon stopped",
		Description: `A control VM that lost its disk needs no backup: start its daemon with an empty
folder and it joins again. Restore is for a group that lost a majority for good.`,
		Commands: []*cli.Command{checkCommand(), backupCommand(), restoreCommand()},
	}
}

func dataFlag() cli.Flag {
	return &cli.StringFlag{Name: "data", Required: true, Usage: "folder that holds agree-*.log"}
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Value: "table", Usage: "table or json"}
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "read a data folder or a backup whole and say what it holds",
		Description: `Changes nothing. Exit code 1 when it is damaged, locked or not there.
Examples: hemlockctl state check --data /var/lib/hemlockmast/control
          hemlockctl state check --file control-a.backup`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "data", Usage: "data folder"},
			&cli.StringFlag{Name: "file", Usage: "backup"},
			outputFlag(),
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			data, file := cmd.String("data"), cmd.String("file")
			if (data == "") == (file == "") {
				return cli.Exit("state check takes either --data or --file", exitUsage)
			}
			content, err := readContent(data, file)
			if err != nil {
				return err
			}
			return printSummary(cmd, content)
		},
	}
}

func backupCommand() *cli.Command {
	return &cli.Command{
		Name:        "backup",
		Usage:       "write a checked copy of a data folder to one file",
		Description: `Example: hemlockctl state backup --data /var/lib/hemlockmast/control --to control-a.backup`,
		Flags: []cli.Flag{
			dataFlag(),
			&cli.StringFlag{Name: "to", Required: true, Usage: "file to write; must not be there yet"},
			outputFlag(),
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			content, err := readContent(cmd.String("data"), "")
			if err != nil {
				return err
			}
			path := cmd.String("to")
			if err := agreelog.WriteBackup(agreelog.OS{}, path, content); err != nil {
				return err
			}
			// The backup is read back to verify it.
			content, err = agreelog.ReadBackup(agreelog.OS{}, path)
			if err != nil {
				return err
			}
			return printSummary(cmd, content)
		},
	}
}

func restoreCommand() *cli.Command {
	return &cli.Command{
		Name:  "restore",
		Usage: "found a new group from a backup, when the old one lost its majority for good",
		Description: `Writes an empty data folder that holds everything in the backup, as the only voter
of a new group. Of several backups take the one with the highest last entry (term,
then index). Start the other control VMs with empty folders; they join by themselves.
Never start a member of the old group again.
Example: hemlockctl state restore --from control-a.backup --data /var/lib/hemlockmast/control \
           --name control-a --address 10.0.0.1:7001`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "from", Required: true, Usage: "backup"},
			dataFlag(),
			&cli.StringFlag{Name: "name", Required: true, Usage: "name of this control VM in the settings"},
			&cli.StringFlag{Name: "address", Required: true, Usage: "host:port on which it will listen"},
			outputFlag(),
		},
		Action: restore,
	}
}

func restore(_ context.Context, cmd *cli.Command) error {
	content, err := agreelog.ReadBackup(agreelog.OS{}, cmd.String("from"))
	if err != nil {
		return err
	}
	folder, err := agreelog.OpenFolder(agreelog.OS{}, cmd.String("data"))
	if err != nil {
		return err
	}
	defer folder.Close()
	self := agree.ID{Name: cmd.String("name"), Incarnation: randomID()}
	identity := agreelog.Identity{Group: randomID(), Self: self}
	st := agreelog.NewGroupFrom(content, self, cmd.String("address"))
	if err := folder.Format(identity, st); err != nil {
		return err
	}
	content, err = folder.Read()
	if err != nil {
		return err
	}
	return printSummary(cmd, content)
}

// readContent returns the content of the data folder data, or of the backup file
// if data is empty.
func readContent(data, file string) (agreelog.Content, error) {
	if data == "" {
		return agreelog.ReadBackup(agreelog.OS{}, file)
	}
	// OpenFolder creates a lock file, which must not happen in a folder that is
	// not a data folder.
	if !agreelog.IsFormatted(agreelog.OS{}, data) {
		return agreelog.Content{}, &agreelog.NotFormattedError{Dir: data}
	}
	folder, err := agreelog.OpenFolder(agreelog.OS{}, data)
	if err != nil {
		return agreelog.Content{}, err
	}
	defer folder.Close()
	return folder.Read()
}

// randomID returns a random number other than 0.
func randomID() uint64 {
	var b [8]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:]) | 1
}

// summary describes a data folder or backup, as the command prints it.
type summary struct {
	Group         string   `json:"group"`
	Name          string   `json:"name"`
	Incarnation   string   `json:"incarnation"`
	Term          uint64   `json:"term"`
	Commit        uint64   `json:"commit_at_least"`
	SnapshotIndex uint64   `json:"snapshot_index"`
	LastTerm      uint64   `json:"last_term"`
	LastIndex     uint64   `json:"last_index"`
	Members       []string `json:"members"`
	Records       uint64   `json:"records"`
	TornBytes     int64    `json:"torn_bytes"`
}

func summarize(c agreelog.Content) summary {
	s := summary{
		Group: fmt.Sprintf("%016x", c.Identity.Group), Name: c.Identity.Self.Name,
		Incarnation: fmt.Sprintf("%016x", c.Identity.Self.Incarnation),
		Term:        c.State.HardState.GetTerm(), Commit: c.State.HardState.GetCommit(),
		SnapshotIndex: c.State.Snapshot.GetIndex(),
		LastTerm:      c.LastTerm(), LastIndex: c.LastIndex(),
		Records: c.Records, TornBytes: c.TornBytes, Members: []string{},
	}
	for _, m := range c.Membership().GetMembers() {
		role := "learner"
		if m.Voter {
			role = "voter"
		}
		s.Members = append(s.Members, fmt.Sprintf("%s at %s, %s", agree.IDOf(m.Id), m.Address, role))
	}
	return s
}

// printSummary prints the summary of c in the format of --output.
func printSummary(cmd *cli.Command, c agreelog.Content) error {
	w := cmd.Root().Writer
	switch cmd.String("output") {
	case "json":
		return json.NewEncoder(w).Encode(summarize(c))
	case "table":
		return writeTable(w, summarize(c))
	}
	return cli.Exit("--output is table or json", exitUsage)
}

func writeTable(w io.Writer, s summary) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "group\t%s\n", s.Group)
	_, _ = fmt.Fprintf(t, "member\t%s, incarnation %s\n", s.Name, s.Incarnation)
	_, _ = fmt.Fprintf(t, "term\t%d\n", s.Term)
	_, _ = fmt.Fprintf(t, "committed\tat least up to entry %d\n", s.Commit)
	_, _ = fmt.Fprintf(t, "snapshot\tup to entry %d\n", s.SnapshotIndex)
	_, _ = fmt.Fprintf(t, "last entry\tterm %d, index %d\n", s.LastTerm, s.LastIndex)
	_, _ = fmt.Fprintf(t, "members\t%s\n", strings.Join(s.Members, "; "))
	_, _ = fmt.Fprintf(t, "records\t%d, torn bytes at the end: %d\n", s.Records, s.TornBytes)
	return t.Flush()
}
