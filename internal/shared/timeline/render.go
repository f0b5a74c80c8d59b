package timeline

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	timelinepb "hemlockmast/api/timeline"
)

const timeFormat = "15:04:05.000"

// WriteTable writes merged events as a table that contains the time since the first event.
// After the table it writes one line for each failover. Errors: those of w.
func WriteTable(w io.Writer, merged []*timelinepb.Event, zone *time.Location) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	var day string
	var first time.Time
	for i, e := range merged {
		at := stampFromProto(e.Stamp).Time().In(zone)
		if i == 0 {
			first = at
			fmt.Fprintln(table, "TIME\tSINCE\tDAEMON\tEVENT\tWHERE\tDETAIL")
		}
		if date := at.Format(time.DateOnly); date != day {
			day = date
			fmt.Fprintf(table, "%s\t\t\t\t\t\n", date)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", at.Format(timeFormat),
			since(at.Sub(first)), printable(e.Daemon), KindName(e.Kind), where(e), printable(e.Detail))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return writeFailovers(w, Failovers(merged), zone)
}

func writeFailovers(w io.Writer, all []*Failover, zone *time.Location) error {
	for _, f := range all {
		if _, err := fmt.Fprintln(w, f.Sentence(zone)); err != nil {
			return err
		}
	}
	return nil
}

// Sentence describes the failover in one line, with times in zone.
func (f *Failover) Sentence(zone *time.Location) string {
	head := fmt.Sprintf("group %s: primary %s suspected at %s", printable(f.Group),
		printable(f.OldSlot), f.Suspected.In(zone).Format(timeFormat))
	if f.Cleared {
		return head + "; the suspicion was cleared, nothing was promoted"
	}
	if f.Term == 0 {
		return head + "; no replica is promoted yet, writes wait"
	}
	head += fmt.Sprintf("; %s promoted in term %d", printable(f.NewSlot), f.Term)
	gap, known := f.Gap()
	if !known {
		return head + "; no write is acknowledged yet"
	}
	return head + fmt.Sprintf("; first acknowledged write at %s; gap %d ms",
		f.Resumed.In(zone).Format(timeFormat), gap.Milliseconds())
}

// KindName returns the name of kind as words, such as "primary suspected".
func KindName(kind timelinepb.Kind) string {
	name, ok := strings.CutPrefix(kind.String(), "KIND_")
	if !ok {
		return "unknown event " + printable(kind.String())
	}
	return strings.ReplaceAll(strings.ToLower(name), "_", " ")
}

func since(d time.Duration) string {
	return fmt.Sprintf("+%d.%03d", int(d.Seconds()), d.Milliseconds()%1000)
}

// where returns the group, slot, term and other objects that the event is about.
func where(e *timelinepb.Event) string {
	var parts []string
	add := func(label, text string) {
		if text != "" {
			parts = append(parts, label+printable(text))
		}
	}
	add("", e.Group)
	add("slot ", e.Slot)
	if e.Term != 0 {
		parts = append(parts, fmt.Sprintf("term %d", e.Term))
	}
	add("service ", e.Service)
	add("session ", e.Session)
	add("request ", e.Request)
	if e.Revision != 0 {
		parts = append(parts, fmt.Sprintf("revision %d", e.Revision))
	}
	if e.Count > 1 {
		parts = append(parts, fmt.Sprintf("%d times", e.Count))
	}
	return strings.Join(parts, " ")
}

// printable replaces control characters by "?". Text from other processes could otherwise
// move the cursor or break the table.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f || r >= 0x80 && r < 0xa0 {
			return '?'
		}
		return r
	}, text)
}
