// Package fleet implements the hemlockctl command that shows the daemons on the
// users' platform. It reads the metrics that each daemon serves at its internal
// address.
package fleet

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/urfave/cli/v3"
)

// fetchTimeout bounds the request to one daemon.
const fetchTimeout = 2 * time.Second

// Names of the metrics that the table shows.
const (
	configurationSeries = "hemlockmast_config_revision"
	termSeries          = "hemlockmast_control_term"
	leadsSeries         = "hemlockmast_control_leads"
	votersSeries        = "hemlockmast_control_voters"
	lossesBorneSeries   = "hemlockmast_control_losses_borne"
	silentVotersSeries  = "hemlockmast_control_voter_silent_seconds"
	promotionsSeries    = "hemlockmast_promotions_total"
	requestsSeries      = "hemlockmast_requests_total"
	refusalsSeries      = "hemlockmast_refusals_total"
	missingSeries       = "hemlockmast_acknowledged_commits_missing_total"
	behindSeries        = "hemlockmast_primaries_behind_total"
	unfinishedSeries    = "hemlockmast_attempts_unfinished"
	openCallsSeries     = "hemlockmast_platform_calls_open"
)

// UnreachableError reports daemons that did not answer.
type UnreachableError struct{ Addresses []string }

func (e *UnreachableError) Error() string { return fmt.Sprintf("no answer from %v", e.Addresses) }

// StatusError reports an HTTP status other than 200 OK.
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

// daemon holds the metrics of one daemon, or the error of fetching them.
type daemon struct {
	families map[string]*dto.MetricFamily
	err      error
}

// Show fetches the metrics of all daemons concurrently and writes a line for each.
// After them it names the
// silent voters of the control group. It returns an *UnreachableError with the daemons that did not answer.
func Show(ctx context.Context, w io.Writer, addresses []string) error {
	daemons := make([]daemon, len(addresses))
	var wait sync.WaitGroup
	for i, address := range addresses {
		wait.Go(func() { daemons[i].families, daemons[i].err = fetchMetrics(ctx, address) })
	}
	wait.Wait()
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ADDRESS\tROLE\tCONFIGURATION\tTERM\tVOTERS\tBEARS\tPROMOTIONS\tREQUESTS\tREFUSALS\tUNFINISHED\tOPEN CALLS\tMISSING")
	var missing []string
	for i, address := range addresses {
		if daemons[i].err != nil {
			missing = append(missing, address)
			fmt.Fprintf(table, "%s\tno answer: %v\n", address, daemons[i].err)
			continue
		}
		fmt.Fprintln(table, daemons[i].row(address))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, d := range daemons {
		d.writeSilentVoters(w)
	}
	if len(missing) > 0 {
		return &UnreachableError{Addresses: missing}
	}
	return nil
}

func fetchMetrics(ctx context.Context, address string) (map[string]*dto.MetricFamily, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
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

// row returns the daemon's row of the table, with cells separated by tabs.
func (d daemon) row(address string) string {
	role := "entry"
	if _, ok := d.families[termSeries]; ok {
		role = "control"
		if d.sum(leadsSeries) > 0 {
			role = "control, leads"
		}
	}
	// Entries count missing commits, control daemons count primaries that lack a position.
	missing := missingSeries
	if role != "entry" {
		missing = behindSeries
	}
	cells := []string{address, role}
	for _, name := range []string{
		configurationSeries, termSeries, votersSeries, lossesBorneSeries, promotionsSeries, requestsSeries, refusalsSeries,
		unfinishedSeries, openCallsSeries, missing,
	} {
		cells = append(cells, d.formatSum(name))
	}
	return strings.Join(cells, "\t")
}

// writeSilentVoters writes a line for each control VM that the daemon, as the leader, does
// not hear.
func (d daemon) writeSilentVoters(w io.Writer) {
	for _, m := range d.families[silentVotersSeries].GetMetric() {
		since := time.Duration(m.GetGauge().GetValue() * float64(time.Second))
		for _, label := range m.GetLabel() {
			fmt.Fprintf(w, "control voter %s has been silent for %s\n", label.GetValue(), since)
		}
	}
}

// formatSum returns the sum of a metric over its series, or "-" if the daemon does
// not have the metric.
func (d daemon) formatSum(name string) string {
	if _, ok := d.families[name]; !ok {
		return "-"
	}
	return strconv.FormatFloat(d.sum(name), 'f', -1, 64)
}

// sum adds up the series of a metric.
func (d daemon) sum(name string) float64 {
	total := 0.0
	for _, m := range d.families[name].GetMetric() {
		total += m.GetGauge().GetValue() + m.GetCounter().GetValue()
	}
	return total
}
