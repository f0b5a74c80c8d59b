// Package explanation holds the answer of an entry that is asked where a request would go now. The
// entry serves it as JSON at Path of its internal address, and hemlockctl explain-route shows it.
// Times are in milliseconds. No field holds a key.
package explanation

import "time"

// Path is where an entry serves explanations. Its parameters are database, workspace and kind.
const Path = "/explain"

// Kind is the kind of a request.
type Kind string

// Kinds of requests.
const (
	Read                Kind = "read"
	Write               Kind = "write"
	Transaction         Kind = "transaction"
	ReadOnlyTransaction Kind = "read-only-transaction"
)

// IsValid reports whether the kind is one of the constants.
func (k Kind) IsValid() bool {
	return k == Read || k == Write || k == Transaction || k == ReadOnlyTransaction
}

// Ms returns a time in milliseconds.
func Ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Explanation says where a request would go now and why.
type Explanation struct {
	Entry, FailureDomain string
	// Configuration is the version of the configuration that the entry holds.
	Configuration uint64
	// CutOff is set while the entry is cut off from other failure domains; it does not retry then.
	CutOff   bool
	Database string
	Kind     Kind
	// Refusal is the answer to a request that reaches no endpoint now; "" if it would be sent.
	// RetriesForMs is how long the request waits for the end of the cause before it is refused; 0 if
	// it is refused at once.
	Refusal      string `json:",omitempty"`
	RetriesForMs float64
	Route        *Route     `json:",omitempty"`
	Workspace    *Workspace `json:",omitempty"`
	// Primary is set for requests that only the primary serves, Choice for the others.
	Primary *Primary `json:",omitempty"`
	Choice  *Choice  `json:",omitempty"`
	// MaxWaitMs is how long the request waits without having reached an endpoint,
	// MaxExpectedWaitMs the expected wait above which a carrier refuses it at once.
	MaxWaitMs, MaxExpectedWaitMs float64
}

// Route is the route of the database.
type Route struct {
	Service, Level                        string
	Priority                              int32
	TargetMs, TimeoutMs, StalenessLimitMs uint32
	// IdentifiesCallers is set if callers need the key of a workspace.
	IdentifiesCallers bool
}

// Workspace is the caller's workspace. It is not set where callers are not identified.
type Workspace struct {
	// Name is "" unless the entry knows the workspace.
	Name    string
	IsKnown bool
	// RatePerS is 0 without a limit.
	RatePerS, Burst float64
	Limit           *Limit `json:",omitempty"`
}

// Limit is what the entry does with an operation of a workspace that has a limit.
type Limit struct {
	// Outcome is admitted, waits, asks or refused; Detail says why, or on what it depends.
	Outcome, Detail string
	// Granter is the entry that grants tokens; "" if there is none.
	Granter string
	// InFallback is set while the limit is kept by a share.
	InFallback bool
	// Refusals counts the operations refused since the limitation began, while IsLimited is set.
	IsLimited bool
	Refusals  int
}

// Load is the load of an endpoint as its carrier told it.
type Load struct {
	WaitMs, StatementMs, AgeMs float64
	// IsTooLong is set if the carrier would refuse the request at once.
	IsTooLong bool
}

// Endpoint is what the entry knows about an endpoint.
type Endpoint struct {
	ID, FailureDomain string
	InSameDomain      bool
	IsPrimary, IsDown bool
	// Load is not set while it is not known.
	Load *Load `json:",omitempty"`
	// Carriers are the entries that would be asked for a connection, in order; empty if the entry
	// uses its own.
	Carriers []string
}

// Primary is the primary to which a request would go.
type Primary struct {
	Endpoint
	Number uint64
	// IsLeaving is set once the primary announced its end, HasLeft if it gets no new work any more.
	IsLeaving, HasLeft bool
	// LeavingForMs is for how long the primary has been leaving, in milliseconds.
	LeavingForMs int64 `json:",omitempty"`
	// IsClosed is set while its commits are not passed on, IsPromoting while it is being replaced.
	IsClosed, IsPromoting bool
}

// Choice is how the endpoint of a read is chosen.
type Choice struct {
	// Floor is the position that the read has to see; "" if the entry has to ask for it first. A
	// session's own writes are not counted.
	Floor string
	// Candidates are the endpoints of the service.
	Candidates []Candidate
	// Targets are the endpoints that would be chosen, the most probable one first.
	Targets []Target
	// Leaving says whether reads leave the failure domain.
	Leaving Leaving
}

// Candidate is an endpoint that may be chosen.
type Candidate struct {
	Endpoint
	// State is that of the endpoint's announcement. Only ready endpoints are chosen.
	State string
	// Obstacle keeps the endpoint from being chosen while others have a less serious one.
	Obstacle               string
	Busy, Lagging, Avoided bool
	HasConnection          bool
	InFlight               int
	StatementMs            float64
	KnownPos               string
	// CostMs is what the choice compares, on the side of the first target.
	CostMs float64
}

// Target is an endpoint that a part of the reads would go to.
type Target struct {
	// Endpoint is "" if none can be asked.
	Endpoint string
	// Side is any, home or away.
	Side  string
	Share float64
	// IsProbe is set if the read shows whether an avoided endpoint works again, or asks for the
	// load elsewhere; only the next read is one.
	IsProbe bool
}

// Leaving is the decision about the reads of a service that leave the failure domain.
type Leaving struct {
	// IsOn is set if reads leave by choice.
	IsOn  bool
	Share float64
	// Reason says what decided.
	Reason string
	// MarginMs is by how much leaving pays; it means nothing unless both loads are known.
	MarginMs, CrossDomainCostMs float64
	Home, Away                  SideLoad
}

// SideLoad is the load of the least loaded endpoint on one side.
type SideLoad struct {
	IsUsable, IsKnown                bool
	WaitMs, StatementMs, RoundTripMs float64
}
