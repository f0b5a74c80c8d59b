package control

import (
	"context"

	agreepb "hemlockmast/api/agree"
	"hemlockmast/internal/controlgroup/agree"
)

// outcome ends a proposal.
type outcome struct {
	result []byte
	err    error
}

type proposal struct {
	cmd  []byte
	term uint64
	done chan outcome
}

// Propose has a command agreed on and applied, and returns its result. Errors:
// *NotLeaderError, *NotProposedError and *NotCommittedError say that the command
// has no effect; *OutcomeUnknownError says that it may have.
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
		p.done <- outcome{err: c.refusal(err)}
		return
	}
	p.term = at.Term
	c.leadTerm = at.Term
	c.lostTicks = 0
	c.waiting[at.Index] = p
}

// refusal turns an error of the node into one of this package.
func (c *Control) refusal(err error) error {
	if _, ok := err.(*agree.NotLeaderError); ok {
		leader := c.node.Status().Leader
		return &NotLeaderError{Leader: leader, Address: c.addressOf(leader)}
	}
	return &NotProposedError{Cause: err}
}

// resolve ends the proposal that waits for the entry's index.
func (c *Control) resolve(e *agreepb.Entry, result []byte) {
	p := c.waiting[e.Index]
	if p == nil {
		return
	}
	delete(c.waiting, e.Index)
	if p.term != e.Term {
		p.done <- outcome{err: &NotCommittedError{Term: p.term, Index: e.Index}}
		return
	}
	p.done <- outcome{result: result}
}

// skipWaiting ends proposals whose entries a received snapshot covers.
func (c *Control) skipWaiting() {
	for index, p := range c.waiting {
		if index <= c.applied {
			c.unknown(index, p)
		}
	}
}

// giveUpWaiting ends proposals of a leadership that has been over for a while.
func (c *Control) giveUpWaiting() {
	st := c.node.Status()
	if st.Role == agree.Leader && st.Term == c.leadTerm {
		c.lostTicks = 0
		return
	}
	c.lostTicks++
	if c.lostTicks < unknownAfterTicks {
		return
	}
	for index, p := range c.waiting {
		c.unknown(index, p)
	}
}

func (c *Control) unknown(index uint64, p *proposal) {
	delete(c.waiting, index)
	p.done <- outcome{err: &OutcomeUnknownError{Cause: &LeadershipLostError{Term: p.term}}}
}

// reader is one ReadBarrier call.
type reader struct {
	ctx   context.Context
	index uint64
	done  chan error
}

// readers are the ReadBarrier calls in progress.
type readers struct {
	token uint64
	// fresh wait to be taken to the node; byToken wait for a majority; confirmed
	// wait until their index is applied.
	fresh     []*reader
	byToken   map[uint64][]*reader
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

// startReads takes the fresh reads to the node as one. A leader that is not
// ready keeps them for the next event.
func (c *Control) startReads() {
	live := c.readers.fresh[:0]
	for _, r := range c.readers.fresh {
		if r.ctx.Err() == nil {
			live = append(live, r)
		}
	}
	c.readers.fresh = live
	if len(live) == 0 {
		return
	}
	c.readers.token++
	err := c.node.ReadIndex(c.readers.token)
	if _, wait := err.(*agree.NotReadyError); wait {
		return
	}
	c.readers.fresh = nil
	if err == nil {
		c.readers.byToken[c.readers.token] = live
		return
	}
	for _, r := range live {
		r.done <- c.refusal(err)
	}
}

func (c *Control) refuseReaders() {
	for _, r := range c.readers.fresh {
		r.done <- &NotCurrentError{Cause: &NoGroupError{Name: c.cfg.Name}}
	}
	c.readers.fresh = nil
}

func (c *Control) answerReads(results []agree.ReadResult) {
	for _, result := range results {
		list := c.readers.byToken[result.Token]
		delete(c.readers.byToken, result.Token)
		for _, r := range list {
			r.index = result.Index
			if result.Refused {
				r.done <- c.refusal(&agree.NotLeaderError{})
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

type removal struct {
	name string
	done chan error
}

// Remove takes a member out of the group for good; its data folder has to be
// formatted anew before it can come back. It returns when the change is in the
// leader's log. Errors: *NotLeaderError, *NotProposedError, the latter with an
// *agree.ChangeError or *agree.NotReadyError as its cause.
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
	if !c.ready() {
		r.done <- &NotProposedError{Cause: &NoGroupError{Name: c.cfg.Name}}
		return
	}
	if err := c.node.Remove(r.name); err != nil {
		r.done <- c.refusal(err)
		return
	}
	r.done <- nil
}
