package explainroute

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"hemlockmast/internal/proxy/explanation"
)

// Write writes an explanation as text.
func Write(w io.Writer, e *explanation.Explanation) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "entry\t%s in %s, configuration %d%s\n", e.Entry, e.FailureDomain, e.Configuration, words(e.CutOff, ", cut off"))
	fmt.Fprintf(table, "request\t%s of database %s\n", e.Kind, e.Database)
	if r := e.Route; r != nil {
		fmt.Fprintf(table, "route\tservice %s, %s, priority %d, target %d ms, timeout %d ms\n", r.Service, r.Level, r.Priority, r.TargetMs, r.TimeoutMs)
		fmt.Fprintf(table, "waits\tup to %s; a carrier refuses at once if more than %s is expected\n", ms(e.MaxWaitMs), ms(e.MaxExpectedWaitMs))
	}
	writeWorkspace(table, e.Workspace)
	fmt.Fprintf(table, "result\t%s\n", result(e))
	if e.Primary != nil {
		writePrimary(table, e.Primary)
	}
	if e.Choice != nil {
		writeChoice(table, e.Choice)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return writeCandidates(w, e.Choice)
}

// result returns where the request goes, or its refusal.
func result(e *explanation.Explanation) string {
	switch {
	case e.Refusal != "" && e.RetriesForMs > 0:
		return fmt.Sprintf("refused after %s unless that changes: %s", ms(e.RetriesForMs), e.Refusal)
	case e.Refusal != "":
		return "refused at once: " + e.Refusal
	case e.Primary != nil:
		return fmt.Sprintf("sent to %s, the primary; expected wait %s", e.Primary.ID, wait(e.Primary.Load))
	case e.Choice == nil || len(e.Choice.Targets) == 0:
		return "not known"
	}
	first := e.Choice.Targets[0].Endpoint
	for _, c := range e.Choice.Candidates {
		if c.ID == first {
			return fmt.Sprintf("sent to %s; expected wait %s", first, wait(c.Load))
		}
	}
	return "sent to " + first
}

func writeWorkspace(w io.Writer, ws *explanation.Workspace) {
	switch {
	case ws == nil:
		return
	case !ws.IsKnown:
		fmt.Fprintln(w, "workspace\tnot known to this entry")
		return
	case ws.Limit == nil:
		fmt.Fprintf(w, "workspace\t%s, no limit\n", ws.Name)
		return
	}
	l := ws.Limit
	fmt.Fprintf(w, "workspace\t%s, %g operations per second, burst %g\n", ws.Name, ws.RatePerS, ws.Burst)
	fmt.Fprintf(w, "limit\t%s: %s; granter %s%s\n", l.Outcome, l.Detail, orNone(l.Granter), words(l.InFallback, ", kept by a share"))
	if l.IsLimited {
		fmt.Fprintf(w, "limited\t%d operations refused\n", l.Refusals)
	}
}

func writePrimary(w io.Writer, p *explanation.Primary) {
	state := words(p.IsDown, " down") + words(p.IsLeaving, " leaving") + words(p.HasLeft, " left") +
		words(p.IsClosed, " closed") + words(p.IsPromoting, " promoting")
	fmt.Fprintf(w, "primary\t%s in %s, record %d, state:%s\n", p.ID, p.FailureDomain, p.Number, orWord(state, " usable"))
	if p.IsLeaving {
		fmt.Fprintf(w, "leaves\tfor %s\n", ms(float64(p.LeavingForMs)))
	}
	fmt.Fprintf(w, "load\t%s\n", load(p.Load))
	fmt.Fprintf(w, "carriers\t%s\n", carriers(p.Carriers))
}

func writeChoice(w io.Writer, c *explanation.Choice) {
	fmt.Fprintf(w, "floor\t%s\n", orWord(c.Floor, "not known, the primary is asked first"))
	for _, t := range c.Targets {
		fmt.Fprintf(w, "chosen\t%s, %.0f %% of reads, side %s%s\n", orNone(t.Endpoint), 100*t.Share, t.Side, words(t.IsProbe, ", the next read only, as a probe"))
	}
	l := c.Leaving
	margin := "not known"
	if l.Home.IsKnown && l.Away.IsKnown {
		margin = ms(l.MarginMs)
	}
	fmt.Fprintf(w, "leaving\t%.0f %%: %s (margin %s, cost %s)\n", 100*l.Share, l.Reason, margin, ms(l.CrossDomainCostMs))
	fmt.Fprintf(w, "load at home\t%s\n", sideLoad(l.Home))
	fmt.Fprintf(w, "load away\t%s\n", sideLoad(l.Away))
}

func writeCandidates(w io.Writer, c *explanation.Choice) error {
	if c == nil {
		return nil
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nENDPOINT\tDOMAIN\tSTATE\tPRIMARY\tOBSTACLE\tLAGGED\tIN FLIGHT\tSTATEMENT\tLOAD TOLD\tCONNECTION\tCOST\tCARRIERS")
	for _, e := range c.Candidates {
		fmt.Fprintf(table, "%s\t%s%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\n",
			e.ID, e.FailureDomain, words(e.InSameDomain, " (own)"), e.State, yes(e.IsPrimary), orWord(e.Obstacle, "-"), yes(e.Lagging),
			e.InFlight, ms(e.StatementMs), load(e.Load), yes(e.HasConnection), ms(e.CostMs), carriers(e.Carriers))
	}
	return table.Flush()
}

func sideLoad(s explanation.SideLoad) string {
	switch {
	case !s.IsUsable:
		return "no endpoint can be used"
	case !s.IsKnown:
		return "not known"
	}
	return fmt.Sprintf("wait %s, statement %s, round trip %s", ms(s.WaitMs), ms(s.StatementMs), ms(s.RoundTripMs))
}

func load(l *explanation.Load) string {
	if l == nil {
		return "not known"
	}
	return fmt.Sprintf("wait %s, %s ago%s", ms(l.WaitMs), ms(l.AgeMs), words(l.IsTooLong, ", too long"))
}

func wait(l *explanation.Load) string {
	if l == nil {
		return "not known"
	}
	return ms(l.WaitMs)
}

func ms(v float64) string { return strconv.FormatFloat(v, 'f', 1, 64) + " ms" }

func carriers(list []string) string { return orWord(strings.Join(list, " then "), "own connections") }

func yes(b bool) string { return orWord(words(b, "yes"), "-") }

func words(b bool, text string) string {
	if b {
		return text
	}
	return ""
}

func orNone(text string) string { return orWord(text, "none") }

func orWord(text, other string) string {
	if text == "" {
		return other
	}
	return text
}
