package agree

// progressState is the mode in which the leader replicates to a member.
type progressState uint8

const (
	// probing sends one append and waits for its reply or the next heartbeat.
	probing progressState = iota
	// streaming pipelines appends without waiting for replies.
	streaming
	// restoring waits for the reply to a snapshot.
	restoring
)

// progress is the leader's view of one member's log. Invariant: match < next.
type progress struct {
	state progressState
	// match is the last index known to be durable at the member.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// paused holds back appends in the probing state.
	paused bool
	// inflight counts appends with entries sent since the last reply.
	inflight int
	// ticksSinceReply counts ticks since the member's last reply.
	ticksSinceReply int
	// hasReplied is set once the member has replied to this leader.
	hasReplied bool
	// readRound is the newest read round that the member has confirmed.
	readRound uint64
	// heartbeatsSinceSnapshot counts heartbeats since the snapshot was sent.
	heartbeatsSinceSnapshot int
}

// recordAccepted handles a reply that confirms the log up to index.
func (p *progress) recordAccepted(index uint64) {
	if p.state == restoring && index < p.next-1 {
		return
	}
	p.inflight = 0
	p.paused = false
	if index > p.match {
		p.match = index
	}
	p.next = max(p.next, p.match+1)
	p.state = streaming
}

// recordRefused handles a reply that says the member has no matching entry at
// prev. The logs may match at hint, as refusalHint chose it.
func (p *progress) recordRefused(prev, hint uint64) {
	if prev <= p.match || p.state == restoring {
		return
	}
	if p.state == probing && prev != p.next-1 {
		return
	}
	p.state = probing
	p.inflight = 0
	p.paused = false
	p.next = max(p.match+1, min(prev, hint+1))
}
