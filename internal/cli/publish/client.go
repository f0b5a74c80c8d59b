package publish

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	configpb "hemlockmast/api/configstate"
	"hemlockmast/api/confspread"
	"hemlockmast/internal/configuration/configstate"
	spread "hemlockmast/internal/configuration/confspread"
)

const (
	// callTimeout bounds one query to one control process.
	callTimeout = 2 * time.Second
	// publishCallTimeout bounds one attempt to publish.
	publishCallTimeout = 6 * time.Second
	// initialBackoff and maxBackoff limit the backoff before a change is sent
	// again.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = time.Second
)

// client calls the control processes.
type client struct {
	addrs []string
	peers spread.Peers
}

// NoControlError reports that no control process returned a result that it
// confirmed as current. Details has one entry per process.
type NoControlError struct{ Details []string }

func (e *NoControlError) Error() string {
	return "no control process gave a current answer: " + strings.Join(e.Details, "; ")
}

// UnknownOutcomeError reports a publication whose outcome is unknown because no
// answer arrived in time. Publishing is idempotent: sending the same change again
// returns its outcome.
type UnknownOutcomeError struct {
	ChangeID     string
	BaseRevision uint64
	Detail       string
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome unknown (%s); publish the same files again with --change-id %s --base %d",
		e.Detail, e.ChangeID, e.BaseRevision)
}

// InvalidError reports a configuration that control refused as invalid.
type InvalidError struct{ Problems []*confspread.Problem }

func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = fmt.Sprintf("%s: %s; fix: %s", p.GetField(), p.GetDetail(), p.GetFix())
	}
	return "control refused the configuration:\n" + strings.Join(lines, "\n")
}

// current returns the configuration in force from the first control process that
// confirms that its answer is current. Errors: *NoControlError.
func (c *client) current(ctx context.Context) (*confspread.CurrentResponse, error) {
	var details []string
	for _, addr := range c.addrs {
		answer, err := c.currentAt(ctx, addr)
		if err == nil && answer.GetConfirmed() {
			return answer, nil
		}
		details = append(details, failureDetail(addr, err))
	}
	return nil, &NoControlError{Details: details}
}

func (c *client) currentAt(ctx context.Context, addr string) (*confspread.CurrentResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.peers.Control(addr).Current(ctx, &confspread.CurrentRequest{})
}

func failureDetail(addr string, err error) string {
	if err != nil {
		return addr + ": " + failureReason(err)
	}
	return addr + ": cannot tell whether it is current"
}

// failureReason describes err. A server without the control service gets a text
// of its own.
func failureReason(err error) string {
	var failure twirp.Error
	if errors.As(err, &failure) && failure.Code() == twirp.BadRoute {
		return "runs no control process"
	}
	return err.Error()
}

// usage returns the current usage from the first control process that answers. If
// none does, the response is empty and says that the usage is not known.
func (c *client) usage(ctx context.Context) *confspread.UsageResponse {
	for _, addr := range c.addrs {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		answer, err := c.peers.Control(addr).Usage(callCtx, &confspread.UsageRequest{})
		cancel()
		if err == nil {
			return answer
		}
	}
	return &confspread.UsageResponse{}
}

