package agree

// progressState says how the leader sends to a member.
type progressState uint8

const (
	// probing sends one append and waits for its answer or the next heartbeat.
	probing progressState = iota
	// streaming sends appends ahead of their answers.
	streaming
	// restoring waits for the answer to a snapshot.
	restoring
)

// progress is what the leader knows of one member. Invariant: match < next.
type progress struct {
	state progressState
	// match is the last index known to be durable at the member.
	match uint64
	next  uint64
	// paused holds back appends in the probing state.
	paused bool
	// inflight counts appends with entries sent since the last answer.
	inflight int
	// silence counts ticks since the member's last answer.
	silence int
	// round is the newest read round the member confirmed.
	round uint64
	// sinceSnapshot counts heartbeats since the snapshot was sent.
	sinceSnapshot int
}

// accepted records that the member holds the log up to index.
func (p *progress) accepted(index uint64) {
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

// refused records that the member holds no match for the entry at prev and
// that its log ends at hint.
func (p *progress) refused(prev, hint uint64) {
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
