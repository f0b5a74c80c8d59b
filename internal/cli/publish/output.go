package publish

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"

	configpb "hemlockmast/api/configstate"
	"hemlockmast/api/confspread"
	"hemlockmast/api/service"
	"hemlockmast/internal/configuration/servicefile"
)

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// printer writes results as text and tables or as one JSON value per line. Each
// of its methods checked, prepared, accepted and so on prints the result of that
// name.
type printer struct {
	w    io.Writer
	json bool
}

func printerOf(cmd *cli.Command) *printer {
	return &printer{w: cmd.Root().Writer, json: cmd.String(flagOutput) == outputJSON}
}

// line writes a line of text unless the output is JSON.
func (p *printer) line(format string, args ...any) error {
	if p.json {
		return nil
	}
	_, err := fmt.Fprintf(p.w, format+"\n", args...)
	return err
}

// value writes v if the output is JSON.
func (p *printer) value(v any) error {
	if !p.json {
		return nil
	}
	return json.NewEncoder(p.w).Encode(v)
}

func (p *printer) table(write func(w io.Writer)) error {
	w := tabwriter.NewWriter(p.w, 0, 0, 2, ' ', 0)
	write(w)
	return w.Flush()
}

func (p *printer) problems(problems servicefile.Problems) error {
	if p.json {
		return p.value(struct {
			Problems servicefile.Problems `json:"problems"`
		}{problems})
	}
	for _, problem := range problems {
		if err := p.line("%s", problem.Error()); err != nil {
			return err
		}
	}
	return nil
}

func (p *printer) checked(cfg *service.Configuration) error {
	if p.json {
		return p.value(struct {
			Groups   int `json:"groups"`
			Services int `json:"services"`
		}{len(cfg.GetGroups()), len(cfg.GetServices())})
	}
	return p.line("valid: %d groups, %d services", len(cfg.GetGroups()), len(cfg.GetServices()))
}

func (p *printer) prepared(prepared *Prepared) error {
	if p.json {
		return p.value(prepared)
	}
	if err := p.line("prepared from revision %d", prepared.BaseRevision); err != nil {
		return err
	}
	if len(prepared.Differences) == 0 {
		return p.line("no difference")
	}
	return p.table(func(w io.Writer) {
		for _, d := range prepared.Differences {
			fmt.Fprintf(w, "%s\t%s\t%s\n", d.Action, d.Kind, d.Name)
			for _, f := range d.Fields {
				fmt.Fprintf(w, "\t%s\t%s -> %s\n", f.Field, f.From, f.To)
			}
		}
		for _, warning := range prepared.Warnings {
			fmt.Fprintf(w, "WARNING\t%s\t%s: %s\n", warning.Kind, warning.Name, warning.Detail)
		}
	})
}

func (p *printer) accepted(accepted *configpb.Accepted) error {
	if p.json {
		return p.value(struct {
			Revision  uint64 `json:"revision"`
			Unchanged bool   `json:"unchanged"`
		}{accepted.GetRevision(), accepted.GetUnchanged()})
	}
	if accepted.GetUnchanged() {
		return p.line("revision %d already holds this", accepted.GetRevision())
	}
	return p.line("published as revision %d", accepted.GetRevision())
}

func (p *printer) inForce(status *Status, revision uint64, waited time.Duration) error {
	if p.json {
		return p.status(status)
	}
	for _, domain := range status.Domains {
		n := len(domain.GetMembers())
		if err := p.line("%s: %d of %d daemons run revision %d", domain.GetFailureDomain(), n, n, revision); err != nil {
			return err
		}
	}
	return p.line("in force everywhere %s after it was accepted", waited.Round(time.Millisecond))
}

