// Package configstate holds the configuration as a replicated state machine.
// A change is published by compare-and-set on the revision, and its change id
// makes a resend idempotent. Followers receive deltas between revisions. The
// machine is deterministic: replicas that apply the same commands hold the same
// state.
//
// The machine does not validate the content of a configuration. The proposer
// validates it before it proposes the command. If the machine did, replicas
// that run different program versions, with different rules, would diverge.
package configstate

import (
	"bytes"
	"fmt"

	"google.golang.org/protobuf/proto"

	"hemlockmast/api/configstate"
	"hemlockmast/api/service"
)

// Limits on a command, in bytes.
const (
	maxCommandBytes = 16 << 20
	maxIDBytes      = 64
	maxAuthorBytes  = 128
)

// Machine is the state machine. It is not safe for concurrent use.
type Machine struct {
	// applied is the index of the last applied log entry.
	applied  uint64
	versions *Versions
	changes  changeLog
}

// New returns a machine with an empty configuration at revision 0.
func New() *Machine {
	return &Machine{versions: NewVersions(), changes: newChangeLog()}
}

// Versions returns the versioned configuration, which must not be modified.
func (m *Machine) Versions() *Versions { return m.versions }

// LastChange returns the change that made the current revision. Before the
// first change it returns nil.
func (m *Machine) LastChange() *configstate.Change {
	return m.changes.changeAt(m.versions.Revision())
}

// EncodePublish returns the command that publishes cfg as a change to revision
// base. Text that is not valid UTF-8 gives *MalformedError.
func EncodePublish(change *configstate.Change, base uint64, cfg *service.Configuration) ([]byte, error) {
	content := &service.Configuration{Groups: cfg.GetGroups(), Services: cfg.GetServices()}
	encoded, err := deterministic.Marshal(content)
	if err != nil {
		return nil, &MalformedError{Detail: err.Error()}
	}
	cmd, err := deterministic.Marshal(&configstate.Command{Kind: &configstate.Command_Publish{
		Publish: &configstate.Publish{
			ChangeId:        change.GetId(),
			Author:          change.GetAuthor(),
			BaseRevision:    base,
			Configuration:   encoded,
			SubmittedUnixMs: change.GetSubmittedUnixMs(),
		},
	}})
	if err != nil {
		return nil, &MalformedError{Detail: err.Error()}
	}
	return cmd, nil
}

// Apply applies the command at the given index of the replicated log and
// returns an encoded Result; see DecodeAccepted. An index that was applied
// before has no effect.
func (m *Machine) Apply(index uint64, cmd []byte) []byte {
	return marshal(m.apply(index, cmd))
}

func (m *Machine) apply(index uint64, cmd []byte) *configstate.Result {
	if index <= m.applied {
		return malformedResult(fmt.Sprintf("log index %d was applied before", index))
	}
	m.applied = index
	if len(cmd) > maxCommandBytes {
		return malformedResult(fmt.Sprintf("command has %d bytes, at most %d are allowed", len(cmd), maxCommandBytes))
	}
	var command configstate.Command
	if err := unmarshal(cmd, &command); err != nil {
		return malformedResult(err.Error())
	}
	publish := command.GetPublish()
	if publish == nil {
		return malformedResult("unknown command")
	}
	return m.publish(publish)
}

func (m *Machine) publish(publish *configstate.Publish) *configstate.Result {
	if detail := checkPublish(publish); detail != "" {
		return malformedResult(detail)
	}
	sum := digest(publish)
	if first := m.changes.find(publish.GetChangeId()); first != nil {
		if bytes.Equal(first.GetDigest(), sum) {
			return first.GetResult()
		}
		return changeIDReusedResult(first.GetChange())
	}
	var cfg service.Configuration
	if err := unmarshal(publish.GetConfiguration(), &cfg); err != nil {
		return malformedResult("configuration: " + err.Error())
	}
	if err := checkNames(cfg.GetGroups(), cfg.GetServices()); err != nil {
		return malformedResult(err.Error())
	}
	result, revision := m.compareAndSet(publish, &cfg)
	m.changes.add(&configstate.RememberedChange{
		Change: &configstate.Change{
			Id:              publish.GetChangeId(),
			Author:          publish.GetAuthor(),
			Revision:        revision,
			SubmittedUnixMs: publish.GetSubmittedUnixMs(),
		},
		Digest: sum,
		Result: result,
	})
	return result
}

// compareAndSet makes cfg the next revision if the change's base revision is
// the current one. It returns the result and the new revision, or 0 when it
// made none.
func (m *Machine) compareAndSet(publish *configstate.Publish, cfg *service.Configuration) (*configstate.Result, uint64) {
	current := m.versions.Revision()
	if publish.GetBaseRevision() != current {
		return conflictResult(current, m.changes.changeAt(publish.GetBaseRevision()+1)), 0
	}
	if !m.versions.Replace(cfg) {
		return acceptedResult(current, true), 0
	}
	revision := m.versions.Revision()
	return acceptedResult(revision, false), revision
}

// checkPublish returns what is wrong with the change id or author, or "".
func checkPublish(publish *configstate.Publish) string {
	if n := len(publish.GetChangeId()); n == 0 || n > maxIDBytes {
		return fmt.Sprintf("change id has %d bytes, 1 to %d are allowed", n, maxIDBytes)
	}
	if n := len(publish.GetAuthor()); n == 0 || n > maxAuthorBytes {
		return fmt.Sprintf("author has %d bytes, 1 to %d are allowed", n, maxAuthorBytes)
	}
	return ""
}

func acceptedResult(revision uint64, unchanged bool) *configstate.Result {
	return &configstate.Result{Kind: &configstate.Result_Accepted{
		Accepted: &configstate.Accepted{Revision: revision, Unchanged: unchanged},
	}}
}

func conflictResult(current uint64, winner *configstate.Change) *configstate.Result {
	return &configstate.Result{Kind: &configstate.Result_Conflict{
		Conflict: &configstate.Conflict{CurrentRevision: current, Winner: winner},
	}}
}

func changeIDReusedResult(first *configstate.Change) *configstate.Result {
	return &configstate.Result{Kind: &configstate.Result_ChangeIdReused{
		ChangeIdReused: &configstate.ChangeIDReused{First: first},
	}}
}

func malformedResult(detail string) *configstate.Result {
	return &configstate.Result{Kind: &configstate.Result_Malformed{
		Malformed: &configstate.Malformed{Detail: detail},
	}}
}

// deterministic gives equal replicas equal encodings.
var deterministic = proto.MarshalOptions{Deterministic: true}

// marshal encodes a message that this package decoded or built. It panics on an
// error: only text that is not valid UTF-8 could cause one, and decoding has
// already refused that.
func marshal(m proto.Message) []byte {
	data, err := deterministic.Marshal(m)
	if err != nil {
		panic(err)
	}
	return data
}

func unmarshal(data []byte, m proto.Message) error {
	return proto.Unmarshal(data, m)
}
