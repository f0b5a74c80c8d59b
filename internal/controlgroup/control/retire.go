package control

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	agreepb "hemlockmast/api/agree"
	"hemlockmast/internal/controlgroup/agree"
	"hemlockmast/internal/shared/wait"
)

const (
	// retireInterval is the time between two requests to give away a member's place. An
	// exchange takes two agreed changes.
	retireInterval = 20 * time.Millisecond
	// retireCallTimeout bounds one request to the leader.
	retireCallTimeout = 500 * time.Millisecond
)

// PrepareStop prepares the planned stop of this member: a learner that has caught up takes its
// place, so that the group bears as many losses as before. Without such a learner the member
// keeps its vote, and a leader hands over to another voter. Run must be running. Errors: the
// context's, if it ended before.
func (c *Control) PrepareStop(ctx context.Context) error {
	state := agreepb.RetireState_RETIRE_STATE_UNSPECIFIED
	for ctx.Err() == nil {
		state = c.requestRetirement(ctx)
		if state == agreepb.RetireState_RETIRE_STATE_DONE || state == agreepb.RetireState_RETIRE_STATE_NO_SUCCESSOR {
			c.cfg.Log.Info("member prepared its stop", "member", c.Status().Self.String(), "state", state.String())
			return nil
		}
		wait.For(ctx, retireInterval)
	}
	c.cfg.Log.Info("member stops before its place was given away", "member", c.Status().Self.String(), "state", state.String())
	return ctx.Err()
}

// requestRetirement asks this member and, if another one leads, the leader.
func (c *Control) requestRetirement(ctx context.Context) agreepb.RetireState {
	ctx, cancel := context.WithTimeout(ctx, retireCallTimeout)
	defer cancel()
	request := &agreepb.RetireRequest{Id: c.Status().Self.Proto()}
	reply, err := c.Retire(ctx, request)
	if err == nil && reply.State == agreepb.RetireState_RETIRE_STATE_NOT_LEADER && reply.LeaderAddress != "" {
		reply, err = c.cfg.Transport.Retire(ctx, reply.LeaderAddress, request)
	}
	if err != nil {
		// The leader may be lost. The request is repeated.
		c.cfg.Log.V(1).Info("request to give away a place failed", "error", err.Error())
		return agreepb.RetireState_RETIRE_STATE_UNSPECIFIED
	}
	return reply.State
}

// retireCall is one request to give away a member's place, for Run to handle.
type retireCall struct {
	id    agree.ID
	reply chan *agreepb.RetireReply
}

// Retire implements the Agree service: it handles a member's request to give away its place.
func (c *Control) Retire(ctx context.Context, request *agreepb.RetireRequest) (*agreepb.RetireReply, error) {
	r := &retireCall{id: agree.IDOf(request.Id), reply: make(chan *agreepb.RetireReply, 1)}
	select {
	case c.retirings <- r:
		return <-r.reply, nil
	case <-ctx.Done():
		return nil, twirp.NewError(twirp.DeadlineExceeded, "too late")
	case <-c.stopped:
		return nil, twirp.NewError(twirp.Unavailable, "stopping")
	}
}

func (c *Control) handleRetire(r *retireCall) {
	reply := &agreepb.RetireReply{State: agreepb.RetireState_RETIRE_STATE_NO_SUCCESSOR}
	defer func() { r.reply <- reply }()
	if !c.canStep() {
		return
	}
	state, err := c.node.Retire(r.id)
	switch {
	case err != nil:
		reply.State = agreepb.RetireState_RETIRE_STATE_NOT_LEADER
		reply.LeaderAddress = c.addressOf(c.node.Status().Leader)
	case state == agree.RetirementDone:
		reply.State = agreepb.RetireState_RETIRE_STATE_DONE
	case state == agree.RetirementInProgress:
		reply.State = agreepb.RetireState_RETIRE_STATE_IN_PROGRESS
	case r.id == c.id && !c.node.HandOver() && c.hasOtherVoters():
		reply.State = agreepb.RetireState_RETIRE_STATE_IN_PROGRESS
	}
}

// hasOtherVoters reports whether this member is not the only voter.
func (c *Control) hasOtherVoters() bool { return len(agree.Voters(c.node.Status().Membership)) > 1 }
