package runner

import (
	"time"

	"google.golang.org/protobuf/proto"

	pb "hemlockmast/api/membership"
	"hemlockmast/internal/membership"
)

// DecodeError reports a membership message that cannot be decoded or encoded.
type DecodeError struct{ Err error }

func (e *DecodeError) Error() string { return "membership message: " + e.Err.Error() }

// Unwrap returns the protobuf error.
func (e *DecodeError) Unwrap() error { return e.Err }

func encodePacket(p membership.Packet) ([]byte, error) {
	out := &pb.Packet{
		Kind: pb.Kind(p.Kind), Probe: p.Probe, Target: p.Target,
		From:    memberToProto(membership.Aged[membership.Member]{Record: p.From}),
		Members: membersToProto(p.Members), Claims: claimsToProto(p.Claims),
	}
	for _, d := range p.Domains {
		out.Domains = append(out.Domains, &pb.DomainAge{FailureDomain: d.FailureDomain, AgeMs: millisFromDuration(d.Age)})
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
		From: memberFromProto(in.From).Record, Members: membersFromProto(in.Members), Claims: claimsFromProto(in.Claims),
	}
	for _, d := range in.Domains {
		p.Domains = append(p.Domains, membership.DomainAge{FailureDomain: d.FailureDomain, Age: durationFromMillis(d.AgeMs)})
	}
	return p, nil
}

func encodeTable(t membership.Table) ([]byte, error) {
	return proto.Marshal(&pb.Exchange{
		Digest: t.Digest, Full: t.Full,
		From:    memberToProto(membership.Aged[membership.Member]{Record: t.From}),
		Members: membersToProto(t.Members), Claims: claimsToProto(t.Claims),
	})
}

func decodeTable(data []byte) (membership.Table, error) {
	in := &pb.Exchange{}
	if err := proto.Unmarshal(data, in); err != nil {
		return membership.Table{}, &DecodeError{Err: err}
	}
	return membership.Table{
		Digest: in.Digest, Full: in.Full, From: memberFromProto(in.From).Record,
		Members: membersFromProto(in.Members), Claims: claimsFromProto(in.Claims),
	}, nil
}

func memberToProto(a membership.Aged[membership.Member]) *pb.Member {
	m := a.Record
	return &pb.Member{
		Name: m.Name, FailureDomain: m.FailureDomain, Heartbeat: m.Heartbeat, Admin: m.Admin, Link: m.Link,
		Roles: m.Roles, Incarnation: m.Incarnation, Version: m.Version, Status: pb.Status(m.Status), AgeMs: millisFromDuration(a.Age),
	}
}

func membersToProto(ms []membership.Aged[membership.Member]) []*pb.Member {
	var out []*pb.Member
	for _, m := range ms {
		out = append(out, memberToProto(m))
	}
	return out
}

// invalidStatus replaces a status that is not in the schema. The state machine
// refuses records with it.
const invalidStatus = membership.Left + 1

func memberFromProto(m *pb.Member) membership.Aged[membership.Member] {
	status := invalidStatus
	if s := m.GetStatus(); s >= 0 && s <= pb.Status_STATUS_LEFT {
		status = membership.Status(s)
	}
	return membership.Aged[membership.Member]{
		Record: membership.Member{
			Name: m.GetName(), FailureDomain: m.GetFailureDomain(), Heartbeat: m.GetHeartbeat(), Admin: m.GetAdmin(),
			Link: m.GetLink(), Roles: m.GetRoles(), Incarnation: m.GetIncarnation(), Version: m.GetVersion(), Status: status,
		},
		Age: durationFromMillis(m.GetAgeMs()),
	}
}

func membersFromProto(ms []*pb.Member) []membership.Aged[membership.Member] {
	var out []membership.Aged[membership.Member]
	for _, m := range ms {
		out = append(out, memberFromProto(m))
	}
	return out
}

func claimsToProto(cs []membership.Aged[membership.Claim]) []*pb.Claim {
	var out []*pb.Claim
	for _, a := range cs {
		c := a.Record
		out = append(out, &pb.Claim{
			Group: c.Group, Slot: c.Slot, Address: c.Address, Incarnation: c.Incarnation, Started: c.Started,
			Sequence: c.Sequence, Leaving: c.Leaving, Lapsed: c.Lapsed, AgeMs: millisFromDuration(a.Age),
		})
	}
	return out
}

func claimsFromProto(cs []*pb.Claim) []membership.Aged[membership.Claim] {
	var out []membership.Aged[membership.Claim]
	for _, c := range cs {
		out = append(out, membership.Aged[membership.Claim]{
			Record: membership.Claim{
				SlotID:  membership.SlotID{Group: c.GetGroup(), Slot: c.GetSlot()},
				Address: c.GetAddress(), Incarnation: c.GetIncarnation(), Started: c.GetStarted(),
				Sequence: c.GetSequence(), Leaving: c.GetLeaving(), Lapsed: c.GetLapsed(),
			},
			Age: durationFromMillis(c.GetAgeMs()),
		})
	}
	return out
}

// maxAge bounds the ages in messages, so that no conversion overflows.
const maxAge = 365 * 24 * time.Hour

func millisFromDuration(d time.Duration) uint64 { return uint64(min(max(d, 0), maxAge).Milliseconds()) }

func durationFromMillis(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(maxAge.Milliseconds()))) * time.Millisecond
}
