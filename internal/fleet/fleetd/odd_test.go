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

// beatSample is a valid announcement of an endpoint that does not run.
const beatSample = `{"Backend":"svc","Address":"127.0.3.1:9","Zone":"a","Version":"v1","Slots":3,"State":"ready","ColdRemainingMs":0,"DbRole":"replica","Sequence":1,"born":1}`

// oddBeat is an announcement of another writer: path is the escaped id.
type oddBeat struct{ name, path, body string }

// oddBeats returns announcements that are refused. Some name the address of the primary.
func (f *fleet) oddBeats() []oddBeat {
	n := f.group.Nodes()[0]
	change := func(from, to string) string { return strings.Replace(beatSample, from, to, 1) }
	sameAddress := strings.NewReplacer(`"127.0.3.1:9"`, fmt.Sprintf("%q", n.Address),
		`"born":1`, fmt.Sprintf(`"born":%d`, time.Now().UnixMilli())).Replace(beatSample)
	farAhead := strings.NewReplacer(`"ready"`, `"draining"`, `"Sequence":1`, `"Sequence":1000000000000`).Replace(n.Beat("a", false, 1, f.born))
	unknownService := strings.Replace(sameAddress, `"svc"`, `"nosuch"`, 1)
	return []oddBeat{
		{"id that is not UTF-8", "i-%ff", beatSample},
		{"id with a line break", n.ID + "%0d%0aQUERY%20odd%20STORE%20odd%20odd", sameAddress},
		{"id with a blank", "i%201", beatSample},
		{"service with a line break", "i-1", change(`"svc"`, `"svc\r\nQUERY"`)},
		{"port out of range", "i-1", change("127.0.3.1:9", "127.0.3.1:70000")},
		{"port 0", "i-1", change("127.0.3.1:9", "127.0.3.1:0")},
		{"unspecified address", "i-2", change("127.0.3.1:9", "0.0.0.0:9")},
		{"unspecified IPv6 address", "i-3", change("127.0.3.1:9", "[::]:9")},
		{"multicast address", "i-4", change("127.0.3.1:9", "224.0.0.1:9")},
		{"broadcast address", "i-5", change("127.0.3.1:9", "255.255.255.255:9")},
		{"IPv6 zone", "i-6", change("127.0.3.1:9", "[fe80::1%eth0]:9")},
		{"start of 1e400", "i-1", change(`"born":1`, `"born":1e400`)},
		{"start of 2^63", "i-1", change(`"born":1`, `"born":9223372036854775808`)},
		{"start of 2^63-1", n.ID, change(`"born":1`, `"born":9223372036854775807`)},
		{"negative start", "i-1", change(`"born":1`, `"born":-1`)},
		{"sequence of 2^64", "i-1", change(`"Sequence":1`, `"Sequence":18446744073709551616`)},
		{"sequence of 2^64-1", "i-1", change(`"Sequence":1`, `"Sequence":18446744073709551615`)},
		{"sequence far ahead", n.ID, farAhead},
		{"negative sequence", "i-1", change(`"Sequence":1`, `"Sequence":-1`)},
		{"slots of 2^32-1", "i-1", change(`"Slots":3`, `"Slots":4294967295`)},
		{"no body", "i-1", ""},
		{"null", "i-1", "null"},
		{"body that is not UTF-8", "i-1", change(`"v1"`, "\"\xff\"")},
		{"no zone", "i-1", change(`"Zone":"a",`, "")},
		{"zone of another type", "i-1", change(`"a"`, "[]")},
		{"no slots", "i-1", change(`"Slots":3,`, "")},
		{"no service", "i-1", change(`"Backend":"svc",`, "")},
		{"no address", "i-1", change(`"127.0.3.1:9"`, "null")},
		{"unknown state", "i-1", change(`"ready"`, `"asleep"`)},
		{"version of another type", "i-1", change(`"v1"`, "1")},
		{"cold time of another type", "i-1", change(`"ColdRemainingMs":0`, `"ColdRemainingMs":{}`)},
		{"duplicate field", "i-1", change(`"Sequence":1`, `"Sequence":1,"Sequence":1`)},
		{"duplicate field of another type", "i-1", change(`"Sequence":1`, `"Sequence":"x","Sequence":1`)},
		{"unknown service at an endpoint's address", "i-9", unknownService},
		{"unknown service under an endpoint's id", n.ID, unknownService},
		{"id of 300 bytes", strings.Repeat("i", 300), beatSample},
		{"service of 40,000 bytes", "i-1", change(`"svc"`, `"`+strings.Repeat("s", 40_000)+`"`)},
		{"zone of 40,000 bytes", "i-1", change(`"a"`, `"`+strings.Repeat("z", 40_000)+`"`)},
		{"number of 40,000 digits", "i-1", change(`"Sequence":1`, `"Sequence":`+strings.Repeat("9", 40_000))},
		{"deep nesting", "i-1", change(`"svc"`, strings.Repeat("[", 20000)+strings.Repeat("]", 20000))},
		{"deep nesting elsewhere", "i-1", change(`{`, `{"x":`+strings.Repeat(`{"x":`, 10001)+"1"+strings.Repeat("}", 10001)+",")},
	}
}

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
	for _, odd := range f.oddBeats() {
		for control := range 3 {
			status, text := f.operatorRequest(control, "POST", standin.BeatPath(odd.path), odd.body)
			assert.Check(t, status == http.StatusBadRequest, "%s: %s", odd.name, text)
		}
	}
	status, _ := f.operatorRequest(0, "POST", standin.BeatPath(strings.Repeat("i", 100_000)), beatSample)
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
		body := strings.Replace(beatSample, "127.0.3.1:9", address, 1)
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
