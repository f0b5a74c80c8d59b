// Package membership tracks which daemons are up and which endpoint serves each
// slot, with a gossip protocol in the manner of SWIM. It is a deterministic state
// machine without input or output of its own: an event and the current time go
// in, Effects come out. The runner package performs the effects.
//
// Daemons of one failure domain ping each other. Two daemons of each domain, its
// gateways, gossip with the other domains. Records are piggybacked on pings,
// urgent changes are pushed at once, and daemons periodically compare whole
// tables (anti-entropy). A lost packet therefore delays a change, but does not
// lose it.
package membership

import (
	"cmp"
	"slices"
	"time"
)

// Status is the last known status of a daemon.
type Status uint8

// Statuses. Within one version of a record, a higher status overrides a lower
// one.
const (
	Alive Status = iota
	// Suspect daemons did not answer a ping. They count as up until they are Down.
	Suspect
	Down
	// Left daemons have announced that they stop.
	Left
)

// String returns the status in lower case.
func (s Status) String() string {
	return [...]string{"alive", "suspect", "down", "left"}[min(s, Left)]
}

// Member is the record of one daemon.
type Member struct {
	Name          string
	FailureDomain string
	// Heartbeat, Admin and Link are addresses of the form "ip:port".
	Heartbeat, Admin, Link string
	Roles                  []string
	// Incarnation grows with each start of the daemon.
	Incarnation uint64
	// Version grows within an incarnation when the daemon refutes a record that
	// others hold of it, such as a suspicion.
	Version uint64
	Status  Status
}

// overrides reports whether m replaces old in the table.
func (m Member) overrides(old Member) bool {
	return cmp.Or(
		cmp.Compare(m.Incarnation, old.Incarnation),
		cmp.Compare(m.Version, old.Version),
		cmp.Compare(m.Status, old.Status),
	) > 0
}

func (m Member) hasSameAddresses(o Member) bool {
	return m.Heartbeat == o.Heartbeat && m.Admin == o.Admin && m.Link == o.Link
}

// SlotID identifies a slot by its database group and its name in the group.
type SlotID struct{ Group, Slot string }

// Claim is an endpoint's statement that it serves a slot.
type Claim struct {
	SlotID
	Address     string
	Incarnation string
	// Started is the endpoint's clock at its start, in milliseconds since 1970.
	// Of claims with one disk or one address the latest start counts; between
	// other claims the earliest does.
	Started uint64
	// Sequence grows with each announcement.
	Sequence uint64
	// Leaving is set when the endpoint announces that it leaves the slot.
	Leaving bool
	// Lapsed is set when no announcement followed Sequence in time.
	Lapsed bool
}

// claimKey identifies one run of an endpoint in one slot.
type claimKey struct {
	SlotID
	address, incarnation string
	started              uint64
}

func (c Claim) key() claimKey {
	return claimKey{c.SlotID, c.Address, c.Incarnation, c.Started}
}

// Aged is a record with its age: the time since a member's record last changed,
// or since the last new sequence of a claim was heard.
type Aged[T any] struct {
	Record T
	Age    time.Duration
}

// DomainAge is the time since anything was last heard from a failure domain.
type DomainAge struct {
	FailureDomain string
	Age           time.Duration
}

// Kind is the kind of a packet.
type Kind uint8

// Kinds of packets. Their numbers are those of the schema's enum Kind.
const (
	// Gossip carries records only. It is KIND_NEWS in the schema.
	Gossip Kind = iota
	// Ping asks the receiver for an Ack.
	Ping
	Ack
	// PingRequest asks the receiver to ping the target on the sender's behalf.
	PingRequest
)

// Packet is one datagram between daemons.
type Packet struct {
	Kind Kind
	// Probe is the number of the ping that is sent, requested or acknowledged.
	Probe uint64
	// Target is the name of the daemon to ping in a PingRequest, and of the
	// daemon that answered in a relayed Ack.
	Target  string
	From    Member
	Members []Aged[Member]
	Claims  []Aged[Claim]
	Domains []DomainAge
}

// Table is the membership table of one daemon: all its records, or only their
// digest.
type Table struct {
	Digest uint64
	// Full is set when Members and Claims are the whole table.
	Full    bool
	From    Member
	Members []Aged[Member]
	Claims  []Aged[Claim]
}

// Effects are the actions that follow from an event. The runner package performs
// them.
type Effects struct {
	// Outgoing lists packets to send.
	Outgoing []Outgoing
	// ExchangeWith lists admin addresses of daemons to compare tables with.
	ExchangeWith []string
	// Changed is set when a view or the list of problems may have changed.
	Changed bool
}

