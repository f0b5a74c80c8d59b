package control

import (
	"context"

	agreepb "hemlockmast/api/agree"
	"hemlockmast/internal/controlgroup/agree"
)

// outcome is the result of a proposal.
type outcome struct {
	result []byte
	err    error
}

// proposal is one call of Propose.
type proposal struct {
	cmd []byte
	// term is the term of the command's log entry.
	term uint64
	done chan outcome
}

// Propose replicates and applies a command and returns its result. After
// *NotLeaderError, *NotProposedError and *NotCommittedError the command has no
// effect; after *OutcomeUnknownError it may have one.
func (c *Control) Propose(ctx context.Context, cmd []byte) ([]byte, error) {
	p := &proposal{cmd: cmd, done: make(chan outcome, 1)}
	select {
	case c.proposals <- p:
	case <-ctx.Done():
		return nil, &NotProposedError{Cause: ctx.Err()}
	case <-c.stopped:
		return nil, &NotProposedError{Cause: &StoppedError{}}
	}
	select {
	case o := <-p.done:
		return o.result, o.err
	case <-ctx.Done():
		return nil, &OutcomeUnknownError{Cause: ctx.Err()}
	case <-c.stopped:
	}
	select {
	case o := <-p.done:
		return o.result, o.err
	default:
		return nil, &OutcomeUnknownError{Cause: &StoppedError{}}
	}
}

func (c *Control) propose(p *proposal) {
	if c.node == nil {
		p.done <- outcome{err: &NotProposedError{Cause: &NoGroupError{Name: c.cfg.Name}}}
		return
	}
	if c.stalled != nil {
		p.done <- outcome{err: &NotProposedError{Cause: c.stalled}}
		return
	}
	at, err := c.node.Propose(p.cmd)
	if err != nil {
		p.done <- outcome{err: c.convertError(err)}
		return
	}
	p.term = at.Term
	c.leaderTerm = at.Term
	c.ticksSinceLeading = 0
	c.pending[at.Index] = p
}

// convertError converts an error of the node to one of this package.
func (c *Control) convertError(err error) error {
	if _, ok := err.(*agree.NotLeaderError); ok {
		leader := c.node.Status().Leader
		return &NotLeaderError{Leader: leader, Address: c.addressOf(leader)}
	}
	return &NotProposedError{Cause: err}
}

// resolve ends the proposal that is pending at an applied entry's index.
func (c *Control) resolve(e *agreepb.Entry, result []byte) {
	p := c.pending[e.Index]
	if p == nil {
		return
	}
	delete(c.pending, e.Index)
	if p.term != e.Term {
		p.done <- outcome{err: &NotCommittedError{Term: p.term, Index: e.Index}}
		return
	}
	p.done <- outcome{result: result}
}

// endCoveredProposals ends the proposals whose entries a received snapshot covers.
// Their results are lost with the entries.
func (c *Control) endCoveredProposals() {
	for index, p := range c.pending {
		if index <= c.applied {
			c.endWithUnknownOutcome(index, p)
		}
	}
}

// expireProposals ends all pending proposals unknownAfterTicks after this member
// stopped leading in their term.
func (c *Control) expireProposals() {
	st := c.node.Status()
	if st.Role == agree.Leader && st.Term == c.leaderTerm {
		c.ticksSinceLeading = 0
		return
	}
	c.ticksSinceLeading++
	if c.ticksSinceLeading < unknownAfterTicks {
		return
	}
	for index, p := range c.pending {
		c.endWithUnknownOutcome(index, p)
	}
}

func (c *Control) endWithUnknownOutcome(index uint64, p *proposal) {
	delete(c.pending, index)
	p.done <- outcome{err: &OutcomeUnknownError{Cause: &LeadershipLostError{Term: p.term}}}
}

// reader is one call of ReadBarrier.
type reader struct {
	ctx   context.Context
	index uint64
	done  chan error
}

// readers holds the ReadBarrier calls in progress.
type readers struct {
	// token is the token of the last ReadIndex call.
	token uint64
	// unsubmitted reads have not been passed to the node yet.
	unsubmitted []*reader
	// byToken holds the reads that wait for confirmation by a majority.
	byToken map[uint64][]*reader
	// confirmed reads wait until their index is applied.
	confirmed []*reader
}

