package runner

import (
	"time"

	"google.golang.org/protobuf/proto"

	pb "hemlockmast/api/membership"
	"hemlockmast/internal/membership"
)

// DecodeError reports bytes that are no message of this package.
type DecodeError struct{ Err error }

func (e *DecodeError) Error() string { return "membership message: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

func encodePacket(p membership.Packet) ([]byte, error) {
	out := &pb.Packet{
		Kind: pb.Kind(p.Kind), Probe: p.Probe, Target: p.Target,
		From:    toMember(membership.Aged[membership.Member]{Record: p.From}),
		Members: toMembers(p.Members), Claims: toClaims(p.Claims),
	}
	for _, d := range p.Domains {
		out.Domains = append(out.Domains, &pb.DomainAge{FailureDomain: d.FailureDomain, AgeMs: toMillis(d.Age)})
	}
	return proto.Marshal(out)
}

func decodePacket(data []byte) (membership.Packet, error) {
	in := &pb.Packet{}
	if err := proto.Unmarshal(data, in); err != nil {
		return membership.Packet{}, &DecodeError{Err: err}
	}
	p := membership.Packet{
		Kind: membership.Kind(in.Kind), Probe: in.Probe, Target: in.Target,
		From: fromMember(in.From).Record, Members: fromMembers(in.Members), Claims: fromClaims(in.Claims),
	}
	for _, d := range in.Domains {
		p.Domains = append(p.Domains, membership.DomainAge{FailureDomain: d.FailureDomain, Age: fromMillis(d.AgeMs)})
	}
	return p, nil
}

func encodeTable(t membership.Table) ([]byte, error) {
	return proto.Marshal(&pb.Exchange{
		Digest: t.Digest, Full: t.Full,
		From:    toMember(membership.Aged[membership.Member]{Record: t.From}),
		Members: toMembers(t.Members), Claims: toClaims(t.Claims),
	})
}

func decodeTable(data []byte) (membership.Table, error) {
	in := &pb.Exchange{}
	if err := proto.Unmarshal(data, in); err != nil {
		return membership.Table{}, &DecodeError{Err: err}
	}
	return membership.Table{
		Digest: in.Digest, Full: in.Full, From: fromMember(in.From).Record,
		Members: fromMembers(in.Members), Claims: fromClaims(in.Claims),
	}, nil
}

func toMember(a membership.Aged[membership.Member]) *pb.Member {
	m := a.Record
	return &pb.Member{
		Name: m.Name, FailureDomain: m.FailureDomain, Heartbeat: m.Heartbeat, Admin: m.Admin, Link: m.Link,
		Roles: m.Roles, Incarnation: m.Incarnation, Version: m.Version, Status: pb.Status(m.Status), AgeMs: toMillis(a.Age),
	}
}

func toMembers(ms []membership.Aged[membership.Member]) []*pb.Member {
	var out []*pb.Member
	for _, m := range ms {
		out = append(out, toMember(m))
	}
	return out
}

// unknownStatus is refused by the state machine.
const unknownStatus = membership.Left + 1

func fromMember(m *pb.Member) membership.Aged[membership.Member] {
	status := unknownStatus
	if s := m.GetStatus(); s >= 0 && s <= pb.Status_STATUS_LEFT {
		status = membership.Status(s)
	}
	return membership.Aged[membership.Member]{
		Record: membership.Member{
			Name: m.GetName(), FailureDomain: m.GetFailureDomain(), Heartbeat: m.GetHeartbeat(), Admin: m.GetAdmin(),
			Link: m.GetLink(), Roles: m.GetRoles(), Incarnation: m.GetIncarnation(), Version: m.GetVersion(), Status: status,
		},
		Age: fromMillis(m.GetAgeMs()),
	}
}

func fromMembers(ms []*pb.Member) []membership.Aged[membership.Member] {
	var out []membership.Aged[membership.Member]
	for _, m := range ms {
		out = append(out, fromMember(m))
	}
	return out
}

func toClaims(cs []membership.Aged[membership.Claim]) []*pb.Claim {
	var out []*pb.Claim
	for _, a := range cs {
		c := a.Record
		out = append(out, &pb.Claim{
			Group: c.Group, Slot: c.Slot, Address: c.Address, Incarnation: c.Incarnation, Started: c.Started,
			Sequence: c.Sequence, Leaving: c.Leaving, Lapsed: c.Lapsed, AgeMs: toMillis(a.Age),
		})
	}
	return out
}

func fromClaims(cs []*pb.Claim) []membership.Aged[membership.Claim] {
	var out []membership.Aged[membership.Claim]
	for _, c := range cs {
		out = append(out, membership.Aged[membership.Claim]{
			Record: membership.Claim{
				SlotID:  membership.SlotID{Group: c.GetGroup(), Slot: c.GetSlot()},
				Address: c.GetAddress(), Incarnation: c.GetIncarnation(), Started: c.GetStarted(),
				Sequence: c.GetSequence(), Leaving: c.GetLeaving(), Lapsed: c.GetLapsed(),
			},
			Age: fromMillis(c.GetAgeMs()),
		})
	}
	return out
}

// maxAge bounds ages, so that no conversion overflows.
const maxAge = 365 * 24 * time.Hour

func toMillis(d time.Duration) uint64 { return uint64(min(max(d, 0), maxAge).Milliseconds()) }

func fromMillis(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(maxAge.Milliseconds()))) * time.Millisecond
}
