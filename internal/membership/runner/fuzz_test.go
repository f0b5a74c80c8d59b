package runner

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hemlockmast/internal/membership"
)

// FuzzPacket checks that no datagram makes the state machine panic, drop or rename
// its own daemon, or send a packet of more than maxPacketBytes.
func FuzzPacket(f *testing.F) {
	self := membership.Member{Name: "a", FailureDomain: "x", Heartbeat: "h:1", Admin: "h:2", Link: "h:3", Incarnation: 5}
	other := self
	other.Name, other.Heartbeat = "b", "i:1"
	namesake := self
	namesake.Incarnation, namesake.Heartbeat = 9, "j:1"
	claim := membership.Claim{SlotID: membership.SlotID{Group: "g", Slot: "s"}, Address: "e:1", Incarnation: "i", Sequence: 1}
	for kind := membership.Gossip; kind <= membership.PingRequest; kind++ {
		data, err := encodePacket(membership.Packet{Kind: kind, Probe: 1, Target: "b", From: other,
			Members: []membership.Aged[membership.Member]{{Record: namesake, Age: time.Hour}},
			Claims:  []membership.Aged[membership.Claim]{{Record: claim}},
			Domains: []membership.DomainAge{{FailureDomain: "y", Age: time.Second}}})
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := decodePacket(data)
		if err != nil {
			return
		}
		now := time.Unix(1000, 0)
		s := membership.New(membership.Config{Self: self, Seeds: []membership.Member{other}, Rand: rand.New(rand.NewPCG(1, 1))})
		s.SetSlots([]membership.SlotID{{Group: "g", Slot: "s"}})
		s.Tick(now)
		for range 30 {
			s.Receive(now, p)
			now = now.Add(membership.TickInterval)
			for _, send := range s.Tick(now).Outgoing {
				data, err := encodePacket(send.Packet)
				assert.NilError(t, err)
				assert.Assert(t, len(data) < maxPacketBytes)
			}
		}
		assert.Equal(t, s.Self().Name, "a")
		assert.Assert(t, len(s.Members()) > 0)
		s.Endpoints()
		s.Problems()
		s.Full(now)
	})
}
