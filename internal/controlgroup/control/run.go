package control

import (
	"context"

	agreepb "hemlockmast/api/agree"
	"hemlockmast/internal/controlgroup/agree"
	"hemlockmast/internal/controlgroup/agreelog"
)

// Run drives the member until ctx ends, then closes the folder. It returns nil if
// ctx ended. Any error means that the process must be restarted:
// *agreelog.FailedError, *agreelog.IOError, *agree.InvariantError,
// *SnapshotError.
func (c *Control) Run(ctx context.Context) error {
	err := c.loop(ctx)
	close(c.stopped)
	if c.log != nil {
		if closeErr := c.log.Close(); err == nil {
			err = closeErr
		}
	}
	if closeErr := c.folder.Close(); err == nil {
		err = closeErr
	}
	return err
}

func (c *Control) loop(ctx context.Context) error {
	for {
		if err := c.handleNext(ctx); err != nil || ctx.Err() != nil {
			return err
		}
		// Everything that is queued by now shares the next save.
		for range maxBatch {
			more, err := c.handleQueued()
			if err != nil {
				return err
			}
			if !more {
				break
			}
		}
		if err := c.handleReady(); err != nil {
			return err
		}
		c.publishStatus()
	}
}

// handleNext blocks until an event arrives and handles it.
func (c *Control) handleNext(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-c.cfg.Ticks:
		c.retryDue = true
		c.tick(ctx)
	case request := <-c.inbound:
		return c.deliver(request)
	case p := <-c.proposals:
		c.propose(p)
	case r := <-c.reads:
		c.readers.unsubmitted = append(c.readers.unsubmitted, r)
	case j := <-c.joins:
		c.handleJoin(j)
	case r := <-c.removals:
		c.remove(r)
	case r := <-c.retirings:
		c.handleRetire(r)
	case result := <-c.joiner.results:
		return c.handleJoinResult(result)
	}
	return nil
}

// handleQueued handles one delivery, proposal or read if one is queued, and
// reports whether there was one.
func (c *Control) handleQueued() (bool, error) {
	select {
	case request := <-c.inbound:
		return true, c.deliver(request)
	case p := <-c.proposals:
		c.propose(p)
	case r := <-c.reads:
		c.readers.unsubmitted = append(c.readers.unsubmitted, r)
	default:
		return false, nil
	}
	return true, nil
}

// canStep reports whether the node exists and has no failed save to retry. Only
// then may it be stepped.
func (c *Control) canStep() bool { return c.node != nil && c.stalled == nil }

func (c *Control) tick(ctx context.Context) {
	c.requestJoin(ctx)
	if !c.canStep() {
		return
	}
	c.node.Tick()
	c.expireProposals()
}

func (c *Control) deliver(request *agreepb.DeliverRequest) error {
	c.recordAddress(agree.IDOf(request.From), request.Address)
	if !c.canStep() {
		return nil
	}
	for _, m := range request.Messages {
		if err := c.node.Step(m); err != nil {
			return err
		}
	}
	return nil
}

// recordAddress remembers the address that a member sent. If there are
// maxAddresses already, it forgets them all first.
func (c *Control) recordAddress(id agree.ID, address string) {
	if id.Name == "" || address == "" {
		return
	}
	if len(c.addresses) >= maxAddresses {
		clear(c.addresses)
	}
	c.addresses[id] = address
}

// handleReady does the node's work until there is none left. If the disk is full,
// the work stays pending and is retried at the next tick.
func (c *Control) handleReady() error {
	if c.node == nil {
		c.refuseUnsubmittedReads()
		return nil
	}
	if c.stalled == nil {
		c.submitReads()
	} else if !c.retryDue {
		return nil
	}
	c.retryDue = false
	for c.stalled != nil || c.node.HasReady() {
		done, err := c.handleOneReady(c.node.Ready())
		if err != nil || !done {
			return err
		}
		if err := c.maybeCompact(); err != nil {
			return err
		}
	}
	return nil
}

// handleOneReady does the work of one Ready. It reports false, and has done
// nothing, if the disk is full.
func (c *Control) handleOneReady(rd agree.Ready) (bool, error) {
	err := c.save(rd)
	if _, full := err.(*agreelog.FullError); full {
		if c.stalled == nil {
			c.cfg.Log.Error(err, "disk is full; this member stops acknowledging until the log can be saved")
		}
		c.stalled = err
		return false, nil
	}
	if err != nil {
		return false, err
	}
	c.stalled = nil
	c.send(rd.Messages)
	if rd.Snapshot != nil {
		if err := c.restore(rd.Snapshot); err != nil {
			return false, err
		}
		c.snapshots++
		c.endCoveredProposals()
	}
	for _, e := range rd.Committed {
		if err := c.apply(e); err != nil {
			return false, err
		}
	}
	c.completeReads(rd.Reads)
	c.node.Advance()
	return true, nil
}

func (c *Control) save(rd agree.Ready) error {
	if rd.Snapshot != nil {
		return c.log.Rewrite(c.node.Durable())
	}
	return c.log.Save(rd.HardState, rd.Entries)
}

// send passes the messages to the transport in one request per recipient.
func (c *Control) send(messages []*agreepb.Message) {
	requests := make(map[agree.ID]*agreepb.DeliverRequest)
	var order []agree.ID
	for _, m := range messages {
		to := agree.IDOf(m.To)
		if requests[to] == nil {
			requests[to] = &agreepb.DeliverRequest{From: c.id.Proto(), Address: c.cfg.Address}
			order = append(order, to)
		}
		requests[to].Messages = append(requests[to].Messages, m)
	}
	for _, to := range order {
		if address := c.addressOf(to); address != "" {
			c.cfg.Transport.Send(address, requests[to])
		}
	}
}

// apply executes an entry. The first one after rejoin is the first of the log, so that the
// state machine starts anew. Errors: *SnapshotError.
func (c *Control) apply(e *agreepb.Entry) error {
	if c.isMachineOutdated {
		if err := c.restore(&agreepb.Snapshot{State: c.initialState}); err != nil {
			return err
		}
	}
	var result []byte
	if e.Kind == agreepb.EntryKind_ENTRY_KIND_COMMAND {
		result = c.cfg.Machine.Apply(e.Index, e.Command)
	}
	c.applied = e.Index
	c.resolve(e, result)
	return nil
}

// maybeCompact takes a snapshot once the log file exceeds a limit. The limit
// grows by twice the size of the last snapshot, so that a large state is not
// rewritten too often.
func (c *Control) maybeCompact() error {
	if c.log.Size() < c.cfg.CompactBytes+2*c.snapshotBytes() || c.applied == 0 {
		return nil
	}
	state, err := c.cfg.Machine.Snapshot()
	if err != nil {
		return &SnapshotError{Index: c.applied, Cause: err}
	}
	if !c.node.Compact(c.applied, state) {
		return nil
	}
	c.snapshots++
	err = c.log.Rewrite(c.node.Durable())
	if _, full := err.(*agreelog.FullError); full {
		c.cfg.Log.Error(err, "disk is too full for a snapshot; the log keeps growing")
		return nil
	}
	return err
}

func (c *Control) snapshotBytes() int64 {
	return int64(len(c.node.Durable().Snapshot.GetState()))
}
