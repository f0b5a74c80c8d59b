package standin

import (
	"context"
	"strconv"
	"strings"
	"time"

	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/endpointside/endpoint/wire"
	"hemlockmast/internal/testing/standin/exec"
	"hemlockmast/internal/testing/standin/sqltext"
	"hemlockmast/internal/testing/standin/store"
)

// verbFault is the command that injects a fault. It is not part of the contract.
const verbFault = "FAULT"

func fencedDetail(e *endpoint.FencedError) string { return wire.EncodeFenced(e) }

// runHemlock runs one HEMLOCK command. Its words are the verb and the arguments.
func (s *session) runHemlock(ctx context.Context, words []string) (*exec.Result, error) {
	verb, args := words[0], words[1:]
	switch verb {
	case wire.VerbHolders:
		return s.holdersResult(), nil
	case wire.VerbActive:
		return s.activeResult(args)
	case verbFault:
		if err := s.e.injectFault(args); err != nil {
			return nil, err
		}
		return s.statusResult(), nil
	}
	if err := s.contractCommand(ctx, verb, args); err != nil {
		return nil, contractError(err)
	}
	return s.statusResult(), nil
}

// contractError turns a malformed command into a syntax error.
func contractError(err error) error {
	if e, ok := err.(*wire.MalformedError); ok {
		return &sqltext.Error{Code: sqltext.CodeSyntax, Message: e.Error()}
	}
	return err
}

// contractCommand runs the commands whose result is the endpoint's status.
func (s *session) contractCommand(ctx context.Context, verb string, args []string) error {
	n := s.e.currentNode()
	switch verb {
	case wire.VerbStatus:
		return nil
	case wire.VerbWait:
		seen, timeout, err := wire.DecodeWait(args)
		if err != nil {
			return err
		}
		return s.e.waitStatus(ctx, seen, timeout)
	}
	term, word, err := wire.DecodeTerm(args)
	if err != nil {
		return err
	}
	switch verb {
	case wire.VerbFence:
		return n.Fence(term, word)
	case wire.VerbPromote:
		return n.Promote(term, word)
	case wire.VerbFollow:
		return n.Follow(term, word)
	}
	return &wire.MalformedError{What: "command", Text: verb}
}

func (s *session) statusResult() *exec.Result {
	return textRows(wire.Columns, [][]string{wire.EncodeStatus(s.e.Status())})
}

func (s *session) holdersResult() *exec.Result {
	var rows [][]string
	for _, h := range s.e.holders() {
		rows = append(rows, []string{h.holder, strconv.Itoa(h.conns)})
	}
	return textRows(wire.HolderColumns, rows)
}

// activeResult reports whether the connection with a process id runs a statement.
func (s *session) activeResult(args []string) (*exec.Result, error) {
	if len(args) != 1 {
		return nil, contractError(&wire.MalformedError{What: "command", Text: wire.VerbActive})
	}
	pid, err := strconv.ParseUint(args[0], 10, 32)
	if err != nil {
		return nil, contractError(&wire.MalformedError{What: "process id", Text: args[0]})
	}
	value := "f"
	if s.e.isActive(uint32(pid)) {
		value = "t"
	}
	return textRows(wire.ActiveColumns, [][]string{{value}}), nil
}

// isActive reports whether the session with process id pid runs a statement.
func (e *Endpoint) isActive(pid uint32) bool {
	e.mu.Lock()
	s := e.sessions[pid]
	e.mu.Unlock()
	if s == nil {
		return false
	}
	s.stmtMu.Lock()
	defer s.stmtMu.Unlock()
	return s.cancelStmt != nil
}

func textRows(names []string, values [][]string) *exec.Result {
	var cols []exec.Col
	for _, n := range names {
		cols = append(cols, exec.Col{Name: n, Type: sqltext.Text})
	}
	var rows []store.Row
	for _, vs := range values {
		var row store.Row
		for _, v := range vs {
			row = append(row, store.Value{Text: v})
		}
		rows = append(rows, row)
	}
	return exec.Rows(cols, rows, "HEMLOCK")
}

// waitStatus returns when the status differs from seen, or after timeout.
func (e *Endpoint) waitStatus(ctx context.Context, seen endpoint.Status, timeout time.Duration) error {
	t := time.NewTimer(timeout)
	defer t.Stop()
	for {
		st, changed := e.status()
		if st.Synced != seen.Synced || st.Applied != seen.Applied ||
			st.Role != seen.Role || st.FencedTerm != seen.FencedTerm {
			return nil
		}
		select {
		case <-changed:
		case <-t.C:
			return nil
		case <-ctx.Done():
			return exec.Canceled()
		}
	}
}

// maxFaultMillis is the largest number, usually a duration in milliseconds, that
// a FAULT command accepts. A larger number counts as 0.
const maxFaultMillis = 3_600_000

// injectFault runs HEMLOCK FAULT. The first word names the fault, the others are
// its arguments.
func (e *Endpoint) injectFault(words []string) error {
	if len(words) == 0 {
		return unknownFaultError("")
	}
	args := words[1:]
	nums := make([]int, len(args))
	for i, a := range args {
		if n, err := strconv.Atoi(a); err == nil && n >= 0 && n <= maxFaultMillis {
			nums[i] = n
		}
	}
	millis := func(i int) time.Duration { return time.Duration(nums[i]) * time.Millisecond }
	switch name := strings.ToLower(words[0]); {
	case name == "kill" && len(args) == 0:
		e.afterAnswer(e.killByCommand)
	case name == "restart" && len(args) == 0:
		e.afterAnswer(func() { e.Kill(); e.Restart() })
	case name == "empty" && len(args) == 0:
		e.afterAnswer(func() { e.Kill(); e.RestartEmpty() })
	case name == "freeze" && len(args) == 1:
		e.Freeze()
		time.AfterFunc(millis(0), e.Thaw)
	case name == "silence" && len(args) == 0:
		e.SilenceConnections()
	case name == "heal" && len(args) == 0:
		e.Heal()
	case name == "late" && len(args) == 1:
		e.DelayAnswers(millis(0))
	case name == "cross" && len(args) == 1:
		e.DuplicateAnswers(nums[0])
	case name == "lag" && len(args) == 2:
		e.SetLag(millis(0), millis(1))
	case name == "pause" && len(args) == 2:
		e.PauseReplication(args[0] == "on")
		e.PauseApply(args[1] == "on")
	case name == "cut" && len(args) == 2:
		return e.cutByName(args[0], args[1])
	default:
		return unknownFaultError(strings.Join(words, " "))
	}
	return nil
}

func (e *Endpoint) cutByName(peer, dir string) error {
	dirs := map[string]Direction{"both": Both, "in": In, "out": Out}
	d, ok := dirs[strings.ToLower(dir)]
	if !ok {
		return unknownFaultError("cut " + dir)
	}
	e.afterAnswer(func() { e.Cut(peer, d) })
	return nil
}

func unknownFaultError(text string) error {
	return &sqltext.Error{Code: sqltext.CodeSyntax, Message: "unknown fault " + strconv.Quote(text)}
}

// faultDelay is the delay before a fault that closes connections, so that the
// answer to the FAULT command is sent first.
const faultDelay = 50 * time.Millisecond

func (e *Endpoint) afterAnswer(f func()) { time.AfterFunc(faultDelay, f) }

// killByCommand runs HEMLOCK FAULT KILL.
func (e *Endpoint) killByCommand() {
	if e.cfg.OnKill != nil {
		e.cfg.OnKill()
		return
	}
	e.Kill()
}