func (p *printer) configuration(answer *confspread.CurrentResponse) error {
	if p.json {
		data, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(answer)
		if err != nil {
			return err
		}
		return p.value(json.RawMessage(data))
	}
	cfg, change := answer.GetConfiguration(), answer.GetChange()
	if err := p.line("revision %d, change %s by %s", cfg.GetRevision(), change.GetId(), change.GetAuthor()); err != nil {
		return err
	}
	return p.table(func(w io.Writer) {
		for _, d := range Diff(&service.Configuration{}, cfg) {
			fmt.Fprintf(w, "%s\t%s\n", d.Kind, d.Name)
		}
	})
}

// statusOutput is the JSON output of the command status.
type statusOutput struct {
	Revision uint64          `json:"revision"`
	ChangeID string          `json:"change_id"`
	Author   string          `json:"author"`
	Control  []ControlStatus `json:"control"`
	Domains  []domainOutput  `json:"domains"`
}

type domainOutput struct {
	FailureDomain string         `json:"failure_domain"`
	Relay         string         `json:"relay"`
	Daemons       []daemonOutput `json:"daemons"`
}

type daemonOutput struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	State    string `json:"state"`
	// AgeMs is the age of the daemon's last report in milliseconds. It is -1 for a
	// daemon that never reported.
	AgeMs int64 `json:"age_ms"`
}

func newStatusOutput(status *Status) statusOutput {
	out := statusOutput{
		Revision: status.Revision,
		ChangeID: status.Change.GetId(),
		Author:   status.Change.GetAuthor(),
		Control:  status.Control,
	}
	for _, domain := range status.Domains {
		d := domainOutput{FailureDomain: domain.GetFailureDomain(), Relay: domain.GetRelay()}
		for _, member := range domain.GetMembers() {
			d.Daemons = append(d.Daemons, daemonOutput{
				Name:     member.GetName(),
				Revision: member.GetRevision(),
				State:    memberState(status.Revision, member),
				AgeMs:    member.GetAgeMs(),
			})
		}
		out.Domains = append(out.Domains, d)
	}
	return out
}

func (p *printer) status(status *Status) error {
	if p.json {
		return p.value(newStatusOutput(status))
	}
	if err := p.line("revision %d, change %s by %s", status.Revision, status.Change.GetId(), status.Change.GetAuthor()); err != nil {
		return err
	}
	return p.table(func(w io.Writer) {
		fmt.Fprintln(w, "CONTROL\tREVISION\tSTATE")
		for _, control := range status.Control {
			fmt.Fprintf(w, "%s\t%d\t%s\n", control.Addr, control.Revision, control.state())
		}
		fmt.Fprintln(w, "DOMAIN\tDAEMON\tREVISION\tSTATE\tHEARD")
		for _, domain := range status.Domains {
			for _, member := range domain.GetMembers() {
				fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\n", domain.GetFailureDomain(), member.GetName(),
					member.GetRevision(), memberState(status.Revision, member), lastHeard(member))
			}
		}
	})
}

// state returns the text for the table.
func (c ControlStatus) state() string {
	switch {
	case c.Error != "":
		return "not reached: " + c.Error
	case !c.Confirmed:
		return "cannot tell whether it is current"
	}
	return "current"
}

// memberState returns the state of a daemon relative to the newest revision.
func memberState(revision uint64, member *confspread.MemberStatus) string {
	switch {
	case !member.GetReachable():
		return "cannot be reached"
	case member.GetRevision() > revision:
		return "ahead of control"
	case member.GetMode() == confspread.Mode_MODE_CONFIRMED && member.GetRevision() == revision:
		return "current"
	case member.GetMode() == confspread.Mode_MODE_CONFIRMED:
		return "behind"
	case member.GetMode() == confspread.Mode_MODE_STARTING:
		return "starting"
	}
	return "unconfirmed"
}

// lastHeard returns how long ago the daemon last reported.
func lastHeard(member *confspread.MemberStatus) string {
	if member.GetAgeMs() < 0 {
		return "never"
	}
	age := time.Duration(member.GetAgeMs()) * time.Millisecond
	return age.String() + " ago"
}
