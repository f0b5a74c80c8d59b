// Package controlplane connects a daemon to the control group: it runs a member
// where the daemon has the role control, follows the records of database groups
// elsewhere, and lets the leader look after failovers.
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

// Numbers of the machines that share the log. They must never change.
const (
	machineConfiguration byte = 1
	machineGroups        byte = 2
)

const (
	// callTimeout bounds one call to another control daemon.
	callTimeout = 2 * time.Second
	// groupsWait is the longest wait for a change of the records.
	groupsWait = 20 * time.Second
	// applyPoll is the interval at which a follower looks whether it has caught
	// up with a barrier.
	applyPoll = 2 * time.Millisecond
	// folderName is the member's part of the data folder.
	folderName = "control"
)

// MemberConfig describes a member of the control group.
type MemberConfig struct {
	Name string
	// Address is the daemon's admin address.
	Address string
	// Peers are the control daemons, this one included.
	Peers      []control.Peer
	DataFolder string
	Log        logr.Logger
}

// Member is this daemon's member of the control group.
type Member struct {
	Control *control.Control
	// Configuration is the agreed configuration, Groups the agreed records.
	Configuration *confspread.Published
	Groups        *groupstate.Machine

	ticker *time.Ticker
	stop   context.CancelFunc
	client *http.Client
}

// OpenMember locks the data folder and reads it. Run must be called next.
func OpenMember(ctx context.Context, cfg MemberConfig) (*Member, error) {
	m := &Member{
		Configuration: confspread.NewPublished(),
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
		FS: agreelog.OS{}, Dir: filepath.Join(cfg.DataFolder, folderName),
		Machine:   machine,
		Transport: control.NewPeers(ctx, &http.Client{}, "http"),
		Ticks:     m.ticker.C,
		Rand:      mathrand.IntN,
		NewNumber: control.RandomNumber,
		Log:       cfg.Log,
	})
	if err != nil {
		m.stop()
		return nil, err
	}
	return m, nil
}

// Run drives the member until ctx ends.
func (m *Member) Run(ctx context.Context) error {
	defer m.stop()
	defer m.ticker.Stop()
	return m.Control.Run(ctx)
}

// Register adds the member's own protocol to mux.
func (m *Member) Register(mux *http.ServeMux) {
	mux.Handle(agreepb.AgreePathPrefix, control.Handler(m.Control))
}

// Leading reports whether this member leads the group now.
func (m *Member) Leading() bool { return m.Control.Status().Role == agree.Leader }

// ConfigurationLog returns the log as the configuration sees it.
func (m *Member) ConfigurationLog() confspread.Agreement {
	return statemux.For(machineConfiguration, m)
}

// groupsLog returns the log as the group records see it.
func (m *Member) groupsLog() statemux.Agreement { return statemux.For(machineGroups, m) }

// Propose implements statemux.Agreement. A member that does not lead passes the
// command to the one that does.
func (m *Member) Propose(ctx context.Context, cmd []byte) ([]byte, error) {
	result, err := m.Control.Propose(ctx, cmd)
	address, ok := control.LeaderElsewhere(err)
	if !ok {
		return result, err
	}
	response, err := m.leader(address).Propose(ctx, &controlpb.ProposeRequest{Command: cmd})
	if err != nil {
		return nil, forwarded(err)
	}
	return response.Result, nil
}

// ReadBarrier implements statemux.Agreement. A member that does not lead asks
// the leader and waits until it has applied as much.
func (m *Member) ReadBarrier(ctx context.Context) error {
	err := m.Control.ReadBarrier(ctx)
	address, ok := control.LeaderElsewhere(err)
	if !ok {
		return err
	}
	response, err := m.leader(address).Barrier(ctx, &controlpb.BarrierRequest{})
	if err != nil {
		return &control.NotCurrentError{Cause: err}
	}
	for m.Control.Status().Applied < response.Index {
		select {
		case <-time.After(applyPoll):
		case <-ctx.Done():
			return &control.NotCurrentError{Cause: ctx.Err()}
		}
	}
	return nil
}

func (m *Member) leader(address string) controlpb.Control {
	return controlpb.NewControlProtobufClient("http://"+address, m.client)
}

// forwarded turns the error of a forwarded proposal into one of the runner's.
func forwarded(err error) error {
	var twerr twirp.Error
	if errors.As(err, &twerr) && twerr.Code() == twirp.FailedPrecondition {
		return &control.NotProposedError{Cause: err}
	}
	return &control.OutcomeUnknownError{Cause: err}
}
