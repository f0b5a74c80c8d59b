package control

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/twitchtv/twirp"

	agreepb "hemlockmast/api/agree"
	"hemlockmast/internal/controlgroup/agree"
	"hemlockmast/internal/controlgroup/agreelog"
)

const (
	// joinTimeout bounds one join request to a peer.
	joinTimeout = 2 * time.Second
	// leaderlessElections is the time for which a member knows no leader before it asks
	// whether it was removed, in minimum election timeouts.
	leaderlessElections = 4
	// maxNameBytes is the maximum length of a member's name and of its address.
	maxNameBytes = 255
)

// joiner is the state of this member's join requests.
type joiner struct {
	// ticks counts ticks since the last round of requests.
	ticks int
	// inProgress is set while a goroutine queries the peers.
	inProgress bool
	results    chan joinResult
}

// joinResult summarizes the peers' replies.
type joinResult struct {
	// group is the group whose leader accepted this member, or 0.
	group uint64
	// formerGroup is the group whose leader replied that this member was removed and may
	// join under a new incarnation, or 0.
	formerGroup uint64
	// noPeerHasGroup is set if every peer replied that it has no group.
	noPeerHasGroup bool
}

// requestJoin asks the peers for membership once per ElectionTicks, as long as the
// committed membership does not contain this member at its current address. A member that
// has known no leader for longer asks too: it does not hear of its own removal otherwise.
func (c *Control) requestJoin(ctx context.Context) {
	if c.joiner.inProgress {
		return
	}
	interval := c.cfg.ElectionTicks
	if c.isMember() {
		if c.node.Status().Leader != (agree.ID{}) {
			c.joiner.ticks = 0
			return
		}
		interval *= leaderlessElections
	}
	c.joiner.ticks++
	if c.joiner.ticks < interval {
		return
	}
	c.joiner.ticks = 0
	c.joiner.inProgress = true
	addresses := c.joinAddresses()
	request := &agreepb.JoinRequest{Id: c.id.Proto(), Address: c.cfg.Address}
	go func() { c.joiner.results <- askPeers(ctx, c.cfg.Transport, addresses, request) }()
}

func (c *Control) isMember() bool {
	if c.node == nil {
		return false
	}
	st := c.node.Status()
	return st.Joined && agree.Find(st.Membership, c.id).GetAddress() == c.cfg.Address
}

// joinAddresses returns the addresses of the other peers, sorted by peer name, and
// then those of the other known members.
func (c *Control) joinAddresses() []string {
	var list []string
	for _, p := range c.peers() {
		if p.Name != c.cfg.Name {
			list = append(list, p.Address)
		}
	}
	if c.node == nil {
		return list
	}
	for _, m := range c.node.Status().Membership.GetMembers() {
		if m.Id.Name != c.cfg.Name && !slices.Contains(list, m.Address) {
			list = append(list, m.Address)
		}
	}
	return list
}

