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
)

const (
	// joinTimeout bounds one question to a peer.
	joinTimeout = 2 * time.Second
	// maxNameBytes bounds a member's name and its address.
	maxNameBytes = 255
)

// seeker looks for a group while the member is outside of one.
type seeker struct {
	ticks   int
	asking  bool
	results chan seekResult
}

// seekResult is what the peers answered.
type seekResult struct {
	// group is not 0 when a leader has taken this member in.
	group uint64
	// allWithout is set when every other peer answered that it has no group.
	allWithout bool
}

// seek asks the peers, from time to time, while the committed membership does
// not hold this member at its present address.
func (c *Control) seek(ctx context.Context) {
	if c.seeker.asking || c.isMember() {
		return
	}
	c.seeker.ticks++
	if c.seeker.ticks < c.cfg.ElectionTicks {
		return
	}
	c.seeker.ticks = 0
	c.seeker.asking = true
	addresses := c.seekAddresses()
	request := &agreepb.JoinRequest{Id: c.id.Proto(), Address: c.cfg.Address}
	go func() { c.seeker.results <- ask(ctx, c.cfg.Transport, addresses, request) }()
}

func (c *Control) isMember() bool {
	if c.node == nil {
		return false
	}
	st := c.node.Status()
	return st.Joined && agree.Find(st.Membership, c.id).GetAddress() == c.cfg.Address
}

// seekAddresses lists the other peers by name, then the known members.
func (c *Control) seekAddresses() []string {
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

func (c *Control) peers() []Peer {
	list := slices.Clone(c.cfg.Peers)
	slices.SortFunc(list, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// ask puts the request to each address, following leads to the leader.
func ask(ctx context.Context, t Transport, addresses []string, request *agreepb.JoinRequest) seekResult {
	result := seekResult{allWithout: true}
	queue := slices.Clone(addresses)
	for i := 0; i < len(queue); i++ {
		callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		reply, err := t.Join(callCtx, queue[i], request)
		cancel()
		if err != nil {
			result.allWithout = false
			continue
		}
		if reply.State == agreepb.JoinState_JOIN_STATE_ACCEPTED {
			return seekResult{group: reply.Group}
		}
		if reply.State != agreepb.JoinState_JOIN_STATE_NO_GROUP {
			result.allWithout = false
		}
		if lead := reply.LeaderAddress; lead != "" && !slices.Contains(queue, lead) {
			queue = append(queue, lead)
		}
	}
	return result
}

// sought acts on the peers' answers: joins, or founds the group.
func (c *Control) sought(result seekResult) error {
	c.seeker.asking = false
	if c.node != nil {
		return nil
	}
	if result.group != 0 {
		return c.format(result.group, agree.State{})
	}
	peers := c.peers()
	first := !c.cfg.JoinOnly && (len(peers) == 0 || peers[0].Name == c.cfg.Name)
	if !result.allWithout || !first {
		return nil
	}
	return c.format(c.cfg.NewNumber(), agree.Founding(c.id, c.cfg.Address))
}

type joinCall struct {
	request *agreepb.JoinRequest
	reply   chan *agreepb.JoinReply
}

func (c *Control) answerJoin(j *joinCall) {
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
		c.learn(id, j.request.Address)
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
	}
	return agreepb.JoinState_JOIN_STATE_BUSY
}

// Deliver implements the Agree service. A delivery that finds no room is lost.
func (c *Control) Deliver(_ context.Context, request *agreepb.DeliverRequest) (*agreepb.DeliverReply, error) {
	select {
	case c.inbound <- request:
	default:
	}
	return &agreepb.DeliverReply{}, nil
}

// Join implements the Agree service.
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