// ReadBarrier returns once the state machine holds everything that was
// committed anywhere in the group before the call, and this member was the
// leader during it. Errors: *NotLeaderError, *NotCurrentError.
func (c *Control) ReadBarrier(ctx context.Context) error {
	r := &reader{ctx: ctx, done: make(chan error, 1)}
	select {
	case c.reads <- r:
	case <-ctx.Done():
		return &NotCurrentError{Cause: ctx.Err()}
	case <-c.stopped:
		return &NotCurrentError{Cause: &StoppedError{}}
	}
	select {
	case err := <-r.done:
		return err
	case <-ctx.Done():
		return &NotCurrentError{Cause: ctx.Err()}
	case <-c.stopped:
		return &NotCurrentError{Cause: &StoppedError{}}
	}
}

// submitReads passes all unsubmitted reads to the node in one ReadIndex call. If
// the leader is not ready for reads, they stay for the next attempt.
func (c *Control) submitReads() {
	live := c.readers.unsubmitted[:0]
	for _, r := range c.readers.unsubmitted {
		if r.ctx.Err() == nil {
			live = append(live, r)
		}
	}
	c.readers.unsubmitted = live
	if len(live) == 0 {
		return
	}
	c.readers.token++
	err := c.node.ReadIndex(c.readers.token)
	if _, wait := err.(*agree.NotReadyError); wait {
		return
	}
	c.readers.unsubmitted = nil
	if err == nil {
		c.readers.byToken[c.readers.token] = live
		return
	}
	for _, r := range live {
		r.done <- c.convertError(err)
	}
}

// refuseUnsubmittedReads refuses the waiting reads of a member without a group.
func (c *Control) refuseUnsubmittedReads() {
	for _, r := range c.readers.unsubmitted {
		r.done <- &NotCurrentError{Cause: &NoGroupError{Name: c.cfg.Name}}
	}
	c.readers.unsubmitted = nil
}

// completeReads handles the node's read results and ends the confirmed reads whose
// index is applied.
func (c *Control) completeReads(results []agree.ReadResult) {
	for _, result := range results {
		list := c.readers.byToken[result.Token]
		delete(c.readers.byToken, result.Token)
		for _, r := range list {
			r.index = result.Index
			if result.Refused {
				r.done <- c.convertError(&agree.NotLeaderError{})
				continue
			}
			c.readers.confirmed = append(c.readers.confirmed, r)
		}
	}
	rest := c.readers.confirmed[:0]
	for _, r := range c.readers.confirmed {
		if r.index <= c.applied {
			r.done <- nil
			continue
		}
		rest = append(rest, r)
	}
	c.readers.confirmed = rest
}

// endReads refuses all reads in progress, whose node is replaced.
func (c *Control) endReads() {
	for token, list := range c.readers.byToken {
		delete(c.readers.byToken, token)
		c.readers.confirmed = append(c.readers.confirmed, list...)
	}
	for _, r := range c.readers.confirmed {
		r.done <- c.convertError(&agree.NotLeaderError{})
	}
	c.readers.confirmed = nil
}

// removal is one call of Remove.
type removal struct {
	name string
	done chan error
}

// Remove removes a member from the group; if it runs, it joins again as a learner under a
// new incarnation. The call returns when the change is in the leader's
// log, not yet committed. Errors: *NotLeaderError; *NotProposedError, whose cause
// may be an *agree.ChangeError or *agree.NotReadyError.
func (c *Control) Remove(ctx context.Context, name string) error {
	r := &removal{name: name, done: make(chan error, 1)}
	select {
	case c.removals <- r:
		return <-r.done
	case <-ctx.Done():
		return &NotProposedError{Cause: ctx.Err()}
	case <-c.stopped:
		return &NotProposedError{Cause: &StoppedError{}}
	}
}

func (c *Control) remove(r *removal) {
	if !c.canStep() {
		r.done <- &NotProposedError{Cause: &NoGroupError{Name: c.cfg.Name}}
		return
	}
	if err := c.node.Remove(r.name); err != nil {
		r.done <- c.convertError(err)
		return
	}
	r.done <- nil
}
