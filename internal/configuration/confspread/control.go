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
	// barrierTimeout bounds the confirmation that an answer is current.
	barrierTimeout = 500 * time.Millisecond
	// proposeTimeout bounds a publication.
	proposeTimeout = 5 * time.Second
	// maxReportMembers bounds the daemons of one report.
	maxReportMembers = 10_000
)

// Agreement is what control needs of the replicated log.
type Agreement interface {
	// Propose replicates cmd and returns what the state machine answered. On an
	// error the outcome is unknown.
	Propose(ctx context.Context, cmd []byte) ([]byte, error)
	// ReadBarrier returns once the state machine has applied everything that
	// was committed before the call, or an error if that cannot be told.
	ReadBarrier(ctx context.Context) error
}

// UsageSource says what is in use. It may know nothing.
type UsageSource interface {
	Usage(ctx context.Context) *confspread.UsageResponse
}

// ControlOptions configure a Control.
type ControlOptions struct {
	Agreement Agreement
	State     *Published
	Members   Members
	// Usage is nil when nothing is known.
	Usage UsageSource
	// Now is the clock; it must be monotonic.
	Now func() time.Time
	Log logr.Logger
}

// Control serves a control process: relays poll it, operators publish.
type Control struct {
	opts ControlOptions

	// mu guards board; nothing else is locked under it.
	mu    sync.Mutex
	board *spreadstate.RevisionTracker
}

// NewControl returns the service of a control process.
func NewControl(opts ControlOptions) *Control {
	return &Control{opts: opts, board: spreadstate.NewRevisionTracker()}
}

// Register adds the control service to mux.
func (c *Control) Register(mux *http.ServeMux) {
	control := confspread.NewControlServer(c)
	mux.Handle(control.PathPrefix(), bounded(control, maxControlRequestBytes))
}

// Poll answers a relay.
func (c *Control) Poll(ctx context.Context, request *confspread.PollRequest) (*confspread.PollResponse, error) {
	arrival := c.opts.Now()
	from := request.GetFrom()
	if err := checkMember(from.GetName(), from.GetFailureDomain()); err != nil {
		return nil, twirp.InvalidArgumentError("from", err.Error())
	}
	if !request.GetConfirmNow() {
		c.hold(ctx, request)
	}
	asked := c.opts.Now()
	confirmed := c.confirm(ctx)
	revision, update := c.opts.State.since(request.GetRevision())
	return &confspread.PollResponse{
		Revision:  revision,
		Update:    update,
		HeldUs:    asked.Sub(arrival).Microseconds(),
		Confirmed: confirmed,
	}, nil
}

// hold waits until there is a later revision than the caller's, at most for the
// hold time.
func (c *Control) hold(ctx context.Context, request *confspread.PollRequest) {
	timer := time.NewTimer(holdOf(request))
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

// confirm reports whether the state is known to be current.
func (c *Control) confirm(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	return c.opts.Agreement.ReadBarrier(ctx) == nil
}

// Publish checks a configuration and replaces the one in force by it.
func (c *Control) Publish(ctx context.Context, request *confspread.PublishRequest) (*confspread.PublishResponse, error) {
	cfg := &service.Configuration{
		Groups:   request.GetConfiguration().GetGroups(),
		Services: request.GetConfiguration().GetServices(),
	}
	if problems := servicefile.Validate(cfg); len(problems) > 0 {
		return invalid(problems), nil
	}
	cmd, err := configstate.EncodePublish(request.GetChange(), request.GetBaseRevision(), cfg)
	if err != nil {
		return malformed(err), nil
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := c.opts.Agreement.Propose(ctx, cmd)
	if err != nil {
		return unavailable(err), nil
	}
	return publishResponse(result), nil
}

// Current returns the configuration in force.
func (c *Control) Current(ctx context.Context, _ *confspread.CurrentRequest) (*confspread.CurrentResponse, error) {
	confirmed := c.confirm(ctx)
	cfg, change, _ := c.opts.State.current()
	return &confspread.CurrentResponse{Configuration: cfg, Change: change, Confirmed: confirmed}, nil
}

// Report takes what a relay knows of its failure domain.
func (c *Control) Report(_ context.Context, report *confspread.DomainReport) (*confspread.ReportResponse, error) {
	if err := checkReport(report); err != nil {
		return nil, twirp.InvalidArgumentError("report", err.Error())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.board.Report(c.opts.Now(), report)
	return &confspread.ReportResponse{}, nil
}

// Status says which daemon runs which revision, as far as relays reported to
// this control process.
func (c *Control) Status(ctx context.Context, _ *confspread.StatusRequest) (*confspread.StatusResponse, error) {
	confirmed := c.confirm(ctx)
	cfg, change, _ := c.opts.State.current()
	expected := c.opts.Members.Members()
	c.mu.Lock()
	defer c.mu.Unlock()
	return &confspread.StatusResponse{
		Revision:  cfg.GetRevision(),
		Change:    change,
		Confirmed: confirmed,
		Domains:   c.board.Status(c.opts.Now(), expected),
	}, nil
}

// Usage says what is in use, as far as it is known.
func (c *Control) Usage(ctx context.Context, _ *confspread.UsageRequest) (*confspread.UsageResponse, error) {
	if c.opts.Usage == nil {
		return &confspread.UsageResponse{}, nil
	}
	return c.opts.Usage.Usage(ctx), nil
}

// ReportSizeError reports a relay's report above the bound.
type ReportSizeError struct{ Members int }

func (e *ReportSizeError) Error() string { return "report names too many daemons" }

func checkReport(report *confspread.DomainReport) error {
	if n := len(report.GetMembers()); n > maxReportMembers {
		return &ReportSizeError{Members: n}
	}
	if err := checkMember(report.GetRelay(), report.GetFailureDomain()); err != nil {
		return err
	}
	for _, member := range report.GetMembers() {
		if err := checkMember(member.GetName(), report.GetFailureDomain()); err != nil {
			return err
		}
	}
	return nil
}

// publishResponse translates the state machine's answer.
func publishResponse(data []byte) *confspread.PublishResponse {
	result, err := configstate.UnmarshalResult(data)
	if err != nil {
		return malformed(err)
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

func malformed(err error) *confspread.PublishResponse {
	return &confspread.PublishResponse{Kind: &confspread.PublishResponse_Malformed{
		Malformed: &configpb.Malformed{Detail: err.Error()},
	}}
}

func unavailable(err error) *confspread.PublishResponse {
	return &confspread.PublishResponse{Kind: &confspread.PublishResponse_Unavailable{
		Unavailable: &confspread.Unavailable{Detail: err.Error()},
	}}
}

func invalid(problems servicefile.Problems) *confspread.PublishResponse {
	out := &confspread.Invalid{}
	for _, p := range problems {
		out.Problems = append(out.Problems, &confspread.Problem{
			Kind: string(p.Kind), Field: p.Field, Detail: p.Detail, Fix: p.Fix,
		})
	}
	return &confspread.PublishResponse{Kind: &confspread.PublishResponse_Invalid{Invalid: out}}
}
