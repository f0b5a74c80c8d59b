// Package configstate holds the configuration as a replicated state machine:
// publication by compare-and-set on the revision, with change ids that make a
// resend idempotent, and deltas between revisions. It is pure: every replica
// that applies the same commands holds the same state.
//
// The machine does not check whether a configuration makes sense. That is done
// before a command is proposed: replicas of two versions of the program, with
// two sets of rules, would otherwise come apart.
package configstate

import (
	"bytes"
	"fmt"

	"google.golang.org/protobuf/proto"

	"hemlockmast/api/configstate"
	"hemlockmast/api/service"
)

// Bounds of a command.
const (
	maxCommandBytes = 16 << 20
	maxIDBytes      = 64
	maxAuthorBytes  = 128
)

// Machine is the state machine. It is not safe for concurrent use.
type Machine struct {
	applied  uint64
	versions *Versions
	changes  changeLog
}

// New returns the machine before its first command.
func New() *Machine {
	return &Machine{versions: NewVersions(), changes: newChangeLog()}
}

// Versions returns the configuration. The caller must not change it.
func (m *Machine) Versions() *Versions { return m.versions }

// LastChange returns the change that made the present revision, or nil.
func (m *Machine) LastChange() *configstate.Change {
	return m.changes.winner(m.versions.Revision())
}

// EncodePublish returns the command that publishes cfg. Text that is not UTF-8
// gives *MalformedError.
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

// Apply runs the command at index of the replicated log and returns an encoded
// Result; see DecodeResult. An index that was applied before changes nothing.
func (m *Machine) Apply(index uint64, cmd []byte) []byte {
	return marshal(m.apply(index, cmd))
}

func (m *Machine) apply(index uint64, cmd []byte) *configstate.Result {
	if index <= m.applied {
		return malformed(fmt.Sprintf("log index %d was applied before", index))
	}
	m.applied = index
	if len(cmd) > maxCommandBytes {
		return malformed(fmt.Sprintf("command has %d bytes, at most %d are allowed", len(cmd), maxCommandBytes))
	}
	var command configstate.Command
	if err := unmarshal(cmd, &command); err != nil {
		return malformed(err.Error())
	}
	publish := command.GetPublish()
	if publish == nil {
		return malformed("unknown command")
	}
	return m.publish(publish)
}

func (m *Machine) publish(publish *configstate.Publish) *configstate.Result {
	if detail := checkPublish(publish); detail != "" {
		return malformed(detail)
	}
	sum := digest(publish)
	if first := m.changes.find(publish.GetChangeId()); first != nil {
		if bytes.Equal(first.GetDigest(), sum) {
			return first.GetResult()
		}
		return reused(first.GetChange())
	}
	var cfg service.Configuration
	if err := unmarshal(publish.GetConfiguration(), &cfg); err != nil {
		return malformed("configuration: " + err.Error())
	}
	if err := checkNames(cfg.GetGroups(), cfg.GetServices()); err != nil {
		return malformed(err.Error())
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

// compareAndSet returns the result, and the revision that was made or 0.
func (m *Machine) compareAndSet(publish *configstate.Publish, cfg *service.Configuration) (*configstate.Result, uint64) {
	current := m.versions.Revision()
	if publish.GetBaseRevision() != current {
		return conflict(current, m.changes.winner(publish.GetBaseRevision()+1)), 0
	}
	if !m.versions.Replace(cfg) {
		return accepted(current, true), 0
	}
	revision := m.versions.Revision()
	return accepted(revision, false), revision
}

func checkPublish(publish *configstate.Publish) string {
	if n := len(publish.GetChangeId()); n == 0 || n > maxIDBytes {
		return fmt.Sprintf("change id has %d bytes, 1 to %d are allowed", n, maxIDBytes)
	}
	if n := len(publish.GetAuthor()); n == 0 || n > maxAuthorBytes {
		return fmt.Sprintf("author has %d bytes, 1 to %d are allowed", n, maxAuthorBytes)
	}
	return ""
}

func accepted(revision uint64, unchanged bool) *configstate.Result {
	return &configstate.Result{Kind: &configstate.Result_Accepted{
		Accepted: &configstate.Accepted{Revision: revision, Unchanged: unchanged},
	}}
}

func conflict(current uint64, winner *configstate.Change) *configstate.Result {
	return &configstate.Result{Kind: &configstate.Result_Conflict{
		Conflict: &configstate.Conflict{CurrentRevision: current, Winner: winner},
	}}
}

func reused(first *configstate.Change) *configstate.Result {
	return &configstate.Result{Kind: &configstate.Result_ChangeIdReused{
		ChangeIdReused: &configstate.ChangeIDReused{First: first},
	}}
}

func malformed(detail string) *configstate.Result {
	return &configstate.Result{Kind: &configstate.Result_Malformed{
		Malformed: &configstate.Malformed{Detail: detail},
	}}
}

// deterministic makes the encodings of equal replicas equal.
var deterministic = proto.MarshalOptions{Deterministic: true}

// marshal encodes what was decoded or made here. Only text that is not UTF-8
// could fail, and decoding has refused it.
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
