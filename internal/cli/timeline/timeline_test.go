package timeline

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/urfave/cli/v3"
	"gotest.tools/v3/assert"

	timelinepb "hemlockmast/api/timeline"
	"hemlockmast/internal/shared/timeline"
	"hemlockmast/internal/shared/timeline/timelinerpc"
)

func serve(t testing.TB, journal *timeline.Journal) string {
	mux := http.NewServeMux()
	mux.Handle(timelinerpc.PathPrefix, timelinerpc.Handler(journal))
	s := httptest.NewServer(timelinerpc.Stamped(journal, mux))
	t.Cleanup(s.Close)
	return s.URL
}

func execute(t testing.TB, args ...string) (string, error) {
	var out bytes.Buffer
	root := &cli.Command{Name: "hemlockctl", Writer: &out, ErrWriter: &out, Commands: []*cli.Command{Command()}}
	err := root.Run(context.Background(), append([]string{"hemlockctl", "timeline"}, args...))
	return out.String(), err
}

func TestMissingDaemonsAreNamed(t *testing.T) {
	a := timeline.NewJournal("fd1-vm1", 5000, time.Now)
	b := timeline.NewJournal("fd2-vm1", 2, time.Now)
	for range 2500 {
		a.Record(&timelinepb.Event{Kind: timelinepb.Kind_KIND_CONNECTION_RETIRED, Group: "north"})
	}
	for range 3 {
		b.Record(&timelinepb.Event{Kind: timelinepb.Kind_KIND_PRIMARY_SUSPECTED, Group: "south", Slot: "a"})
	}
	urlA, urlB := serve(t, a), serve(t, b)
	gone := httptest.NewServer(nil)
	gone.Close()

	out, err := execute(t, "--daemon", urlA, "--daemon", urlB, "--daemon", gone.URL)
	var partial *PartialError
	assert.Assert(t, errors.As(err, &partial))
	assert.DeepEqual(t, partial.Daemons, []string{gone.URL})
	assert.Assert(t, strings.Contains(out, "MISSING  "+gone.URL))
	assert.Assert(t, strings.Contains(out, "CUT      "+urlB+": its oldest 1 events"))
	assert.Equal(t, strings.Count(out, "connection retired"), 2500)

	out, err = execute(t, "--daemon", strings.TrimPrefix(urlB, "http://"), "--daemon", urlA, "--group", "south", "--output", "json")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(out, `"failovers"`))
	assert.Assert(t, !strings.Contains(out, "north"))
	out, err = execute(t, "--daemon", urlA, "--from", "2030-01-01T00:00:00Z")
	assert.NilError(t, err)
	assert.Equal(t, out, "no events\n")
}

func TestBadFlags(t *testing.T) {
	_, err := execute(t, "--daemon", "x", "--from", "yesterday")
	var period *PeriodError
	assert.Assert(t, errors.As(err, &period))
	_, err = execute(t, "--daemon", "x", "--output", "xml")
	var output *OutputError
	assert.Assert(t, errors.As(err, &output))
}

// TestStampsTravelWithCalls checks causal order across clocks that differ. After a
// call to a daemon whose clock is ahead, local events must sort after that
// daemon's earlier events.
func TestStampsTravelWithCalls(t *testing.T) {
	ahead := timeline.NewJournal("ahead", 10, func() time.Time { return time.Now().Add(30 * time.Second) })
	local := timeline.NewJournal("local", 10, time.Now)
	ahead.Record(&timelinepb.Event{Detail: "first"})
	client := &http.Client{Transport: &timelinerpc.Transport{Journal: local, Base: http.DefaultTransport}}
	timelinerpc.Collect(context.Background(), client, []string{serve(t, ahead)}, nil)
	local.Record(&timelinepb.Event{Detail: "second"})
	merged := timeline.Merge(local.After(0, nil, 0).Events, ahead.After(0, nil, 0).Events)
	assert.Equal(t, merged[0].Detail, "first")
}
