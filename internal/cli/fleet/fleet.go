// Package fleet shows the state of running daemons on the users' platform, from the
// metrics that each serves at its internal address.
package fleet

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"text/tabwriter"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/urfave/cli/v3"
)

// askTimeout bounds the question to one daemon.
const askTimeout = 2 * time.Second

// Series that the table shows.
const (
	configuration = "hemlockmast_config_revision"
	term          = "hemlockmast_control_term"
	leads         = "hemlockmast_control_leads"
	voters        = "hemlockmast_control_voters"
	promotions    = "hemlockmast_promotions_total"
	requests      = "hemlockmast_requests_total"
	refusals      = "hemlockmast_refusals_total"
)

// UnreachableError reports daemons that did not answer.
type UnreachableError struct{ Addresses []string }

func (e *UnreachableError) Error() string { return fmt.Sprintf("no answer from %v", e.Addresses) }

// StatusError reports an answer that is no success.
type StatusError struct{ Status string }

func (e *StatusError) Error() string { return "answered " + e.Status }

// Command returns the command "fleet".
func Command() *cli.Command {
	return &cli.Command{
		Name: "fleet", Usage: "show running daemons on the users' platform",
		ArgsUsage:   "ADDRESS...",
		Description: "Addresses are the daemons' internal ones. Example: hemlockctl fleet 10.1.0.8:7440 10.2.0.8:7440",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.NArg() == 0 {
				return cli.Exit("name at least one address", 2)
			}
			return Show(ctx, cmd.Root().Writer, cmd.Args().Slice())
		},
	}
}

// daemon is what one daemon told.
type daemon struct {
	families map[string]*dto.MetricFamily
	err      error
}

// Show asks all daemons at once and writes a line for each. The error names those that
// did not answer.
func Show(ctx context.Context, w io.Writer, addresses []string) error {
	daemons := make([]daemon, len(addresses))
	var wait sync.WaitGroup
	for i, address := range addresses {
		wait.Go(func() { daemons[i].families, daemons[i].err = ask(ctx, address) })
	}
	wait.Wait()
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ADDRESS\tROLE\tCONFIGURATION\tTERM\tVOTERS\tPROMOTIONS\tREQUESTS\tREFUSALS")
	var missing []string
	for i, address := range addresses {
		if daemons[i].err != nil {
			missing = append(missing, address)
			fmt.Fprintf(table, "%s\tno answer: %v\n", address, daemons[i].err)
			continue
		}
		fmt.Fprintln(table, daemons[i].line(address))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if len(missing) > 0 {
		return &UnreachableError{Addresses: missing}
	}
	return nil
}

func ask(ctx context.Context, address string) (map[string]*dto.MetricFamily, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: response.Status}
	}
	parser := expfmt.NewTextParser(model.LegacyValidation)
	return parser.TextToMetricFamilies(response.Body)
}

// line is the daemon's row of the table.
func (d daemon) line(address string) string {
	role := "entry"
	if _, ok := d.families[term]; ok {
		role = "control"
		if d.sum(leads) > 0 {
			role = "control, leads"
		}
	}
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s", address, role, d.text(configuration), d.text(term),
		d.text(voters), d.text(promotions), d.text(requests), d.text(refusals))
}

// text is the sum of a series, or "-" where the daemon has none.
func (d daemon) text(name string) string {
	if _, ok := d.families[name]; !ok {
		return "-"
	}
	return strconv.FormatFloat(d.sum(name), 'f', -1, 64)
}

func (d daemon) sum(name string) float64 {
	total := 0.0
	for _, m := range d.families[name].GetMetric() {
		total += m.GetGauge().GetValue() + m.GetCounter().GetValue()
	}
	return total
}
