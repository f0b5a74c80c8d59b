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
	// queryTimeout is longer than routeTimeoutMs, so that the entry's answer arrives
	// before the caller gives up.
	queryTimeout = 4 * time.Second
	openTimeout  = 2 * time.Second
	// callerPause is the pause between two operations of a caller.
	callerPause = 5 * time.Millisecond
)

// history records the outcomes that callers received for their writes. Each value is
// written once. It contains the name of its item and a number that grows with each write
// of the item.
type history struct {
	// mu guards the fields below.
	mu sync.Mutex
	// acknowledged maps items to the highest acknowledged number.
	acknowledged map[string]int
	// notRunCodes maps each value that was reported as not run to the error code.
	notRunCodes map[string]string
	// olderReads are reads that saw a lower number than was acknowledged before.
	olderReads []olderRead
	counts     Counts
	violations []string
}

// olderRead is a read that saw a lower number than was acknowledged before. It is right
// only if the write with this number was committed after the acknowledged one, as a write in
// doubt may be that an entry carries out late.
type olderRead struct {
	item          string
	number, floor int
	text          string
}

// Counts holds the number of writes by outcome, of reads, and of broken sessions.
type Counts struct {
	Acknowledged, NotRun, InDoubt, Reads, ReadsRefused, SessionsBroken int
}

func newWriteHistory() *history {
	return &history{acknowledged: make(map[string]int), notRunCodes: make(map[string]string)}
}

// recordViolation records that a guarantee was violated.
func (w *history) recordViolation(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

func (w *history) recordOlderRead(r olderRead) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.olderReads = append(w.olderReads, r)
}

func (w *history) highestAcknowledged(item string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.acknowledged[item]
}

func (w *history) updateCounts(change func(*Counts)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.counts)
}

// recordOutcome counts the outcome of a write and keeps what checkCommits needs.
func (w *history) recordOutcome(item, value string, number int, a standin.Answer, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err == nil && a.Code == "":
		w.counts.Acknowledged++
		w.acknowledged[item] = max(w.acknowledged[item], number)
	case err == nil && a.NotRun():
		w.counts.NotRun++
		w.notRunCodes[value] = a.Code
	default:
		w.counts.InDoubt++
	}
}

// caller writes its own item, and reads its own and other callers' items.
type caller struct {
	fleet   *fleet
	history *history
	rng     *rand.Rand
	number  int
	// service is the caller's service. It reads items of callers of the same service.
	service int
	// lastWrite is the number of the newest write.
	lastWrite int
	lastQuery int

	session *standin.Caller
	entry   int
	level   string
	// sessionFloor is the lowest number of the caller's own item that a read in this
	// session may return.
	sessionFloor int
}

func itemName(caller int) string { return fmt.Sprintf("item%d", caller) }

func (c *caller) item() string { return itemName(c.number) }

func itemValue(item string, number int) string { return fmt.Sprintf("%s=%d", item, number) }

// numberOf returns the number in a value, or 0 for an empty value. ok is false if the
// value belongs to another item.
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

// run executes random operations until ctx ends. It keeps its session until the session
// breaks or, in 2 % of the operations, closes it to open one at a random entry.
func (c *caller) run(ctx context.Context) {
	defer c.closeSession()
	for ctx.Err() == nil {
		time.Sleep(callerPause)
		if c.session == nil && !c.openSession() {
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
			c.closeSession()
		}
	}
}

func (c *caller) openSession() bool {
	c.entry = c.rng.IntN(c.fleet.entries)
	c.level = []string{"current", "session", "session"}[c.rng.IntN(3)]
	session, err := standin.Open(c.fleet.address(entryNetwork, c.entry, 0), standin.Database(serviceName(c.service), c.level), openTimeout)
	if err != nil {
		return false
	}
	c.session, c.sessionFloor = session, 0
	return true
}

func (c *caller) closeSession() {
	if c.session != nil {
		c.session.Close()
		c.session = nil
	}
}

func (c *caller) query(text string) (standin.Answer, error) {
	c.lastQuery++
	id := fmt.Sprintf("c%d-%d", c.number, c.lastQuery)
	a, err := c.session.Query(id, text, queryTimeout)
	if err != nil {
		c.checkCut(id, text, err)
		c.history.updateCounts(func(n *Counts) { n.SessionsBroken++ })
		c.closeSession()
	}
	return a, err
}

func (c *caller) write() {
	c.lastWrite++
	v := itemValue(c.item(), c.lastWrite)
	a, err := c.query("STORE " + c.item() + " " + v)
	c.history.recordOutcome(c.item(), v, c.lastWrite, a, err)
	if err == nil && a.Code == "" {
		c.sessionFloor = c.lastWrite
	}
}

