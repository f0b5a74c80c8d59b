package publish

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/urfave/cli/v3"
	"gotest.tools/v3/assert"

	configpb "hemlockmast/api/configstate"
	"hemlockmast/api/confspread"
	spread "hemlockmast/internal/configuration/confspread"
	"hemlockmast/internal/configuration/servicefile"
	"hemlockmast/internal/configuration/spreadstate"
)

// faultError is the error of an injected fault: a lost answer or a lost quorum.
type faultError struct{}

func (faultError) Error() string { return "answer lost" }

// group is a control group of one process that injects faults.
type group struct {
	state *spread.StateMachine
	// lostAnswers is the number of proposals whose answers are still to be lost.
	lostAnswers int
	noQuorum    bool
	usage       *confspread.UsageResponse

	mu    sync.Mutex
	index uint64
}

func (g *group) Propose(_ context.Context, cmd []byte) ([]byte, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.index++
	result := g.state.Apply(g.index, cmd)
	if g.lostAnswers > 0 {
		g.lostAnswers--
		return nil, faultError{}
	}
	return result, nil
}

func (g *group) ReadBarrier(context.Context) error {
	if g.noQuorum {
		return faultError{}
	}
	return nil
}

func (g *group) Usage(context.Context) *confspread.UsageResponse { return g.usage }

var self = spreadstate.Member{Name: "d1", FailureDomain: "fd-a", Addr: "d1", Live: true}

