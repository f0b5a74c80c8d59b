// Package membership decides which daemons are up and which endpoint serves
// each slot. It is a pure state machine: events come in with the time, effects
// come out; the runner package does the input and output.
//
// Daemons of one failure domain ping each other; two of them exchange news with
// the other domains. Records travel on pings, changes that matter at once are
// pushed, and whole tables are compared now and then, so that lost packets cost
// only time.
package membership

import (
	"cmp"
	"slices"
	"time"
)

// Status is what is known of a daemon.
type Status uint8

// Statuses, in the order in which they override each other within one version
// of a record.
const (
	Alive Status = iota
	// Suspect daemons did not answer; they count as up until Down.
	Suspect
	Down
	// Left daemons stopped on purpose.
	Left
)

// String returns the status's name.
func (s Status) String() string {
	return [...]string{"alive", "suspect", "down", "left"}[min(s, Left)]
}

// Member is one daemon.
type Member struct {
	Name          string
	FailureDomain string
	// Heartbeat, Admin and Link are addresses of the form "ip:port".
	Heartbeat, Admin, Link string
	Roles                  []string
	// Incarnation grows with each start of the daemon.
	Incarnation uint64
	// Version grows when the daemon contradicts a suspicion.
	Version uint64
	Status  Status
}

// newer reports whether m overrides old.
func (m Member) newer(old Member) bool {
	return cmp.Or(
		cmp.Compare(m.Incarnation, old.Incarnation),
		cmp.Compare(m.Version, old.Version),
		cmp.Compare(m.Status, old.Status),
	) > 0
}

func (m Member) sameProcess(o Member) bool {
	return m.Heartbeat == o.Heartbeat && m.Admin == o.Admin && m.Link == o.Link
}

// SlotID names a slot.
type SlotID struct{ Group, Slot string }

// Claim is an endpoint's statement that it serves a slot.
type Claim struct {
	SlotID
	Address     string
	Incarnation string
	// Started is the endpoint's clock at its start, in milliseconds since 1970.
	// It orders claims of one disk or one address, and decides between others.
	Started uint64
	// Sequence grows with each announcement.
	Sequence uint64
	Leaving  bool
	// Lapsed says that no announcement followed Sequence.
	Lapsed bool
}

// claimKey identifies one run of an endpoint.
type claimKey struct {
	SlotID
	address, incarnation string
	started              uint64
}

func (c Claim) key() claimKey {
	return claimKey{c.SlotID, c.Address, c.Incarnation, c.Started}
}

// Aged is a record with the time since its last news.
type Aged[T any] struct {
	Record T
	Age    time.Duration
}

// DomainAge says how long ago a failure domain was last heard.
type DomainAge struct {
	FailureDomain string
	Age           time.Duration
}

// Kind is the kind of a packet.
type Kind uint8

// Kinds of packets.
const (
	News Kind = iota
	Ping
	Ack
	// PingRequest asks the receiver to ping the target.
	PingRequest
)

// Packet is one datagram.
type Packet struct {
	Kind    Kind
	Probe   uint64
	Target  string
	From    Member
	Members []Aged[Member]
	Claims  []Aged[Claim]
	Domains []DomainAge
}

// Table is everything that a daemon knows, or only its digest.
type Table struct {
	Digest  uint64
	Full    bool
	From    Member
	Members []Aged[Member]
	Claims  []Aged[Claim]
}

// Effects is what an event asks for.
type Effects struct {
	Send []Send
	// Exchange lists admin addresses of daemons to compare tables with.
	Exchange []string
	// Changed says that a view or the problems may differ.
	Changed bool
}

// Send is a packet to a heartbeat address.
type Send struct {
	To     string
	Packet Packet
}

func (e *Effects) add(o Effects) {
	e.Send = append(e.Send, o.Send...)
	e.Exchange = append(e.Exchange, o.Exchange...)
	e.Changed = e.Changed || o.Changed
}

// MemberView is one daemon as the views show it.
type MemberView struct {
	Member
	// Reachable is false while the daemon's failure domain is silent: Status is
	// then what was last known.
	Reachable bool
}

// Usable reports whether work may be given to the daemon.
func (v MemberView) Usable() bool { return v.Reachable && v.Status <= Suspect }

// EndpointView is the endpoint in use for a slot.
type EndpointView struct {
	Claim
	// Contested says that another endpoint claims the slot too.
	Contested bool
}

// Problem is a mistake that an operator should know of; each is also an error.
type Problem interface {
	error
	problem()
}

// UnknownSlotError reports an announcement of a slot that nobody configured.
type UnknownSlotError struct {
	SlotID
	Address string
}

func (e *UnknownSlotError) Error() string {
	return "endpoint " + e.Address + " announces slot " + e.Slot + " of group " + e.Group + ", which is not configured"
}

// SlotConflictError reports two endpoints that claim one slot. The one in use
// stays until it leaves or falls silent.
type SlotConflictError struct {
	SlotID
	InUse, Refused string
}

func (e *SlotConflictError) Error() string {
	return "slot " + e.Slot + " of group " + e.Group + " is claimed by " + e.InUse + ", in use, and " + e.Refused
}

// DiskConflictError reports one incarnation, that is one disk, announced from
// two addresses at once: the disk was copied. The later start is in use.
type DiskConflictError struct {
	SlotID
	Incarnation    string
	InUse, Refused string
}

func (e *DiskConflictError) Error() string {
	return "incarnation " + e.Incarnation + " of slot " + e.Slot + " of group " + e.Group +
		" is announced from " + e.InUse + ", in use, and from " + e.Refused
}

// NameConflictError reports another daemon with this daemon's name.
type NameConflictError struct{ Name, Other string }

func (e *NameConflictError) Error() string {
	return "another daemon at " + e.Other + " is named " + e.Name
}

// InvalidError reports a record that is refused for its content.
type InvalidError struct{ Field, Reason string }

func (e *InvalidError) Error() string { return "field " + e.Field + " " + e.Reason }

func (*UnknownSlotError) problem()  {}
func (*SlotConflictError) problem() {}
func (*DiskConflictError) problem() {}
func (*NameConflictError) problem() {}

const (
	// maxTextBytes bounds each text of a record.
	maxTextBytes = 255
	// maxRoles bounds the roles of a daemon.
	maxRoles = 8
	// maxMembers bounds the daemons in the table.
	maxMembers = 8192
	// maxClaims bounds the claims in the table.
	maxClaims = 32768
)

func checkText(field, text string) error {
	if text == "" {
		return &InvalidError{Field: field, Reason: "is empty"}
	}
	if len(text) > maxTextBytes {
		return &InvalidError{Field: field, Reason: "is too long"}
	}
	return nil
}

func (m Member) check() error {
	if m.Status > Left {
		return &InvalidError{Field: "status", Reason: "is unknown"}
	}
	if len(m.Roles) > maxRoles || slices.ContainsFunc(m.Roles, func(r string) bool { return len(r) > maxTextBytes }) {
		return &InvalidError{Field: "roles", Reason: "is too long"}
	}
	return cmp.Or(checkText("name", m.Name), checkText("failure_domain", m.FailureDomain),
		checkText("heartbeat", m.Heartbeat), checkText("admin", m.Admin), checkText("link", m.Link))
}

func (c Claim) check() error {
	return cmp.Or(checkText("group", c.Group), checkText("slot", c.Slot),
		checkText("address", c.Address), checkText("incarnation", c.Incarnation))
}
