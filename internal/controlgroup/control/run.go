package control

import (
	"context"

	agreepb "hemlockmast/api/agree"
	"hemlockmast/internal/controlgroup/agree"
	"hemlockmast/internal/controlgroup/agreelog"
)

// Run drives the member until ctx ends, then closes the folder. It returns nil
// after ctx ended; any other end is a failure after which the process must be
// restarted: *agreelog.FailedError, *agreelog.IOError, *agree.InvariantError,
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
		if err := c.wait(ctx); err != nil || ctx.Err() != nil {
			return err
		}
		// What waits by now shares the next save.
		for range maxBatch {
			more, err := c.takeWaiting()
			if err != nil {
				return err
			}
			if !more {
				break
			}
		}
		if err := c.work(); err != nil {
			return err
		}
		c.publishStatus()
	}
}

// wait blocks until one thing arrives and takes it in.
func (c *Control) wait(ctx context.Context) error {
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
		c.readers.fresh = append(c.readers.fresh, r)
	case j := <-c.joins:
		c.answerJoin(j)
	case r := <-c.removals:
		c.remove(r)
	case result := <-c.seeker.results:
		return c.sought(result)
	}
	return nil
}

// takeWaiting takes in one delivery, proposal or read that waits already.
func (c *Control) takeWaiting() (bool, error) {
	select {
	case request := <-c.inbound:
		return true, c.deliver(request)
	case p := <-c.proposals:
		c.propose(p)
	case r := <-c.reads:
		c.readers.fresh = append(c.readers.fresh, r)
	default:
		return false, nil
	}
	return true, nil
}

// ready reports whether the node may be stepped: there is one, and no save is
// outstanding.
func (c *Control) ready() bool { return c.node != nil && c.stalled == nil }

func (c *Control) tick(ctx context.Context) {
	c.seek(ctx)
	if !c.ready() {
		return
	}
	c.node.Tick()
	c.giveUpWaiting()
}

func (c *Control) deliver(request *agreepb.DeliverRequest) error {
	c.learn(agree.IDOf(request.From), request.Address)
	if !c.ready() {
		return nil
	}
	for _, m := range request.Messages {
		if err := c.node.Step(m); err != nil {
			return err
		}
	}
	return nil
}

func (c *Control) learn(id agree.ID, address string) {
	if id.Name == "" || address == "" {
		return
	}
	if len(c.addresses) >= knownAddresses {
		clear(c.addresses)
	}
	c.addresses[id] = address
}

// work does what the node asks for until there is nothing left. A full disk
// leaves the work outstanding; it is tried again at the next tick.
func (c *Control) work() error {
	if c.node == nil {
		c.refuseReaders()
		return nil
	}
	if c.stalled == nil {
		c.startReads()
	} else if !c.retryDue {
		return nil
	}
	c.retryDue = false
	for c.stalled != nil || c.node.HasReady() {
		done, err := c.doReady(c.node.Ready())
		if err != nil || !done {
			return err
		}
		if err := c.maybeCompact(); err != nil {
			return err
		}
	}
	return nil
}

// doReady reports false when the disk is full and nothing was done.
func (c *Control) doReady(rd agree.Ready) (bool, error) {
	err := c.save(rd)
	if _, full := err.(*agreelog.FullError); full {
		if c.stalled == nil {
			c.cfg.Log.Error(err, "no room for the log; this member promises nothing until there is")
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
		c.skipWaiting()
	}
	for _, e := range rd.Committed {
		c.apply(e)
	}
	c.answerReads(rd.Reads)
	c.node.Advance()
	return true, nil
}

func (c *Control) save(rd agree.Ready) error {
	if rd.Snapshot != nil {
		return c.log.Rewrite(c.node.Durable())
	}
	return c.log.Save(rd.HardState, rd.Entries)
}

// send hands over messages, one request per recipient.
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

func (c *Control) apply(e *agreepb.Entry) {
	var result []byte
	if e.Kind == agreepb.EntryKind_ENTRY_KIND_COMMAND {
		result = c.cfg.Machine.Apply(e.Index, e.Command)
	}
	c.applied = e.Index
	c.resolve(e, result)
}

// maybeCompact takes a snapshot once the log file has grown enough. The limit
// is doubled by the size of the last snapshot, so that a large state is not
// written again and again.
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
		c.cfg.Log.Error(err, "no room for a snapshot; the log grows on")
		return nil
	}
	return err
}

func (c *Control) snapshotBytes() int64 {
	return int64(len(c.node.Durable().Snapshot.GetState()))
}
