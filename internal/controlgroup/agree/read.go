package agree

// pendingRead is a ReadIndex call that waits until a majority confirms that this
// node still leads.
type pendingRead struct {
	token     uint64
	index     uint64
	readRound uint64
}

// ReadIndex requests the index that a linearizable read must wait for. The
// result is delivered as a ReadResult after a majority of voters has confirmed
// the leader since this call. A call that returns an error has no effect.
// Errors: *NotLeaderError, *NotReadyError.
func (n *Node) ReadIndex(token uint64) error {
	if n.role != Leader {
		return n.notLeader()
	}
	if n.log.commit < n.termStart {
		return &NotReadyError{Term: n.term}
	}
	n.readRound++
	n.reads = append(n.reads, pendingRead{token: token, index: n.log.commit, readRound: n.readRound})
	for _, id := range n.peers() {
		n.sendEmptyAppend(id)
	}
	n.confirmReads()
	return nil
}

// sendEmptyAppend sends an append without entries that carries the newest read
// round and commit index.
func (n *Node) sendEmptyAppend(id ID) {
	prev := max(n.progress[id].match, n.log.snapshot.Index)
	n.sendEntries(id, prev, nil)
}

// confirmReads delivers the results of the reads that a majority has confirmed.
func (n *Node) confirmReads() {
	voters := n.voters()
	for len(n.reads) > 0 {
		first := n.reads[0]
		confirmed := 0
		for _, id := range voters {
			if id == n.cfg.Self || n.progress[id].readRound >= first.readRound {
				confirmed++
			}
		}
		if confirmed < quorum(len(voters)) {
			return
		}
		n.readResults = append(n.readResults, ReadResult{Token: first.token, Index: first.index})
		n.reads = n.reads[1:]
	}
}

// refuseReads refuses all pending reads, because this node no longer leads.
func (n *Node) refuseReads() {
	for _, r := range n.reads {
		n.readResults = append(n.readResults, ReadResult{Token: r.token, Refused: true})
	}
	n.reads = nil
}