// publish sends the change to the control processes in turn, with backoff, until
// one returns the outcome or ctx ends. The change id makes retries idempotent.
func (c *client) publish(ctx context.Context, request *confspread.PublishRequest) (*configpb.Accepted, error) {
	last := "not sent"
	for i, backoff := 0, initialBackoff; ; i++ {
		addr := c.addrs[i%len(c.addrs)]
		answer, err := c.publishAt(ctx, addr, request)
		if err == nil && answer.GetUnavailable() == nil {
			return publishResult(answer, request.GetBaseRevision())
		}
		if err != nil {
			last = addr + ": " + err.Error()
		} else {
			last = addr + ": " + answer.GetUnavailable().GetDetail()
		}
		select {
		case <-ctx.Done():
			return nil, &UnknownOutcomeError{
				ChangeID: request.GetChange().GetId(), BaseRevision: request.GetBaseRevision(), Detail: last,
			}
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (c *client) publishAt(ctx context.Context, addr string, request *confspread.PublishRequest) (*confspread.PublishResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, publishCallTimeout)
	defer cancel()
	return c.peers.Control(addr).Publish(ctx, request)
}

// publishResult converts a response to the accepted revision or a typed error of
// package configstate.
func publishResult(answer *confspread.PublishResponse, base uint64) (*configpb.Accepted, error) {
	switch kind := answer.GetKind().(type) {
	case *confspread.PublishResponse_Accepted:
		return kind.Accepted, nil
	case *confspread.PublishResponse_Conflict:
		return nil, &configstate.ConflictError{
			BaseRevision:    base,
			CurrentRevision: kind.Conflict.GetCurrentRevision(),
			Winner:          kind.Conflict.GetWinner(),
		}
	case *confspread.PublishResponse_ChangeIdReused:
		return nil, &configstate.ChangeIDReusedError{First: kind.ChangeIdReused.GetFirst()}
	case *confspread.PublishResponse_Invalid:
		return nil, &InvalidError{Problems: kind.Invalid.GetProblems()}
	}
	return nil, &configstate.MalformedError{Detail: answer.GetMalformed().GetDetail()}
}

// ControlStatus is the state of one control process.
type ControlStatus struct {
	Addr      string `json:"addr"`
	Revision  uint64 `json:"revision"`
	Confirmed bool   `json:"confirmed"`
	// Error says why the process was not reached. It is empty if it was.
	Error string `json:"error,omitempty"`
}

// Status is the merged status of all control processes. Each relay reports to
// only one of them, so that no single answer is complete.
type Status struct {
	Revision uint64
	Change   *configpb.Change
	Control  []ControlStatus
	Domains  []*confspread.DomainStatus
}

// status queries all control processes concurrently. Errors: *NoControlError if
// none answers.
func (c *client) status(ctx context.Context) (*Status, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answers := make([]*confspread.StatusResponse, len(c.addrs))
	errs := make([]error, len(c.addrs))
	var group sync.WaitGroup
	for i, addr := range c.addrs {
		group.Go(func() {
			answers[i], errs[i] = c.peers.Control(addr).Status(ctx, &confspread.StatusRequest{})
		})
	}
	group.Wait()
	return mergeStatuses(c.addrs, answers, errs)
}

func mergeStatuses(addrs []string, answers []*confspread.StatusResponse, errs []error) (*Status, error) {
	out := &Status{}
	var details []string
	for i, addr := range addrs {
		if errs[i] != nil {
			out.Control = append(out.Control, ControlStatus{Addr: addr, Error: failureReason(errs[i])})
			details = append(details, failureDetail(addr, errs[i]))
			continue
		}
		answer := answers[i]
		out.Control = append(out.Control, ControlStatus{
			Addr: addr, Revision: answer.GetRevision(), Confirmed: answer.GetConfirmed(),
		})
		if answer.GetRevision() >= out.Revision {
			out.Revision, out.Change = answer.GetRevision(), answer.GetChange()
		}
		for _, domain := range answer.GetDomains() {
			out.mergeDomain(domain)
		}
	}
	if len(details) == len(addrs) {
		return nil, &NoControlError{Details: details}
	}
	return out, nil
}

// mergeDomain adds the daemons of one failure domain. For a daemon that is
// already known it keeps the more recent report.
func (s *Status) mergeDomain(from *confspread.DomainStatus) {
	at := slices.IndexFunc(s.Domains, func(d *confspread.DomainStatus) bool {
		return d.GetFailureDomain() == from.GetFailureDomain()
	})
	if at < 0 {
		s.Domains = append(s.Domains, from)
		slices.SortFunc(s.Domains, func(a, b *confspread.DomainStatus) int {
			return cmp.Compare(a.GetFailureDomain(), b.GetFailureDomain())
		})
		return
	}
	domain := s.Domains[at]
	domain.Relay = cmp.Or(domain.Relay, from.Relay)
	for _, member := range from.GetMembers() {
		domain.Members = mergeMember(domain.Members, member)
	}
}

func mergeMember(members []*confspread.MemberStatus, member *confspread.MemberStatus) []*confspread.MemberStatus {
	for i, known := range members {
		if known.GetName() != member.GetName() {
			continue
		}
		if member.GetAgeMs() >= 0 && (known.GetAgeMs() < 0 || member.GetAgeMs() < known.GetAgeMs()) {
			members[i] = member
		}
		return members
	}
	return append(members, member)
}

// exitCode returns the exit code for err.
func exitCode(err error) int {
	var conflict *configstate.ConflictError
	var invalid *InvalidError
	switch {
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &invalid):
		return ExitProblems
	}
	return ExitFailure
}
