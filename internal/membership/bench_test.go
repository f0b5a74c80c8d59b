package membership

import (
	"fmt"
	"testing"
	"time"
)

// warmUp is the virtual time before the measurement, in which the changes of the
// start spread.
const warmUp = 3 * time.Minute

// measuredTime is the refresh interval of claims, so that each claim is refreshed
// once.
const measuredTime = refreshInterval

// BenchmarkTraffic measures the steady-state cost per daemon without faults:
// packets and bytes sent and processor time, by number of daemons and endpoints.
func BenchmarkTraffic(b *testing.B) {
	for _, size := range []struct{ domains, perDomain, endpoints int }{{4, 2, 9}, {4, 9, 50}, {12, 10, 160}, {12, 33, 530}, {12, 100, 1600}} {
		daemons := size.domains * size.perDomain
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			var names []string
			for i := range size.domains {
				names = append(names, string(rune('a'+i)))
			}
			s := newSimOf(b, names, size.perDomain, 7)
			eps := s.addEndpoints(size.endpoints)
			s.announceFor(warmUp, eps...)
			for b.Loop() {
				s.sent, s.bytes = 0, 0
				s.announceFor(measuredTime, eps...)
			}
			seconds := float64(daemons) * measuredTime.Seconds()
			b.ReportMetric(float64(s.sent)/seconds, "packets/daemon-s")
			b.ReportMetric(float64(s.bytes)/seconds, "bytes/daemon-s")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/seconds, "cpu-us/daemon-s")
			if s.nodes[s.names[0]].usableCount() != daemons || len(s.nodes[s.names[0]].Endpoints()) != size.endpoints {
				b.Fatalf("%d daemons, %d endpoints known", s.nodes[s.names[0]].usableCount(), len(s.nodes[s.names[0]].Endpoints()))
			}
		})
	}
}

// addEndpoints returns count endpoints, each of a slot of its own and announcing
// itself to two daemons, and configures their slots at every daemon.
func (s *sim) addEndpoints(count int) []*simEndpoint {
	var ids []SlotID
	var out []*simEndpoint
	for i := range count {
		slot := fmt.Sprintf("s%d", i)
		ids = append(ids, SlotID{"g", slot})
		e := newEndpoint(slot, fmt.Sprintf("10.0.%d.%d:5432", i/256, i%256), fmt.Sprintf("%016x", i), 100)
		e.to = []string{s.nodes[s.names[i%len(s.names)]].Self().Name, s.nodes[s.names[(i+1)%len(s.names)]].Self().Name}
		out = append(out, e)
	}
	for _, n := range s.nodes {
		n.SetSlots(ids)
	}
	return out
}