// start serves the group over loopback and returns its address.
func (g *group) start(t *testing.T) string {
	g.state = spread.NewStateMachine()
	control := spread.NewControl(spread.ControlOptions{
		ReplicatedLog: g, State: g.state, Members: spread.StaticMembers{self},
		Usage: g, Now: time.Now, Log: logr.Discard(),
	})
	mux := http.NewServeMux()
	control.Register(mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// startDaemon runs the only daemon that follows the group.
func startDaemon(t *testing.T, control string) {
	d := spread.NewDaemon(spread.Options{
		Self: self, Control: []string{control}, Members: spread.StaticMembers{self},
		Peers: newPeers(), Now: time.Now, Log: logr.Discard(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
}

// run runs one command and returns its output and exit code.
func run(args ...string) (string, int) {
	var out bytes.Buffer
	root := &cli.Command{
		Name: "hemlockctl", Commands: Commands(), Writer: &out, ErrWriter: &out,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	err := root.Run(context.Background(), append([]string{"hemlockctl"}, args...))
	if err == nil {
		return out.String(), 0
	}
	fmt.Fprintln(&out, err)
	var coder cli.ExitCoder
	if errors.As(err, &coder) {
		return out.String(), coder.ExitCode()
	}
	return out.String(), ExitFailure
}

var examples = filepath.Join("..", "..", "..", "examples", "eisgrund")

// copyExamples returns a copy of the examples with the replacements applied and
// without the named folders.
func copyExamples(t *testing.T, replacer *strings.Replacer, missing ...string) string {
	dir := t.TempDir()
	assert.NilError(t, os.CopyFS(dir, os.DirFS(examples)))
	for _, name := range missing {
		assert.NilError(t, os.RemoveAll(filepath.Join(dir, name)))
	}
	files, problems := servicefile.Collect(dir)
	assert.NilError(t, problems.Err())
	for _, file := range files {
		data, err := os.ReadFile(file.Name)
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(file.Name, []byte(replacer.Replace(string(data))), 0o600))
	}
	return dir
}

func noReplacement() *strings.Replacer { return strings.NewReplacer() }

// TestPublishFaults publishes the examples, then a second change under a fault or
// with a problem. It checks the exit code, the output and the revision in force.
func TestPublishFaults(t *testing.T) {
	busy := &confspread.UsageResponse{Known: true,
		Services: []*confspread.ServiceUsage{{Service: "bulletins-east", Callers: 7}},
		Slots:    []*confspread.SlotUsage{{Group: "charts-east", Slot: "s1", Connections: 20}}}
	idle := &confspread.UsageResponse{Known: true}
	lower := strings.NewReplacer(`"connection_limit": 20`, `"connection_limit": 19`)
	cases := []struct {
		name         string
		group        *group
		dir          func(t *testing.T) string
		flags        []string
		code         int
		wantOutput   []string
		wantRevision uint64
	}{
		{"answer lost", &group{lostAnswers: 2}, func(t *testing.T) string {
			return copyExamples(t, strings.NewReplacer(`"1500ms"`, `"1400ms"`))
		}, nil, 0, []string{"deadline", "1.5s -> 1.4s", "published as revision 2"}, 2},
		{"all answers lost", &group{lostAnswers: 1000}, func(t *testing.T) string {
			return copyExamples(t, strings.NewReplacer(`"1500ms"`, `"1400ms"`))
		}, []string{"--timeout", "300ms", "--change-id", "c9", "--base", "1"}, ExitFailure, []string{"outcome unknown", "--change-id c9 --base 1"}, 2},
		{"another was first", &group{}, func(t *testing.T) string { return copyExamples(t, noReplacement()) },
			[]string{"--base", "0"}, ExitConflict, []string{"revision 1 is in force", "first by ann"}, 1},
		{"no quorum", &group{noQuorum: true}, func(t *testing.T) string { return copyExamples(t, noReplacement()) },
			nil, ExitFailure, []string{"no control process", "cannot tell whether it is current"}, 1},
		{"problem in a file", &group{}, func(t *testing.T) string {
			return copyExamples(t, strings.NewReplacer(`"1500ms"`, `1500`))
		}, nil, ExitProblems, []string{"service.hemlock.json:", "service.deadline", "fix: write a text with a unit"}, 1},
		{"service with callers removed", &group{usage: busy}, func(t *testing.T) string {
			return copyExamples(t, noReplacement(), "bulletins-east")
		}, nil, ExitWarnings, []string{"WARNING", "bulletins-east: would be removed; it has 7 callers"}, 1},
		{"service removed, callers not known", &group{}, func(t *testing.T) string {
			return copyExamples(t, noReplacement(), "bulletins-east")
		}, nil, ExitWarnings, []string{"its callers are not known"}, 1},
		{"service removed, warning accepted", &group{usage: busy}, func(t *testing.T) string {
			return copyExamples(t, noReplacement(), "bulletins-east")
		}, []string{"--accept-warnings"}, 0, []string{"WARNING", "published as revision 2"}, 2},
		{"idle service removed", &group{usage: idle}, func(t *testing.T) string {
			return copyExamples(t, noReplacement(), "bulletins-east")
		}, nil, 0, []string{"remove", "published as revision 2"}, 2},
		{"limit below use", &group{usage: busy}, func(t *testing.T) string { return copyExamples(t, lower) },
			nil, ExitWarnings, []string{"charts-east/s1: connection limit would fall from 20 to 19; 20 connections are open"}, 1},
		{"limit above use", &group{usage: idle}, func(t *testing.T) string { return copyExamples(t, lower) },
			nil, 0, []string{"published as revision 2"}, 2},
		{"user removed", &group{usage: busy}, func(t *testing.T) string {
			return copyExamples(t, strings.NewReplacer(`"bulletins_east"
    ],
    "read`, `"other"
    ],
    "read`))
		}, nil, ExitWarnings, []string{`would lose user "bulletins_east"; it has 7 callers`}, 1},
		{"group removed", &group{usage: idle}, func(t *testing.T) string {
			return copyExamples(t, noReplacement(), "charts-east", "bulletins-east", "ice-reports-east", "advisories-east")
		}, nil, ExitWarnings, []string{"charts-east: would be removed with all its slots"}, 1},
		{"not in force everywhere", &group{}, func(t *testing.T) string { return copyExamples(t, noReplacement()) },
			[]string{"--wait", "--timeout", "300ms"}, ExitNotInForce, []string{"d1", "cannot be reached", "never"}, 1},
		{"base missing", &group{}, func(t *testing.T) string { return copyExamples(t, noReplacement()) },
			[]string{"--change-id", "c9"}, ExitProblems, []string{"--base"}, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			lostAnswers, noQuorum := tc.group.lostAnswers, tc.group.noQuorum
			tc.group.lostAnswers, tc.group.noQuorum = 0, false
			addr := tc.group.start(t)
			text, code := run("publish", "--control", addr, "--author", "ann", "--change-id", "first", "--base", "0", examples)
			assert.Equal(t, code, 0, text)
			tc.group.lostAnswers, tc.group.noQuorum = lostAnswers, noQuorum
			args := append([]string{"publish", "--control", addr, "--author", "bob"}, tc.flags...)
			text, code = run(append(args, tc.dir(t))...)
			assert.Equal(t, code, tc.code, text)
			for _, want := range tc.wantOutput {
				assert.Assert(t, strings.Contains(text, want), "%q not in:\n%s", want, text)
			}
			tc.group.noQuorum = false
			shown, code := run("config", "show", "--control", addr)
			assert.Equal(t, code, 0, shown)
			assert.Assert(t, strings.Contains(shown, fmt.Sprintf("revision %d,", tc.wantRevision)), shown)
		})
	}
}

// TestPublishWait checks that publish --wait, status and diff work while one
// control process is unreachable.
func TestPublishWait(t *testing.T) {
	addr := (&group{}).start(t)
	startDaemon(t, addr)
	gone := "127.0.0.1:1," + addr
	text, code := run("publish", "--control", gone, "--wait", "--timeout", "30s", examples)
	assert.Equal(t, code, 0, text)
	assert.Assert(t, strings.Contains(text, "fd-a: 1 of 1 daemons run revision 1"), text)
	text, code = run("status", "--control", gone)
	assert.Equal(t, code, 0, text)
	for _, want := range []string{"127.0.0.1:1", "not reached", "d1", "current"} {
		assert.Assert(t, strings.Contains(text, want), "%q not in:\n%s", want, text)
	}
	text, code = run("status", "--control", gone, "--output", "json")
	assert.Equal(t, code, 0, text)
	assert.Assert(t, strings.Contains(text, `"daemons":[{"name":"d1","revision":1,"state":"current"`), text)
	text, code = run("diff", "--control", gone, examples)
	assert.Equal(t, code, 0, text)
	assert.Assert(t, strings.Contains(text, "no difference"), text)
}

func TestWrongUse(t *testing.T) {
	other := httptest.NewServer(http.NewServeMux())
	t.Cleanup(other.Close)
	cases := map[string][]string{
		"no folder":      {"check"},
		"absent folder":  {"check", "absent"},
		"no control":     {"status"},
		"wrong output":   {"check", "--output", "xml", examples},
		"nobody listens": {"status", "--control", "127.0.0.1:1"},
		"not control":    {"config", "show", "--control", other.Listener.Addr().String()},
	}
	for name, args := range cases {
		t.Run(name, func(t *testing.T) {
			text, code := run(args...)
			assert.Assert(t, code != 0, text)
			assert.Equal(t, strings.Contains(text, "runs no control process"), name == "not control", text)
		})
	}
	text, code := run("check", "--output", "json", examples)
	assert.Equal(t, code, 0)
	assert.Equal(t, text, "{\"groups\":3,\"services\":9}\n")
}

// TestStatusOfSeveralControls merges different reports about the same daemon from
// two control processes. The most recent report must be kept.
func TestStatusOfSeveralControls(t *testing.T) {
	answer := func(revision uint64, ageMs int64) *confspread.StatusResponse {
		return &confspread.StatusResponse{Revision: revision, Change: &configpb.Change{Id: fmt.Sprint(revision)},
			Domains: []*confspread.DomainStatus{{FailureDomain: "fd-a",
				Members: []*confspread.MemberStatus{{Name: "d1", Revision: revision, AgeMs: ageMs, Reachable: ageMs >= 0}}}}}
	}
	cases := []struct {
		name     string
		answers  []*confspread.StatusResponse
		revision uint64
	}{
		{"second never heard", []*confspread.StatusResponse{answer(3, 100), answer(4, -1)}, 3},
		{"first never heard", []*confspread.StatusResponse{answer(4, -1), answer(3, 100)}, 3},
		{"second is older", []*confspread.StatusResponse{answer(4, 100), answer(3, 200)}, 4},
		{"first is older", []*confspread.StatusResponse{answer(3, 200), answer(4, 100)}, 4},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			status, err := mergeStatuses([]string{"a", "b"}, tc.answers, make([]error, 2))
			assert.NilError(t, err)
			assert.Equal(t, status.Revision, uint64(4))
			assert.Equal(t, status.Change.Id, "4")
			assert.Equal(t, len(status.Domains), 1)
			assert.Equal(t, len(status.Domains[0].Members), 1)
			assert.Equal(t, status.Domains[0].Members[0].Revision, tc.revision)
		})
	}
}

func TestInForce(t *testing.T) {
	cases := []struct {
		name   string
		member *confspread.MemberStatus
		want   bool
	}{
		{"runs it", &confspread.MemberStatus{Revision: 4, Reachable: true}, true},
		{"runs a later one", &confspread.MemberStatus{Revision: 5, Reachable: true}, true},
		{"behind", &confspread.MemberStatus{Revision: 3, Reachable: true}, false},
		{"ran it, cannot be reached", &confspread.MemberStatus{Revision: 4}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			status := &Status{Domains: []*confspread.DomainStatus{{Members: []*confspread.MemberStatus{tc.member}}}}
			assert.Equal(t, status.isInForce(4), tc.want)
		})
	}
	assert.Equal(t, (&Status{}).isInForce(4), false, "nobody known")
}
