package agree

// pendingRead waits until a majority confirms that this node still leads.
type pendingRead struct {
	token uint64
	index uint64
	round uint64
}

// ReadIndex asks for the index at which a read is current. The answer comes
// as a ReadResult once a majority of voters has confirmed the leader after
// this call. Errors, each without effect: *NotLeaderError, *NotReadyError.
func (n *Node) ReadIndex(token uint64) error {
	if n.role != Leader {
		return n.notLeader()
	}
	if n.log.commit < n.termStart {
		return &NotReadyError{Term: n.term}
	}
	n.round++
	n.reads = append(n.reads, pendingRead{token: token, index: n.log.commit, round: n.round})
	for _, id := range n.peers() {
		n.sendRound(id)
	}
	n.confirmReads()
	return nil
}

// sendRound sends an empty append with the newest round and commit index.
func (n *Node) sendRound(id ID) {
	prev := max(n.progress[id].match, n.log.snapshot.Index)
	n.sendEntries(id, prev, nil)
}

// confirmReads answers the reads that a majority has confirmed.
func (n *Node) confirmReads() {
	voters := n.voters()
	for len(n.reads) > 0 {
		first := n.reads[0]
		confirmed := 0
		for _, id := range voters {
			if id == n.cfg.Self || n.progress[id].round >= first.round {
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

// refuseReads answers the reads that can no longer be confirmed.
func (n *Node) refuseReads() {
	for _, r := range n.reads {
		n.readResults = append(n.readResults, ReadResult{Token: r.token, Refused: true})
	}
	n.reads = nil
}
