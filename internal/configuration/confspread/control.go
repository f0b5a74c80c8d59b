package confspread

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/twitchtv/twirp"

	configpb "hemlockmast/api/configstate"
	"hemlockmast/api/confspread"
	"hemlockmast/api/service"
	"hemlockmast/internal/configuration/configstate"
	"hemlockmast/internal/configuration/servicefile"
	"hemlockmast/internal/configuration/spreadstate"
)

const (
	// barrierTimeout bounds the read barrier that confirms a response as current.
	barrierTimeout = 500 * time.Millisecond
	// proposeTimeout bounds the proposal of a change to the replicated log.
	proposeTimeout = 5 * time.Second
	// maxReportMembers bounds the daemons that one report may list.
	maxReportMembers = 10_000
)

// ReplicatedLog is the replicated log of the control group.
type ReplicatedLog interface {
	// Propose replicates cmd and returns the result of the state machine. After
	// an error it is unknown whether cmd was or will be applied.
	Propose(ctx context.Context, cmd []byte) ([]byte, error)
	// ReadBarrier returns once the state machine has applied everything that
	// was committed before the call. It returns an error if it cannot establish
	// that, for example without a quorum.
	ReadBarrier(ctx context.Context) error
}

// UsageSource reports which services and slots are in use. The response tells
// whether the usage is known.
type UsageSource interface {
	Usage(ctx context.Context) *confspread.UsageResponse
}

// ControlOptions configure a Control.
type ControlOptions struct {
	ReplicatedLog ReplicatedLog
	State         *StateMachine
	Members       Members
	// Usage may be nil; the usage is then reported as unknown.
	Usage UsageSource
	// Now is the clock; it must be monotonic.
	Now func() time.Time
	Log logr.Logger
}

// Control is the configuration service of a control process. Relays poll it and
// operators publish changes through it.
type Control struct {
	opts ControlOptions

	// mu guards tracker. No other lock is taken while it is held.
	mu      sync.Mutex
	tracker *spreadstate.RevisionTracker
}

// NewControl returns the configuration service of a control process.
func NewControl(opts ControlOptions) *Control {
	return &Control{opts: opts, tracker: spreadstate.NewRevisionTracker()}
}

// Register adds the control service to mux.
func (c *Control) Register(mux *http.ServeMux) {
	control := confspread.NewControlServer(c)
	mux.Handle(control.PathPrefix(), limitRequestBody(control, maxControlRequestBytes))
}

// Poll answers the long poll of a relay. It waits until there is a later
// revision than the relay's or the hold time is over, and then confirms by a
// read barrier whether its own revision is current. A request that asks for an
// immediate confirmation is not held.
func (c *Control) Poll(ctx context.Context, request *confspread.PollRequest) (*confspread.PollResponse, error) {
	arrival := c.opts.Now()
	from := request.GetFrom()
	if err := checkMemberName(from.GetName(), from.GetFailureDomain()); err != nil {
		return nil, twirp.InvalidArgumentError("from", err.Error())
	}
	if !request.GetConfirmNow() {
		c.waitForRevision(ctx, request)
	}
	asked := c.opts.Now()
	confirmed := c.confirmCurrent(ctx)
	revision, update := c.opts.State.updateSince(request.GetRevision())
	return &confspread.PollResponse{
		Revision:  revision,
		Update:    update,
		HeldUs:    asked.Sub(arrival).Microseconds(),
		Confirmed: confirmed,
	}, nil
}

