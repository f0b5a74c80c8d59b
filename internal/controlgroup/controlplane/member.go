// Package controlplane connects a daemon to the control group. In a daemon with
// the role control it runs a member, and while that member leads, the failovers of
// the database groups. In other daemons it follows the records of those groups.
package controlplane

import (
	"context"
	mathrand "math/rand/v2"
	"net/http"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/twitchtv/twirp"

	agreepb "hemlockmast/api/agree"
	controlpb "hemlockmast/api/control"
	"hemlockmast/internal/configuration/confspread"
	"hemlockmast/internal/controlgroup/agree"
	"hemlockmast/internal/controlgroup/agreelog"
	"hemlockmast/internal/controlgroup/control"
	"hemlockmast/internal/controlgroup/groupstate"
	"hemlockmast/internal/controlgroup/statemux"
)

// Numbers of the state machines that share the log. They are stored in the log and
// must never change.
const (
	machineConfiguration byte = 1
	machineGroups        byte = 2
)

const (
	// callTimeout bounds one call to another control daemon.
	callTimeout = 2 * time.Second
	// maxGroupsWait is the maximum time that a long poll waits for a change of
	// the group records.
	maxGroupsWait = 20 * time.Second
	// applyPollInterval is the interval at which a follower checks whether it has
	// applied everything up to a barrier.
	applyPollInterval = 2 * time.Millisecond
	// controlFolder is the name of the member's folder in the data folder.
	controlFolder = "control"
)

// MemberConfig is the configuration of a Member.
type MemberConfig struct {
	// Name is the control VM's name in the settings.
	Name string
	// Address is the daemon's admin address.
	Address string
	// Peers are all control daemons, including this one.
	Peers []control.Peer
	// DataFolder is the daemon's data folder.
	DataFolder string
	Log        logr.Logger
}

// Member is this daemon's member of the control group.
type Member struct {
	Control *control.Control
	// Configuration and Groups are the replicated state: the configuration and
	// the group records.
	Configuration *confspread.StateMachine
	Groups        *groupstate.Machine

	ticker *time.Ticker
	stop   context.CancelFunc
	client *http.Client
}

// OpenMember locks the data folder and loads the member's state from it. The
// caller must then call Run. Errors: those of control.Open and statemux.New.
func OpenMember(ctx context.Context, cfg MemberConfig) (*Member, error) {
	m := &Member{
		Configuration: confspread.NewStateMachine(),
		Groups:        groupstate.NewMachine(),
		ticker:        time.NewTicker(control.DefaultTick),
		client:        &http.Client{Timeout: callTimeout},
	}
	machine, err := statemux.New(
		statemux.Part{ID: machineConfiguration, Machine: m.Configuration},
		statemux.Part{ID: machineGroups, Machine: m.Groups},
	)
	if err != nil {
		return nil, err
	}
	ctx, m.stop = context.WithCancel(ctx)
	m.Control, err = control.Open(control.Config{
		Name: cfg.Name, Address: cfg.Address, Peers: cfg.Peers,
		FS: agreelog.OS{}, Dir: filepath.Join(cfg.DataFolder, controlFolder),
		Machine:   machine,
		Transport: control.NewTwirpTransport(ctx, &http.Client{}, "http"),
		Ticks:     m.ticker.C,
		Rand:      mathrand.IntN,
		NewID:     control.RandomID,
		Log:       cfg.Log,
	})
	if err != nil {
		m.stop()
		return nil, err
	}
	return m, nil
}

// Run drives the member until ctx ends. Errors: those of control.Control.Run.
func (m *Member) Run(ctx context.Context) error {
	defer m.stop()
	defer m.ticker.Stop()
	return m.Control.Run(ctx)
}

// Register adds the member's consensus protocol service to mux.
func (m *Member) Register(mux *http.ServeMux) {
	mux.Handle(agreepb.AgreePathPrefix, control.Handler(m.Control))
}

// IsLeader reports whether this member leads the group now.
func (m *Member) IsLeader() bool { return m.Control.Status().Role == agree.Leader }

// ConfigurationLog returns the part of the replicated log that holds the commands
// on the configuration.
func (m *Member) ConfigurationLog() confspread.ReplicatedLog {
	return statemux.For(machineConfiguration, m)
}

// groupsLog returns the part of the replicated log that holds the commands on the
// group records.
func (m *Member) groupsLog() statemux.Agreement { return statemux.For(machineGroups, m) }

// Propose implements statemux.Agreement. A member that does not lead forwards the
// command to the leader.
func (m *Member) Propose(ctx context.Context, cmd []byte) ([]byte, error) {
	result, err := m.Control.Propose(ctx, cmd)
	address, ok := control.LeaderAddressFrom(err)
	if !ok {
		return result, err
	}
	response, err := m.leaderClient(address).Propose(ctx, &controlpb.ProposeRequest{Command: cmd})
	if err != nil {
		return nil, forwardedError(err)
	}
	return response.Result, nil
}

// ReadBarrier implements statemux.Agreement. A member that does not lead requests
// a barrier from the leader and waits until it has applied the log up to it.
func (m *Member) ReadBarrier(ctx context.Context) error {
	err := m.Control.ReadBarrier(ctx)
	address, ok := control.LeaderAddressFrom(err)
	if !ok {
		return err
	}
	response, err := m.leaderClient(address).Barrier(ctx, &controlpb.BarrierRequest{})
	if err != nil {
		return &control.NotCurrentError{Cause: err}
	}
	for m.Control.Status().Applied < response.Index {
		select {
		case <-time.After(applyPollInterval):
		case <-ctx.Done():
			return &control.NotCurrentError{Cause: ctx.Err()}
		}
	}
	return nil
}

func (m *Member) leaderClient(address string) controlpb.Control {
	return controlpb.NewControlProtobufClient("http://"+address, m.client)
}

// forwardedError converts the error of a forwarded proposal to
// *control.NotProposedError or *control.OutcomeUnknownError.
func forwardedError(err error) error {
	var twerr twirp.Error
	if errors.As(err, &twerr) && twerr.Code() == twirp.FailedPrecondition {
		return &control.NotProposedError{Cause: err}
	}
	return &control.OutcomeUnknownError{Cause: err}
}
