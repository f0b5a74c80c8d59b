package explain

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// shownFields are the fields of an event that are shown, in this order.
var shownFields = []string{
	"order", "endpoint", "endpoints", "state", "born", "from", "to", "primary", "term", "position", "pausedTerm", "pauseTerm",
	"highest", "pausesLeft", "acknowledged", "inherited", "number", "taken", "planned", "openCalls", "stepDownOrdered", "floor",
	"covered", "dead", "leader", "self", "reason", "took", "outcome", "error",
}

// timeFormat shows a time of day in UTC.
const timeFormat = "15:04:05.0000"

func formatTime(seconds float64) string {
	return time.UnixMicro(int64(seconds * 1e6)).UTC().Format(timeFormat)
}

// Write writes the story: each event in order, then each attempt with what is remarkable about
// it, then the commits that are missing.
func (s *Story) Write(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "service %s\n", s.Service)
	for _, e := range s.Events {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", formatTime(e.Time), e.Daemon, e.formatAttempt(), e.Message, e.formatFields())
	}
	fmt.Fprintln(table, "attempts")
	for _, a := range s.Attempts {
		for _, line := range a.describe() {
			fmt.Fprintf(table, "  %s\n", line)
		}
	}
	fmt.Fprintf(table, "acknowledged commits missing: %s\n", s.describeMissing())
	if s.Suppressed > 0 {
		fmt.Fprintf(table, "INCOMPLETE: daemons left %d lines about promotions out of their logs\n", s.Suppressed)
	}
	return table.Flush()
}

func (e Event) formatAttempt() string {
	switch {
	case e.Token == 0:
		return "-"
	case e.LeadTerm == 0:
		return fmt.Sprintf("token %d", e.Token)
	}
	return fmt.Sprintf("token %d lead term %d", e.Token, e.LeadTerm)
}

func (e Event) formatFields() string {
	var parts []string
	for _, name := range shownFields {
		if v := e.field(name); v != "" {
			parts = append(parts, name+"="+v)
		}
	}
	return strings.Join(parts, " ")
}

func (a *Attempt) name() string { return fmt.Sprintf("token %d of %s", a.Token, a.Holder) }

// describe returns the attempt and what is remarkable about it, one line each.
func (a *Attempt) describe() []string {
	lines := []string{fmt.Sprintf("%s, lead term %d, %s to %s: %s", a.name(), a.LeadTerm, formatTime(a.Start), formatTime(a.End), a.outcome())}
	add := func(format string, args ...any) { lines = append(lines, "    "+fmt.Sprintf(format, args...)) }
	if a.LostLeadAt > 0 {
		add("LOST THE LEAD at %s; %d lines of the attempt follow", formatTime(a.LostLeadAt), a.countAfter(a.LostLeadAt))
	}
	for _, b := range a.Overlaps {
		add("OVERLAPS %s", b.name())
	}
	for _, b := range a.OpenCalls {
		add("CALL OPEN when it began: %s for %s", b.name(), b.called)
	}
	if a.called != "" && a.closedAt == 0 {
		add("CALL LEFT OPEN for %s", a.called)
	}
	if e := a.last(msgAnswers); e != nil {
		add("%s leads term %s with a log up to %s; highest position known before: %s",
			e.field("endpoint"), e.field("term"), e.field("position"), e.field("highest"))
	}
	if paused := a.paused(); len(paused) > 0 {
		add("last answer paused: %s", strings.Join(paused, ", "))
	}
	return lines
}

// last returns the last event with a message, or nil.
func (a *Attempt) last(message string) *Event {
	for i := len(a.Events) - 1; i >= 0; i-- {
		if a.Events[i].Message == message {
			return &a.Events[i]
		}
	}
	return nil
}

func (a *Attempt) outcome() string {
	if e := a.last(msgDone); e != nil {
		return fmt.Sprintf("done, %s replaces %s (%s)", e.field("to"), e.field("from"), e.field("reason"))
	}
	if e := a.last(msgFailed); e != nil {
		return fmt.Sprintf("failed (%s): %s", e.field("reason"), e.field("error"))
	}
	if e := a.last(msgOtherLeads); e != nil {
		return fmt.Sprintf("out of date, %s leads already", e.field("endpoint"))
	}
	return "NO END in the logs"
}

func (a *Attempt) countAfter(t float64) int {
	n := 0
	for _, e := range a.Events {
		if e.Time > t {
			n++
		}
	}
	return n
}

// paused returns the endpoints whose last answer to the attempt told a pause that the attempt
// has not ended. A pause ends when its term or a later one has a primary.
func (a *Attempt) paused() []string {
	ledTerm := 0.0
	if e := a.last(msgAnswers); e != nil {
		ledTerm = e.number("term")
	}
	terms := make(map[string]float64)
	for _, e := range a.Events {
		if e.Message == msgAnswered {
			terms[e.field("endpoint")] = e.number("pausedTerm")
		}
	}
	var list []string
	for id, term := range terms {
		if term > ledTerm {
			list = append(list, fmt.Sprintf("%s with term %.0f", id, term))
		}
	}
	slices.Sort(list)
	return list
}

func (s *Story) describeMissing() string {
	if len(s.Missing) == 0 {
		return "none reported"
	}
	var lines []string
	for _, e := range s.Missing {
		lines = append(lines, fmt.Sprintf("\n  MISSING: %s saw %s acknowledged; %s leads term %s since record %s and began with %s",
			e.Daemon, e.field("acknowledged"), e.field("endpoint"), e.field("term"), e.field("number"), e.field("inherited")))
	}
	return strings.Join(lines, "")
}
