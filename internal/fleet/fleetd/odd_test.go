package fleetd

import (
	"bufio"
	"fmt"
	"math"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/fleet/fleetrpc"
	"hemlockmast/platform/standin"
)

// TestOddAnnouncementsStopNoFollower guards against an odd announcement after which entries
// and control daemons no longer follow each other, or an endpoint is no longer used.
func TestOddAnnouncementsStopNoFollower(t *testing.T) {
	f := newFleet(t, 3, 2)
	f.publish(standin.Configuration(5, 800))
	for entry := range 2 {
		f.querySucceeds(entry, "STORE item v")
	}
	for control := range 3 {
		ok := standin.WaitFor(5*time.Second, func() bool {
			status, _ := f.operatorRequest(control, "GET", standin.ReadPath, "")
			return status == http.StatusOK && f.knowsPrimary(control)
		})
		assert.Assert(t, ok, "control %d has no configuration, or does not know the primary", control)
	}
	for _, odd := range standin.OddBeats(f.group.Nodes()[0], f.born) {
		for control := range 3 {
			status, text := f.operatorRequest(control, "POST", standin.BeatPath(odd.Path), odd.Body)
			assert.Check(t, status == http.StatusBadRequest, "%s: %s", odd.Name, text)
		}
	}
	status, _ := f.operatorRequest(0, "POST", standin.BeatPath(strings.Repeat("i", 100_000)), standin.BeatSample)
	assert.Equal(t, status, http.StatusRequestHeaderFieldsTooLarge)
	text := f.metrics(f.daemons["control-0"].settings.Internal)
	for _, reason := range []string{"format", "content"} {
		assert.Assert(t, strings.Contains(text, `announcements_refused_total{reason="`+reason+`"}`), text)
	}
	f.publish(standin.Levels(6, 800, 1500, 40, "svc"))
	for entry := range 2 {
		ok := standin.WaitFor(5*time.Second, func() bool {
			return f.serves(entry, "current", "STORE item v") && f.serves(entry, "bounded", "FETCH item")
		})
		assert.Assert(t, ok, "entry %d does not follow", entry)
	}
	f.group.Nodes()[0].Set(standin.Faults{Down: true})
	for entry := range 2 {
		ok := standin.WaitFor(5*time.Second, func() bool { return f.serves(entry, "current", "STORE item w") })
		assert.Assert(t, ok, "primary was not replaced")
	}
	for _, c := range f.group.Commits() {
		assert.Assert(t, c.Data["odd"] == "", "a part of an id ran as a statement")
	}
}

// TestUnreachableEntryLeavesOthersInUse announces replicas at addresses that no endpoint has: an
// IPv6 literal, a port where nobody listens, and a server that speaks another protocol.
func TestUnreachableEntryLeavesOthersInUse(t *testing.T) {
	f := newFleet(t, 3, 2)
	f.publish(standin.Levels(5, 800, 1500, 40, "svc"))
	for i, address := range []string{"[2001:db8::1]:9", "[::1]:9", "127.0.3.1:9", fmt.Sprintf("127.0.1.1:%d", f.port+1)} {
		body := strings.Replace(standin.BeatSample, "127.0.3.1:9", address, 1)
		ok := standin.WaitFor(5*time.Second, func() bool {
			status, _ := f.operatorRequest(0, "POST", standin.BeatPath(fmt.Sprintf("odd-%d", i)), body)
			return status == http.StatusOK
		})
		assert.Assert(t, ok, address)
	}
	for entry := range 2 {
		f.querySucceedsAt(entry, "current", "STORE item v")
		for range 20 {
			for _, level := range []string{"current", "session", "bounded"} {
				assert.Assert(t, f.serves(entry, level, "FETCH item"), "entry %d, %s", entry, level)
			}
			assert.Assert(t, f.serves(entry, "current", "STORE item w"), "entry %d", entry)
		}
	}
}

// querySucceedsAt repeats a statement until it succeeds.
func (f *fleet) querySucceedsAt(entry int, level, text string) {
	f.t.Helper()
	ok := standin.WaitFor(5*time.Second, func() bool { return f.serves(entry, level, text) })
	assert.Assert(f.t, ok, "entry %d, %s", entry, level)
}

// serves reports whether an entry serves the service svc at a read level.
func (f *fleet) serves(entry int, level, text string) bool {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("127.0.2.%d:%d", entry+1, f.port), time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	_, _ = fmt.Fprintf(conn, "CONNECT %s me\r\nQUERY q%d %s\r\n", standin.Database("svc", level), time.Now().UnixNano(), text)
	r := bufio.NewReader(conn)
	hello, _ := r.ReadString('\n')
	answer, _ := r.ReadString('\n')
	return strings.HasPrefix(hello, "READY") && (strings.HasPrefix(answer, "COMPLETE") || strings.HasPrefix(answer, "ROW"))
}

// TestOddRecordsInTheLogAreReadBack guards against records of another version in the agreed log
// with which a daemon does not start again, or which hide or block the endpoints in use.
func TestOddRecordsInTheLogAreReadBack(t *testing.T) {
	f := newFleet(t, 3, 2)
	f.publish(standin.Levels(5, 800, 1500, 40, "svc"))
	f.querySucceedsAt(0, "current", "STORE item v")
	primary := f.group.Nodes()[0]
	odd := &fleetpb.Endpoint{Id: "odd", Service: "svc", Address: "127.0.3.1:0", State: fleetpb.EndpointState_ENDPOINT_STATE_READY, BornMs: 1, Sequence: 1}
	ended := &fleetpb.Endpoint{Id: primary.ID, Service: "svc", Address: primary.Address, State: 77, BornMs: math.MaxInt64, Sequence: 1}
	// The string of field 1 is not UTF-8.
	records := [][]byte{{0x22, 0x03, 0x0a, 0x01, 0xff}}
	for _, e := range []*fleetpb.Endpoint{odd, ended} {
		data, err := proto.Marshal(&fleetpb.Command{Kind: &fleetpb.Command_Announce{Announce: e}})
		assert.NilError(t, err)
		records = append(records, data)
	}
	for _, record := range records {
		ok := standin.WaitFor(5*time.Second, func() bool { return f.propose(record) })
		assert.Assert(t, ok, "%q", record)
	}
	for i := range 3 {
		f.start(f.stop(fmt.Sprintf("control-%d", i)))
	}
	f.publish(standin.Levels(6, 900, 1500, 40, "svc"))
	for entry := range 2 {
		f.querySucceedsAt(entry, "current", "STORE item w")
	}
	primary.Set(standin.Faults{Down: true})
	for entry := range 2 {
		f.querySucceedsAt(entry, "current", "STORE item x")
	}
}

// knowsPrimary reports whether a control daemon knows the endpoint that leads, and so answers
// with its position.
func (f *fleet) knowsPrimary(control int) bool {
	address := f.daemons[fmt.Sprintf("control-%d", control)].settings.Internal
	client := fleetrpc.NewClient(fleetrpc.NewHTTPClient(), address)
	_, err := client.Position(f.t.Context(), &fleetpb.PositionRequest{EndpointId: f.group.Primary().ID})
	return err == nil
}

// propose has the control group append a command to its log, through whichever daemon leads.
func (f *fleet) propose(command []byte) bool {
	for i := range 3 {
		address := f.daemons[fmt.Sprintf("control-%d", i)].settings.Internal
		client := fleetrpc.NewClient(fleetrpc.NewHTTPClient(), address)
		if _, err := client.Propose(f.t.Context(), &fleetpb.ProposeRequest{Command: command}); err == nil {
			return true
		}
	}
	return false
}
