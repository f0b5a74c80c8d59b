package controlplane

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"

	controlpb "hemlockmast/api/control"
	"hemlockmast/internal/controlgroup/control"
	"hemlockmast/internal/endpointside/suspect"
)

// maxRequestBytes is the maximum size of a request to the service.
const maxRequestBytes = 32 << 20

// Prober checks an endpoint on behalf of another daemon.
type Prober interface {
	// Probe dials the endpoint of a slot and reads its status.
	Probe(ctx context.Context, group, slot string) suspect.Level
}

// Reports receives observers' reports of suspected primaries.
type Reports interface {
	Report(group string, r suspect.Report)
}

// Canceler cancels the statement that a caller's session is running.
type Canceler interface {
	// Cancel reports whether the session belongs to this daemon.
	Cancel(processID, secret uint32) bool
}

// Service implements the control API of one daemon.
type Service struct {
	FailureDomain string
	Prober        Prober
	Canceler      Canceler
	// Member and Reports are nil in a daemon without the role control.
	Member  *Member
	Reports Reports
}

var _ controlpb.Control = (*Service)(nil)

// Register adds the service to mux.
func (s *Service) Register(mux *http.ServeMux) {
	mux.Handle(controlpb.ControlPathPrefix, http.MaxBytesHandler(controlpb.NewControlServer(s), maxRequestBytes))
}

func (s *Service) requireMember() (*Member, error) {
	if s.Member == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "this daemon has no role control")
	}
	return s.Member, nil
}

// Propose implements the Control service. The error code FailedPrecondition
// guarantees that the command has no effect; after any other error it may have
// one.
func (s *Service) Propose(ctx context.Context, request *controlpb.ProposeRequest) (*controlpb.ProposeResponse, error) {
	m, err := s.requireMember()
	if err != nil {
		return nil, err
	}
	result, err := m.Control.Propose(ctx, request.Command)
	if err == nil {
		return &controlpb.ProposeResponse{Result: result}, nil
	}
	var unknown *control.OutcomeUnknownError
	if errors.As(err, &unknown) {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
}

// Barrier implements the Control service.
func (s *Service) Barrier(ctx context.Context, _ *controlpb.BarrierRequest) (*controlpb.BarrierResponse, error) {
	m, err := s.requireMember()
	if err != nil {
		return nil, err
	}
	if err := m.Control.ReadBarrier(ctx); err != nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
	}
	return &controlpb.BarrierResponse{Index: m.Control.Status().Applied}, nil
}

// Groups implements the Control service.
func (s *Service) Groups(ctx context.Context, request *controlpb.GroupsRequest) (*controlpb.GroupsResponse, error) {
	m, err := s.requireMember()
	if err != nil {
		return nil, err
	}
	wait := min(time.Duration(request.WaitMs)*time.Millisecond, maxGroupsWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	groups, version := m.Groups.Await(ctx, request.After)
	return &controlpb.GroupsResponse{Groups: groups, Version: version}, nil
}

// Report implements the Control service.
func (s *Service) Report(_ context.Context, request *controlpb.ReportRequest) (*controlpb.ReportResponse, error) {
	if s.Reports == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "this daemon has no role control")
	}
	if request.Level > uint32(suspect.Undialable) {
		return nil, twirp.InvalidArgumentError("level", "is unknown")
	}
	s.Reports.Report(request.Group, suspect.Report{
		Observer: request.Observer, Domain: request.FailureDomain,
		Slot: request.Slot, Level: suspect.Level(request.Level),
	})
	return &controlpb.ReportResponse{}, nil
}

// Cancel implements the Control service.
func (s *Service) Cancel(_ context.Context, request *controlpb.CancelRequest) (*controlpb.CancelResponse, error) {
	return &controlpb.CancelResponse{Found: s.Canceler.Cancel(request.ProcessId, request.Secret)}, nil
}

// Confirm implements the Control service.
func (s *Service) Confirm(ctx context.Context, request *controlpb.ConfirmRequest) (*controlpb.ConfirmResponse, error) {
	level := s.Prober.Probe(ctx, request.Group, request.Slot)
	return &controlpb.ConfirmResponse{FailureDomain: s.FailureDomain, Level: uint32(level)}, nil
}
