package control

import (
	"context"
	"errors"
	"path/filepath"
	"testing"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	agreepb "hemlockmast/api/agree"
	"hemlockmast/internal/controlgroup/agree"
)

type silence struct{}

func (silence) Send(string, *agreepb.DeliverRequest) {}

func (silence) Join(context.Context, string, *agreepb.JoinRequest) (*agreepb.JoinReply, error) {
	return nil, context.DeadlineExceeded
}

// byHand returns the founder of a group of one, driven without goroutines.
func byHand(t *testing.T) (*Control, *fullFS, *journal) {
	fs, machine := &fullFS{}, &journal{}
	number := uint64(0)
	c, err := Open(Config{
		Name: "a", Address: "a:1", Peers: []Peer{{"a", "a:1"}, {"b", "b:1"}},
		FS: fs, Dir: filepath.Join(t.TempDir(), "a"), Machine: machine, Transport: silence{},
		Rand: func(int) int { return 0 }, NewNumber: func() uint64 { number++; return number },
		Log: logr.Discard(),
	})
	assert.NilError(t, err)
	assert.NilError(t, c.sought(seekResult{}))
	assert.Assert(t, c.node == nil, "must not found while a peer has not answered")
	assert.NilError(t, c.sought(seekResult{allWithout: true}))
	for range 2 * DefaultElectionTicks {
		step(t, c)
	}
	assert.Equal(t, c.Status().Role, agree.Leader)
	return c, fs, machine
}

func step(t *testing.T, c *Control) {
	t.Helper()
	c.retryDue = true
	c.seeker.asking = true // ask no one
	c.tick(context.Background())
	assert.NilError(t, c.work())
	c.publishStatus()
}

// TestStalledStandsStill: while a save is outstanding the node must not move;
// with room again the same save is made and its command applied.
func TestStalledStandsStill(t *testing.T) {
	c, fs, machine := byHand(t)
	p := &proposal{cmd: []byte("x"), done: make(chan outcome, 1)}
	fs.full.Store(true)
	c.propose(p)
	before := c.node.Status()
	for range 5 * DefaultElectionTicks {
		step(t, c)
		assert.NilError(t, c.deliver(&agreepb.DeliverRequest{Messages: []*agreepb.Message{{
			Kind: agreepb.MessageKind_MESSAGE_KIND_APPEND, Group: c.group, Term: 99,
			From: agree.ID{Name: "b", Incarnation: 9}.Proto(), To: c.id.Proto(),
		}}}))
	}
	assert.DeepEqual(t, c.node.Status().Term, before.Term)
	assert.Equal(t, c.node.Status().Role, agree.Leader)
	assert.Equal(t, machine.String(), "")
	fs.full.Store(false)
	step(t, c)
	assert.Equal(t, string((<-p.done).result), "x is number 1")
}

// TestEndsOfWaiting: each way a command can end without being applied.
func TestEndsOfWaiting(t *testing.T) {
	c, _, _ := byHand(t)
	wait := func(index, term uint64) *proposal {
		p := &proposal{term: term, done: make(chan outcome, 1)}
		c.waiting[index] = p
		return p
	}
	var superseded *NotCommittedError
	p := wait(50, 7)
	c.resolve(&agreepb.Entry{Index: 50, Term: 8}, nil)
	assert.Assert(t, errors.As((<-p.done).err, &superseded))
	var unknown *OutcomeUnknownError
	p = wait(c.applied, 7)
	c.skipWaiting()
	assert.Assert(t, errors.As((<-p.done).err, &unknown))
	p = wait(60, 7)
	c.leadTerm, c.lostTicks = 7, 0 // a leadership that has ended
	for range unknownAfterTicks {
		assert.Equal(t, len(p.done), 0)
		c.giveUpWaiting()
	}
	assert.Assert(t, errors.As((<-p.done).err, &unknown))
	assert.Equal(t, len(c.waiting), 0)
}

// TestOnlyTheFirstFounds: another member waits to be taken in.
func TestOnlyTheFirstFounds(t *testing.T) {
	c, _, _ := byHand(t)
	c.cfg.Name, c.node = "b", nil
	c.cfg.Dir = t.TempDir()
	assert.NilError(t, c.sought(seekResult{allWithout: true}))
	assert.Assert(t, c.node == nil)
}

// TestMovedMember: a member at another address asks to be recorded there, and
// keeps its vote.
func TestMovedMember(t *testing.T) {
	c, _, _ := byHand(t)
	assert.Assert(t, c.isMember())
	c.cfg.Address = "a:2"
	assert.Assert(t, !c.isMember())
	for _, want := range []agreepb.JoinState{
		agreepb.JoinState_JOIN_STATE_ACCEPTED, agreepb.JoinState_JOIN_STATE_ACCEPTED, // and again
	} {
		j := &joinCall{
			request: &agreepb.JoinRequest{Id: c.id.Proto(), Address: "a:2"},
			reply:   make(chan *agreepb.JoinReply, 1),
		}
		c.answerJoin(j)
		assert.Equal(t, (<-j.reply).State, want)
		step(t, c)
	}
	assert.Assert(t, c.isMember() && c.node.Status().Voter)
	assert.Equal(t, len(c.node.Status().Membership.Members), 1)
}
