package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"hemlockmast/platform/standin"
)

const (
	// queryTimeout is longer than a statement may take by its route.
	queryTimeout = 4 * time.Second
	openTimeout  = 2 * time.Second
	// callerPause is the pause between two operations of a caller.
	callerPause = 5 * time.Millisecond
)

// writes is what callers were told about what they wrote. Each value is written once
// and names its item and a number that grows with each write of the item.
type writes struct {
	// mu guards the fields below.
	mu sync.Mutex
	// acknowledged is the highest number acknowledged, by item.
	acknowledged map[string]int
	// refused are the values of which a caller was told that nothing is kept.
	refused map[string]string
	counts  Counts
	broken  []string
}

// Counts says what callers met.
type Counts struct {
	Acknowledged, NotRun, InDoubt, Reads, ReadsRefused, SessionsBroken int
}

func newWrites() *writes {
	return &writes{acknowledged: make(map[string]int), refused: make(map[string]string)}
}

// breaks records a broken promise.
func (w *writes) breaks(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}

func (w *writes) acknowledgedOf(item string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.acknowledged[item]
}

func (w *writes) count(change func(*Counts)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.counts)
}

// settle records the outcome of a write.
func (w *writes) settle(item, value string, number int, a standin.Answer, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err == nil && a.Code == "":
		w.counts.Acknowledged++
		w.acknowledged[item] = max(w.acknowledged[item], number)
	case err == nil && a.NotRun():
		w.counts.NotRun++
		w.refused[value] = a.Code
	default:
		w.counts.InDoubt++
	}
}

// caller is one caller that writes its own item and reads its own and others'.
type caller struct {
	fleet  *fleet
	writes *writes
	rng    *rand.Rand
	number int
	// next is the number of its next write.
	next int
	ids  int

	session *standin.Caller
	entry   int
	level   string
	// seen is the highest number of its own item that this session must see.
	seen int
}

func (c *caller) item() string { return fmt.Sprintf("item%d", c.number) }

func value(item string, number int) string { return fmt.Sprintf("%s=%d", item, number) }

// numberOf returns the number of a value, 0 of an empty one; ok is false if the value
// is of another item.
func numberOf(item, value string) (number int, ok bool) {
	if value == "" {
		return 0, true
	}
	rest, found := strings.CutPrefix(value, item+"=")
	if !found {
		return 0, false
	}
	_, err := fmt.Sscanf(rest, "%d", &number)
	return number, err == nil
}

// run works until ctx ends. It keeps its session until that breaks or it feels like
// another entry.
func (c *caller) run(ctx context.Context) {
	defer c.drop()
	for ctx.Err() == nil {
		time.Sleep(callerPause)
		if c.session == nil && !c.open() {
			time.Sleep(10 * callerPause)
			continue
		}
		switch k := c.rng.IntN(100); {
		case k < 35:
			c.write()
		case k < 50:
			c.writeInTransaction()
		case k < 75:
			c.readOwn()
		case k < 98:
			c.readOther()
		default:
			c.drop()
		}
	}
}

func (c *caller) open() bool {
	c.entry = c.rng.IntN(entries)
	c.level = []string{"current", "session", "session"}[c.rng.IntN(3)]
	session, err := standin.Open(c.fleet.at(entryNetwork, c.entry, 0), c.level, openTimeout)
	if err != nil {
		return false
	}
	c.session, c.seen = session, 0
	return true
}

func (c *caller) drop() {
	if c.session != nil {
		c.session.Close()
		c.session = nil
	}
}

func (c *caller) query(text string) (standin.Answer, error) {
	c.ids++
	a, err := c.session.Query(fmt.Sprintf("c%d-%d", c.number, c.ids), text, queryTimeout)
	if err != nil {
		c.writes.count(func(n *Counts) { n.SessionsBroken++ })
		c.drop()
	}
	return a, err
}

func (c *caller) write() {
	c.next++
	v := value(c.item(), c.next)
	a, err := c.query("STORE " + c.item() + " " + v)
	c.writes.settle(c.item(), v, c.next, a, err)
	if err == nil && a.Code == "" {
		c.seen = c.next
	}
}

// writeInTransaction writes two items with one value: both or none may be kept.
func (c *caller) writeInTransaction() {
	c.next++
	v := value(c.item(), c.next)
	sent := false
	var a standin.Answer
	var err error
	for _, text := range []string{"BEGIN", "STORE " + c.item() + " " + v, "STORE twin-" + c.item() + " " + v, "COMMIT"} {
		sent = text == "COMMIT"
		a, err = c.query(text)
		if err != nil || a.Code != "" {
			break
		}
	}
	if !sent {
		// Nothing was committed, whatever was said; the session ends the transaction.
		c.writes.settle(c.item(), v, c.next, standin.Answer{Code: "ABORTED"}, nil)
		if err == nil && !a.Idle {
			_, _ = c.query("ROLLBACK")
		}
		return
	}
	c.writes.settle(c.item(), v, c.next, a, err)
	if err == nil && a.Code == "" {
		c.seen = c.next
	}
}

// readOwn reads the caller's own item: its session sees all that it wrote.
func (c *caller) readOwn() {
	floor := c.seen
	if c.level == "current" {
		floor = c.writes.acknowledgedOf(c.item())
	}
	c.read(c.item(), floor)
}

// readOther reads another caller's item. At level current it sees every write that
// was acknowledged before.
func (c *caller) readOther() {
	item := fmt.Sprintf("item%d", c.rng.IntN(callers))
	floor := 0
	if c.level == "current" {
		floor = c.writes.acknowledgedOf(item)
	}
	c.read(item, floor)
}

func (c *caller) read(item string, floor int) {
	level, entry := c.level, c.entry
	a, err := c.query("FETCH " + item)
	if err != nil || a.Code != "" {
		c.writes.count(func(n *Counts) { n.ReadsRefused++ })
		return
	}
	c.writes.count(func(n *Counts) { n.Reads++ })
	number, ok := 0, len(a.Rows) == 1
	if ok {
		number, ok = numberOf(item, a.Rows[0])
	}
	switch {
	case !ok:
		c.writes.breaks("read of %s at level %s through entry %d answered %q", item, level, entry, a.Rows)
	case number < floor:
		c.writes.breaks("read of %s at level %s through entry %d saw write %d, %d was acknowledged before",
			item, level, entry, number, floor)
	}
}

// check compares what was told with the log of the endpoint that leads.
func (w *writes) check(commits []standin.Commit) {
	kept := make(map[string]int)
	latest := make(map[string]int)
	for _, commit := range commits {
		for item, v := range commit.Data {
			name, isTwin := strings.CutPrefix(item, "twin-")
			if isTwin {
				if commit.Data[name] != v {
					w.breaks("commit %d.%d has %q for %s and %q for its twin", commit.Term, commit.Number, commit.Data[name], name, v)
				}
				continue
			}
			if !strings.HasPrefix(item, "item") {
				// A probe of the end of the run.
				continue
			}
			kept[v]++
			number, ok := numberOf(item, v)
			if !ok {
				w.breaks("commit %d.%d has %q for %s", commit.Term, commit.Number, v, item)
			}
			latest[item] = number
		}
	}
	for v, n := range kept {
		if n > 1 {
			w.breaks("%s was committed %d times", v, n)
		}
		if code := w.refused[v]; code != "" {
			w.breaks("%s was committed, its caller was told %s", v, code)
		}
	}
	for item, number := range w.acknowledged {
		if kept[value(item, number)] == 0 {
			w.breaks("%s=%d was acknowledged and is not in the log, which has %d", item, number, latest[item])
		}
	}
}