// waitForRevision waits until there is a later revision than the one in the
// request. It returns early when the hold time is over or ctx ends.
func (c *Control) waitForRevision(ctx context.Context, request *confspread.PollRequest) {
	timer := time.NewTimer(holdTime(request))
	defer timer.Stop()
	for {
		cfg, _, changed := c.opts.State.current()
		if cfg.GetRevision() > request.GetRevision() {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// confirmCurrent reports whether a read barrier confirms that the state is
// current.
func (c *Control) confirmCurrent(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	return c.opts.ReplicatedLog.ReadBarrier(ctx) == nil
}

// Publish validates a configuration and proposes it as the next revision. The
// outcome, a refusal included, is in the response; the error is always nil.
func (c *Control) Publish(ctx context.Context, request *confspread.PublishRequest) (*confspread.PublishResponse, error) {
	cfg := &service.Configuration{
		Groups:   request.GetConfiguration().GetGroups(),
		Services: request.GetConfiguration().GetServices(),
	}
	if problems := servicefile.Validate(cfg); len(problems) > 0 {
		return invalidResponse(problems), nil
	}
	cmd, err := configstate.EncodePublish(request.GetChange(), request.GetBaseRevision(), cfg)
	if err != nil {
		return malformedResponse(err), nil
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := c.opts.ReplicatedLog.Propose(ctx, cmd)
	if err != nil {
		return unavailableResponse(err), nil
	}
	return publishResponse(result), nil
}

// Current returns the configuration in force and whether it is confirmed to be
// current.
func (c *Control) Current(ctx context.Context, _ *confspread.CurrentRequest) (*confspread.CurrentResponse, error) {
	confirmed := c.confirmCurrent(ctx)
	cfg, change, _ := c.opts.State.current()
	return &confspread.CurrentResponse{Configuration: cfg, Change: change, Confirmed: confirmed}, nil
}

// Report records the report of a relay on the daemons of its failure domain.
func (c *Control) Report(_ context.Context, report *confspread.DomainReport) (*confspread.ReportResponse, error) {
	if err := checkReport(report); err != nil {
		return nil, twirp.InvalidArgumentError("report", err.Error())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Report(c.opts.Now(), report)
	return &confspread.ReportResponse{}, nil
}

// Status returns which daemon runs which revision, as reported by the relays
// that follow this control process.
func (c *Control) Status(ctx context.Context, _ *confspread.StatusRequest) (*confspread.StatusResponse, error) {
	confirmed := c.confirmCurrent(ctx)
	cfg, change, _ := c.opts.State.current()
	expected := c.opts.Members.Members()
	c.mu.Lock()
	defer c.mu.Unlock()
	return &confspread.StatusResponse{
		Revision:  cfg.GetRevision(),
		Change:    change,
		Confirmed: confirmed,
		Domains:   c.tracker.Status(c.opts.Now(), expected),
	}, nil
}

// Usage returns which services and slots are in use, as far as it is known.
func (c *Control) Usage(ctx context.Context, _ *confspread.UsageRequest) (*confspread.UsageResponse, error) {
	if c.opts.Usage == nil {
		return &confspread.UsageResponse{}, nil
	}
	return c.opts.Usage.Usage(ctx), nil
}

// ReportSizeError reports a relay's report on more than maxReportMembers
// daemons.
type ReportSizeError struct{ Members int }

func (e *ReportSizeError) Error() string { return "report names too many daemons" }

func checkReport(report *confspread.DomainReport) error {
	if n := len(report.GetMembers()); n > maxReportMembers {
		return &ReportSizeError{Members: n}
	}
	if err := checkMemberName(report.GetRelay(), report.GetFailureDomain()); err != nil {
		return err
	}
	for _, member := range report.GetMembers() {
		if err := checkMemberName(member.GetName(), report.GetFailureDomain()); err != nil {
			return err
		}
	}
	return nil
}

// publishResponse translates an encoded result of the state machine.
func publishResponse(data []byte) *confspread.PublishResponse {
	result, err := configstate.UnmarshalResult(data)
	if err != nil {
		return malformedResponse(err)
	}
	switch kind := result.GetKind().(type) {
	case *configpb.Result_Accepted:
		return &confspread.PublishResponse{Kind: &confspread.PublishResponse_Accepted{Accepted: kind.Accepted}}
	case *configpb.Result_Conflict:
		return &confspread.PublishResponse{Kind: &confspread.PublishResponse_Conflict{Conflict: kind.Conflict}}
	case *configpb.Result_ChangeIdReused:
		return &confspread.PublishResponse{Kind: &confspread.PublishResponse_ChangeIdReused{ChangeIdReused: kind.ChangeIdReused}}
	}
	return &confspread.PublishResponse{Kind: &confspread.PublishResponse_Malformed{Malformed: result.GetMalformed()}}
}

func malformedResponse(err error) *confspread.PublishResponse {
	return &confspread.PublishResponse{Kind: &confspread.PublishResponse_Malformed{
		Malformed: &configpb.Malformed{Detail: err.Error()},
	}}
}

func unavailableResponse(err error) *confspread.PublishResponse {
	return &confspread.PublishResponse{Kind: &confspread.PublishResponse_Unavailable{
		Unavailable: &confspread.Unavailable{Detail: err.Error()},
	}}
}

func invalidResponse(problems servicefile.Problems) *confspread.PublishResponse {
	out := &confspread.Invalid{}
	for _, p := range problems {
		out.Problems = append(out.Problems, &confspread.Problem{
			Kind: string(p.Kind), Field: p.Field, Detail: p.Detail, Fix: p.Fix,
		})
	}
	return &confspread.PublishResponse{Kind: &confspread.PublishResponse_Invalid{Invalid: out}}
}
