package fleetctl

import (
	"context"
	"slices"
	"time"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/controlgroup/agree"
	"hemlockmast/internal/controlgroup/control"
	"hemlockmast/internal/fleet/fleethub"
	"hemlockmast/internal/fleet/fleetrpc"
	"hemlockmast/internal/fleet/leaving"
	"hemlockmast/internal/fleet/registry"
	"hemlockmast/internal/shared/boottime"
	"hemlockmast/internal/shared/wait"
)

const (
	// peerRetryDelay is the delay after a failed poll of another control daemon.
	peerRetryDelay = 300 * time.Millisecond
	// peerTimeoutMargin is how much longer than its requested wait a poll of another control
	// daemon may take.
	peerTimeoutMargin = 700 * time.Millisecond
	// peerListInterval is the interval at which the list of control daemons is checked.
	peerListInterval = 500 * time.Millisecond
	// maxVoterSilence is how long a voter may be silent before it counts as lost: longer than
	// an election.
	maxVoterSilence = time.Second
)

// followAllPeers follows every other control daemon, so that each daemon learns of the
// announcements that endpoints send to another one.
func (n *Node) followAllPeers(ctx context.Context) {
	following := make(map[string]context.CancelFunc)
	ticker := time.NewTicker(peerListInterval)
	defer ticker.Stop()
	for {
		var addresses []string
		for _, d := range n.ControlDaemons() {
			addresses = append(addresses, d.Address)
		}
		for _, address := range addresses {
			if address == n.cfg.Address || following[address] != nil {
				continue
			}
			peerCtx, cancel := context.WithCancel(ctx)
			following[address] = cancel
			go n.followPeer(peerCtx, address)
		}
		for address, cancel := range following {
			if !slices.Contains(addresses, address) {
				cancel()
				delete(following, address)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// followPeer polls one control daemon until ctx ends and merges what it reports.
func (n *Node) followPeer(ctx context.Context, address string) {
	request := &fleetpb.FollowRequest{Daemon: n.cfg.Name, FailureDomain: n.cfg.FailureDomain}
	client := fleetrpc.NewClient(n.http, address)
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, time.Duration(request.WaitMs)*time.Millisecond+peerTimeoutMargin)
		sentAt := boottime.Now()
		answer, err := client.Follow(callCtx, request)
		cancel()
		if err != nil {
			if n.setFollowed(address, false) {
				n.log.Info("other control daemon lost", "control", address, "error", err.Error())
				n.watcher.forgetAnswers()
			}
			n.hub.SetRemoteEntries(address, nil)
			request.EntriesDigest = 0
			wait.For(ctx, peerRetryDelay)
			continue
		}
		n.setFollowed(address, true)
		request.Source, request.Version = answer.Source, answer.Version
		request.WaitMs = uint32(fleethub.MaxPeerWait.Milliseconds())
		if answer.EntriesDigest != request.EntriesDigest {
			n.hub.SetRemoteEntries(address, answer.EntryDaemons)
			request.EntriesDigest = answer.EntriesDigest
		}
		n.mu.Lock()
		n.peerDomains[address] = answer.FailureDomain
		n.mu.Unlock()
		for _, e := range answer.Endpoints {
			if err := registry.Check(e); err != nil {
				// A control daemon of another version may accept more.
				n.log.Info("endpoint of another control daemon ignored", "control", address, "error", err.Error())
				continue
			}
			n.logChanges(n.hub.MergeFromPeer(e).Records)
		}
		leaving.AddTransit(answer, sentAt, boottime.Now())
		n.hub.RaiseAges(answer.Leaving)
		if !answer.Current {
			wait.For(ctx, peerRetryDelay)
		}
	}
	n.setFollowed(address, false)
	n.hub.SetRemoteEntries(address, nil)
}

// setFollowed records whether another control daemon answers this one's polls, and returns
// whether it did before.
func (n *Node) setFollowed(address string, isFollowed bool) (wasFollowed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	wasFollowed = n.followedPeers[address]
	if isFollowed {
		n.followedPeers[address] = true
	} else {
		delete(n.followedPeers, address)
	}
	return wasFollowed
}

// unheardPeers returns the number of other control daemons that do not answer this one's polls.
// Which entries follow them is not known.
func (n *Node) unheardPeers() int {
	unheard := 0
	peers := n.ControlDaemons()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range peers {
		if d.Address != n.cfg.Address && !n.followedPeers[d.Address] {
			unheard++
		}
	}
	return unheard
}

// lossWatch logs when the control group stops and starts again to bear a further loss.
type lossWatch struct{ isExposed bool }

// update handles a new status of this member.
func (l *lossWatch) update(n *Node, st control.Status) {
	n.cfg.Metrics.Votes(st.Voter)
	if st.Role != agree.Leader {
		n.cfg.Metrics.LossesUnknown()
		l.isExposed = false
		return
	}
	borne, silent := lossesBorne(st)
	n.cfg.Metrics.LossesBorne(borne, silent)
	isExposed := borne == 0
	switch {
	case isExposed && !l.isExposed:
		n.log.Info("control group bears no further loss", "voters", len(agree.Voters(st.Membership)), "silent", formatSilent(silent))
	case !isExposed && l.isExposed:
		n.log.Info("control group bears a loss again", "voters", len(agree.Voters(st.Membership)), "losses", borne)
	}
	l.isExposed = isExposed
}

// lossesBorne returns, from the leader's status, how many more voters may be lost before
// the rest is no majority, and for how long each silent voter has not replied.
func lossesBorne(st control.Status) (losses int, silent map[string]time.Duration) {
	voters := agree.Voters(st.Membership)
	silent = make(map[string]time.Duration)
	for _, id := range voters {
		if since := time.Duration(st.TicksSinceReply[id]) * tick; id != st.Self && since > maxVoterSilence {
			silent[id.String()] = since
		}
	}
	majority := len(voters)/2 + 1
	return max(0, len(voters)-len(silent)-majority), silent
}

// formatSilent returns the silent voters for a log line.
func formatSilent(silent map[string]time.Duration) map[string]string {
	text := make(map[string]string, len(silent))
	for voter, since := range silent {
		text[voter] = since.String()
	}
	return text
}