// writeInTransaction writes two items with the same value in one transaction. Either both
// writes or none may be kept.
func (c *caller) writeInTransaction() {
	c.lastWrite++
	v := itemValue(c.item(), c.lastWrite)
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
		// COMMIT was not sent, so nothing may be committed whatever the answers were.
		c.history.recordOutcome(c.item(), v, c.lastWrite, standin.Answer{Code: "ABORTED"}, nil)
		if err == nil && !a.Idle {
			_, _ = c.query("ROLLBACK")
		}
		return
	}
	c.history.recordOutcome(c.item(), v, c.lastWrite, a, err)
	if err == nil && a.Code == "" {
		c.sessionFloor = c.lastWrite
	}
}

// readOwn reads the caller's own item. The read must see the acknowledged writes of the
// session; at level current, all acknowledged writes of the item.
func (c *caller) readOwn() {
	floor := c.sessionFloor
	if c.level == "current" {
		floor = c.history.highestAcknowledged(c.item())
	}
	c.read(c.item(), floor)
}

// readOther reads a random item. At level current the read must see every write that was
// acknowledged before.
func (c *caller) readOther() {
	services := c.fleet.services
	item := itemName(c.service + services*c.rng.IntN(c.fleet.callers/services))
	floor := 0
	if c.level == "current" {
		floor = c.history.highestAcknowledged(item)
	}
	c.read(item, floor)
}

func (c *caller) read(item string, floor int) {
	level, entry := c.level, c.entry
	a, err := c.query("FETCH " + item)
	if err != nil || a.Code != "" {
		c.history.updateCounts(func(n *Counts) { n.ReadsRefused++ })
		return
	}
	c.history.updateCounts(func(n *Counts) { n.Reads++ })
	number, ok := 0, len(a.Rows) == 1
	if ok {
		number, ok = numberOf(item, a.Rows[0])
	}
	switch {
	case !ok:
		c.history.recordViolation("read of %s at level %s through entry %d answered %q", item, level, entry, a.Rows)
	case number < floor:
		c.history.recordOlderRead(olderRead{item, number, floor, fmt.Sprintf(
			"read of %s at level %s through entry %d saw write %d, %d was acknowledged before", item, level, entry, number, floor)})
	}
}

// checkPromotions records a violation for each promotion that lost acknowledged commits.
func (w *history) checkPromotions(promotions []standin.Promotion) {
	for _, p := range promotions {
		if len(p.Missing) > 0 {
			c := p.Missing[0]
			w.recordViolation("promote of %s to term %d, called by %s with token %d, lost %d acknowledged commits; first %d.%d %v, held by %v",
				p.Endpoint, p.Term, p.Holder, p.Token, len(p.Missing), c.Term, c.Number, c.Data, p.HeldBy)
		}
	}
}

// checkCommits compares the recorded outcomes for the items of a service with its
// primary's log. ownItem reports whether an item is of the service.
func (w *history) checkCommits(commits []standin.Commit, ownItem func(item string) bool) {
	kept := make(map[string]int)
	latest := make(map[string]int)
	// places maps values to one more than their index in the log.
	places := make(map[string]int)
	for i, commit := range commits {
		for item, v := range commit.Data {
			name, isTwin := strings.CutPrefix(item, "twin-")
			if isTwin {
				if commit.Data[name] != v {
					w.recordViolation("commit %d.%d has %q for %s and %q for its twin", commit.Term, commit.Number, commit.Data[name], name, v)
				}
				continue
			}
			if !strings.HasPrefix(item, "item") {
				// Written by operator.probe at the end of the run.
				continue
			}
			kept[v]++
			places[v] = i + 1
			number, ok := numberOf(item, v)
			if !ok {
				w.recordViolation("commit %d.%d has %q for %s", commit.Term, commit.Number, v, item)
			}
			latest[item] = number
		}
	}
	for _, r := range w.olderReads {
		if ownItem(r.item) && places[itemValue(r.item, r.number)] <= places[itemValue(r.item, r.floor)] {
			w.recordViolation("%s", r.text)
		}
	}
	for v, n := range kept {
		if n > 1 {
			w.recordViolation("%s was committed %d times", v, n)
		}
		if code := w.notRunCodes[v]; code != "" {
			w.recordViolation("%s was committed, its caller was told %s", v, code)
		}
	}
	for item, number := range w.acknowledged {
		if ownItem(item) && kept[itemValue(item, number)] == 0 {
			w.recordViolation("%s=%d was acknowledged and is not in the log, which has %d", item, number, latest[item])
		}
	}
}