// Outgoing is a packet with the heartbeat address that it is sent to.
type Outgoing struct {
	To     string
	Packet Packet
}

func (e *Effects) add(o Effects) {
	e.Outgoing = append(e.Outgoing, o.Outgoing...)
	e.ExchangeWith = append(e.ExchangeWith, o.ExchangeWith...)
	e.Changed = e.Changed || o.Changed
}

// MemberView is one daemon as State.Members returns it.
type MemberView struct {
	Member
	// Reachable is false while nothing is heard from the daemon's failure domain;
	// Status is then the last known one. It is also false for a seed from which
	// no record was received.
	Reachable bool
}

// Usable reports whether the daemon is reachable and up, so that it may be given
// work.
func (v MemberView) Usable() bool { return v.Reachable && v.Status <= Suspect }

// EndpointView is the endpoint in use for a slot.
type EndpointView struct {
	Claim
	// Contested is set when another endpoint claims the slot too.
	Contested bool
}

// Problem is a fault in the configuration or operation of the system that an
// operator must correct. Each problem is also an error.
type Problem interface {
	error
	problem()
}

// UnknownSlotError reports an announcement of a slot that is not configured.
type UnknownSlotError struct {
	SlotID
	Address string
}

func (e *UnknownSlotError) Error() string {
	return "endpoint " + e.Address + " announces slot " + e.Slot + " of group " + e.Group + ", which is not configured"
}

// SlotConflictError reports two endpoints that claim one slot. The endpoint in
// use keeps the slot until it leaves or its claim lapses.
type SlotConflictError struct {
	SlotID
	// InUse and Refused are addresses of endpoints.
	InUse, Refused string
}

func (e *SlotConflictError) Error() string {
	return "slot " + e.Slot + " of group " + e.Group + " is claimed by " + e.InUse + ", in use, and " + e.Refused
}

// DiskConflictError reports one incarnation, that is one disk, announced from
// two addresses at the same time, which means that the disk was copied. The
// endpoint that started later is in use.
type DiskConflictError struct {
	SlotID
	Incarnation string
	// InUse and Refused are addresses of endpoints.
	InUse, Refused string
}

func (e *DiskConflictError) Error() string {
	return "incarnation " + e.Incarnation + " of slot " + e.Slot + " of group " + e.Group +
		" is announced from " + e.InUse + ", in use, and from " + e.Refused
}

// NameConflictError reports another running daemon with this daemon's name.
// Other is its heartbeat address.
type NameConflictError struct{ Name, Other string }

func (e *NameConflictError) Error() string {
	return "another daemon at " + e.Other + " is named " + e.Name
}

// InvalidError reports a record that is refused because a field is not valid.
type InvalidError struct{ Field, Reason string }

func (e *InvalidError) Error() string { return "field " + e.Field + " " + e.Reason }

func (*UnknownSlotError) problem()  {}
func (*SlotConflictError) problem() {}
func (*DiskConflictError) problem() {}
func (*NameConflictError) problem() {}

const (
	// maxTextBytes bounds each string field of a record.
	maxTextBytes = 255
	// maxRoles bounds the roles of a daemon.
	maxRoles = 8
	// maxMembers bounds the daemons in the table.
	maxMembers = 8192
	// maxClaims bounds the claims in the table.
	maxClaims = 32768
)

func validateText(field, text string) error {
	if text == "" {
		return &InvalidError{Field: field, Reason: "is empty"}
	}
	if len(text) > maxTextBytes {
		return &InvalidError{Field: field, Reason: "is too long"}
	}
	return nil
}

func (m Member) validate() error {
	if m.Status > Left {
		return &InvalidError{Field: "status", Reason: "is unknown"}
	}
	if len(m.Roles) > maxRoles || slices.ContainsFunc(m.Roles, func(r string) bool { return len(r) > maxTextBytes }) {
		return &InvalidError{Field: "roles", Reason: "is too long"}
	}
	return cmp.Or(validateText("name", m.Name), validateText("failure_domain", m.FailureDomain),
		validateText("heartbeat", m.Heartbeat), validateText("admin", m.Admin), validateText("link", m.Link))
}

func (c Claim) validate() error {
	return cmp.Or(validateText("group", c.Group), validateText("slot", c.Slot),
		validateText("address", c.Address), validateText("incarnation", c.Incarnation))
}
