package consensus

// mustNotVote reports whether this node must not help to elect another leader:
// it is the leader, or a leader contacted it less than an election timeout ago
// and may still hold a lease.
func (n *Node) mustNotVote() bool { return n.role == Leader || n.now < n.noVoteUntil }

// liftVoteRestriction allows this node to vote at once if the last known leader
// itself requests votes in a newer term: it does not lead any more, and its
// lease ended when it stepped down or stopped.
func (n *Node) liftVoteRestriction(m Message) {
	if (m.Kind == PreVote || m.Kind == Vote) && m.From == n.hard.Leader && n.role != Leader {
		n.noVoteUntil = n.now
	}
}

// campaign starts an election. Unless force is set, by a leadership transfer, a
// pre-vote round first checks whether the election can be won, so that a
// partitioned replica does not raise the term.
func (n *Node) campaign(force bool) {
	n.resetElectionDeadline()
	if !n.membership.isVoter(n.options.ID) {
		return
	}
	n.role = Candidate
	n.leader = 0
	n.votes = map[ID]bool{}
	n.isPreVote = !force
	if n.isPreVote {
		n.requestVotes(Message{Kind: PreVote, Term: n.hard.Term + 1})
		return
	}
	n.startElection(force)
}

func (n *Node) startElection(force bool) {
	n.isPreVote = false
	n.votes = map[ID]bool{}
	n.hard = Hard{Term: n.hard.Term + 1, VotedFor: n.options.ID}
	n.resetElectionDeadline()
	n.requestVotes(Message{Kind: Vote, Force: force})
}

func (n *Node) requestVotes(m Message) {
	m.Index = n.log.lastIndex()
	m.LogTerm = n.log.lastTerm()
	for _, to := range n.membership.members() {
		if !to.Learner && to.ID != n.options.ID {
			m.To = to.ID
			n.send(m)
		}
	}
	n.recordVote(n.options.ID, true)
}

func (n *Node) handleVoteRequest(m Message) {
	reply := Message{Kind: VoteReply, To: m.From}
	canVote := n.hard.VotedFor == 0 || n.hard.VotedFor == m.From
	if n.mustNotVote() && !m.Force {
		return
	}
	if m.Kind == PreVote {
		reply.Kind = PreVoteReply
		canVote = m.Term > n.hard.Term
	}
	isUpToDate := m.LogTerm > n.log.lastTerm() || (m.LogTerm == n.log.lastTerm() && m.Index >= n.log.lastIndex())
	reply.Reject = !canVote || !isUpToDate
	if m.Kind == PreVote && !reply.Reject {
		reply.Term = m.Term
	}
	if m.Kind == Vote && !reply.Reject {
		n.hard.VotedFor = m.From
		n.resetElectionDeadline()
	}
	n.send(reply)
}

func (n *Node) handleVoteReply(m Message) {
	if n.role != Candidate || n.isPreVote != (m.Kind == PreVoteReply) {
		return
	}
	if m.Kind == PreVoteReply && !m.Reject && m.Term != n.hard.Term+1 {
		return
	}
	n.recordVote(m.From, !m.Reject)
}

func (n *Node) recordVote(from ID, granted bool) {
	n.votes[from] = granted
	votes := 0
	for _, m := range n.membership.members() {
		if !m.Learner && n.votes[m.ID] {
			votes++
		}
	}
	if votes < n.membership.quorumSize() {
		return
	}
	if n.isPreVote {
		n.startElection(false)
		return
	}
	n.becomeLeader()
}