// peers returns the peers of the settings, sorted by name.
func (c *Control) peers() []Peer {
	list := slices.Clone(c.cfg.Peers)
	slices.SortFunc(list, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// askPeers sends the request to each address in turn, and to the leaders that the
// replies name, until a leader accepts it.
func askPeers(ctx context.Context, t Transport, addresses []string, request *agreepb.JoinRequest) joinResult {
	result := joinResult{noPeerHasGroup: true}
	queue := slices.Clone(addresses)
	for i := 0; i < len(queue); i++ {
		callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		reply, err := t.Join(callCtx, queue[i], request)
		cancel()
		if err != nil {
			result.noPeerHasGroup = false
			continue
		}
		if reply.State == agreepb.JoinState_JOIN_STATE_ACCEPTED {
			return joinResult{group: reply.Group}
		}
		if reply.State == agreepb.JoinState_JOIN_STATE_REJOIN {
			return joinResult{formerGroup: reply.Group}
		}
		if reply.State != agreepb.JoinState_JOIN_STATE_NO_GROUP {
			result.noPeerHasGroup = false
		}
		if leader := reply.LeaderAddress; leader != "" && !slices.Contains(queue, leader) {
			queue = append(queue, leader)
		}
	}
	return result
}

// handleJoinResult formats the data folder to join a group that accepted this
// member, or to found a group if this member may do so.
func (c *Control) handleJoinResult(result joinResult) error {
	c.joiner.inProgress = false
	if c.node != nil {
		if result.formerGroup == c.group && c.stalled == nil {
			return c.rejoin()
		}
		return nil
	}
	if result.group != 0 {
		return c.format(result.group, agree.State{})
	}
	peers := c.peers()
	mayFound := !c.cfg.JoinOnly && (len(peers) == 0 || peers[0].Name == c.cfg.Name)
	if !result.noPeerHasGroup || !mayFound {
		return nil
	}
	return c.format(c.cfg.NewID(), agree.InitialState(c.id, c.cfg.Address))
}

// rejoin makes this member, which was removed, one with an empty disk. Its log holds no
// acknowledged command that the voters without it lack, and its votes no longer count.
func (c *Control) rejoin() error {
	former := c.id
	id := agree.ID{Name: c.cfg.Name, Incarnation: c.cfg.NewID()}
	err := c.log.Reformat(agreelog.Identity{Group: c.group, Self: id})
	if _, full := err.(*agreelog.FullError); full {
		c.cfg.Log.Error(err, "disk is full; this member was removed and cannot join again yet")
		return nil
	}
	if err != nil {
		return err
	}
	c.cfg.Log.Info("this member was removed while it was silent; it joins again with an empty log",
		"former", former.String(), "member", id.String())
	for index, p := range c.pending {
		c.endWithUnknownOutcome(index, p)
	}
	c.endReads()
	c.id, c.applied, c.isMachineOutdated = id, 0, true
	return c.startNode(agree.State{})
}

// joinCall is one call of Join, for Run to handle.
type joinCall struct {
	request *agreepb.JoinRequest
	reply   chan *agreepb.JoinReply
}

func (c *Control) handleJoin(j *joinCall) {
	reply := &agreepb.JoinReply{Name: c.cfg.Name, Group: c.group}
	defer func() { j.reply <- reply }()
	if c.node == nil {
		reply.State = agreepb.JoinState_JOIN_STATE_NO_GROUP
		return
	}
	reply.LeaderAddress = c.addressOf(c.node.Status().Leader)
	reply.State = agreepb.JoinState_JOIN_STATE_BUSY
	if c.stalled != nil {
		return
	}
	id := agree.IDOf(j.request.Id)
	err := c.node.AddLearner(id, j.request.Address)
	if err == nil {
		c.recordAddress(id, j.request.Address)
	}
	reply.State = joinState(err)
}

func joinState(err error) agreepb.JoinState {
	var notLeader *agree.NotLeaderError
	var change *agree.ChangeError
	switch {
	case err == nil:
		return agreepb.JoinState_JOIN_STATE_ACCEPTED
	case errors.As(err, &notLeader):
		return agreepb.JoinState_JOIN_STATE_NOT_LEADER
	case errors.As(err, &change) && change.Reason == agree.ChangeTooManyMembers:
		return agreepb.JoinState_JOIN_STATE_FULL
	case errors.As(err, &change) && change.Reason == agree.ChangeWasRemoved:
		return agreepb.JoinState_JOIN_STATE_REMOVED
	case errors.As(err, &change) && change.Reason == agree.ChangeMayRejoin:
		return agreepb.JoinState_JOIN_STATE_REJOIN
	}
	return agreepb.JoinState_JOIN_STATE_BUSY
}

// Deliver implements the Agree service. It drops the delivery if the queue is
// full.
func (c *Control) Deliver(_ context.Context, request *agreepb.DeliverRequest) (*agreepb.DeliverReply, error) {
	select {
	case c.inbound <- request:
	default:
	}
	return &agreepb.DeliverReply{}, nil
}

// Join implements the Agree service: it adds the sender as a learner if this
// member is the leader.
func (c *Control) Join(ctx context.Context, request *agreepb.JoinRequest) (*agreepb.JoinReply, error) {
	name, address := request.Id.GetName(), request.Address
	if name == "" || request.Id.GetIncarnation() == 0 || address == "" {
		return nil, twirp.InvalidArgumentError("id", "name, incarnation and address are needed")
	}
	if len(name) > maxNameBytes || len(address) > maxNameBytes {
		return nil, twirp.InvalidArgumentError("id", "name or address is too long")
	}
	j := &joinCall{request: request, reply: make(chan *agreepb.JoinReply, 1)}
	select {
	case c.joins <- j:
		return <-j.reply, nil
	case <-ctx.Done():
		return nil, twirp.NewError(twirp.DeadlineExceeded, "too late")
	case <-c.stopped:
		return nil, twirp.NewError(twirp.Unavailable, "stopping")
	}
}
