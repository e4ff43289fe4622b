package consensus

// bound tells whether this node may not help to replace a leader: it is one, or
// it heard from one less than an election timeout ago.
func (n *Node) bound() bool { return n.role == Leader || n.now < n.promised }

// release ends the promise to a leader that asks for votes in a newer term: it
// leads no more, and its lease ended when it stepped down or stopped.
func (n *Node) release(m Message) {
	if (m.Kind == PreVote || m.Kind == Vote) && m.From == n.hard.Leader && n.role != Leader {
		n.promised = n.now
	}
}

// campaign starts an election. Unless the leader asked for it, a round of
// pre-votes finds out first whether it could be won, so that a replica cut off
// does not raise the term.
func (n *Node) campaign(force bool) {
	n.resetDeadline()
	if !n.conf.voter(n.opt.ID) {
		return
	}
	n.role = Candidate
	n.leader = 0
	n.votes = map[ID]bool{}
	n.preVote = !force
	if n.preVote {
		n.ask(Message{Kind: PreVote, Term: n.hard.Term + 1})
		return
	}
	n.elect(force)
}

func (n *Node) elect(force bool) {
	n.preVote = false
	n.votes = map[ID]bool{}
	n.hard = Hard{Term: n.hard.Term + 1, Vote: n.opt.ID}
	n.resetDeadline()
	n.ask(Message{Kind: Vote, Force: force})
}

func (n *Node) ask(m Message) {
	m.Index = n.log.last()
	m.LogTerm = n.log.lastTerm()
	for _, to := range n.conf.members() {
		if !to.Learner && to.ID != n.opt.ID {
			m.To = to.ID
			n.send(m)
		}
	}
	n.count(n.opt.ID, true)
}

func (n *Node) onVote(m Message) {
	reply := Message{Kind: VoteReply, To: m.From}
	free := n.hard.Vote == 0 || n.hard.Vote == m.From
	if n.bound() && !m.Force {
		return
	}
	if m.Kind == PreVote {
		reply.Kind = PreVoteReply
		free = m.Term > n.hard.Term
	}
	current := m.LogTerm > n.log.lastTerm() || (m.LogTerm == n.log.lastTerm() && m.Index >= n.log.last())
	reply.Reject = !free || !current
	if m.Kind == PreVote && !reply.Reject {
		reply.Term = m.Term
	}
	if m.Kind == Vote && !reply.Reject {
		n.hard.Vote = m.From
		n.resetDeadline()
	}
	n.send(reply)
}

func (n *Node) onVoteReply(m Message) {
	if n.role != Candidate || n.preVote != (m.Kind == PreVoteReply) {
		return
	}
	if m.Kind == PreVoteReply && !m.Reject && m.Term != n.hard.Term+1 {
		return
	}
	n.count(m.From, !m.Reject)
}

func (n *Node) count(from ID, granted bool) {
	n.votes[from] = granted
	yes := 0
	for _, m := range n.conf.members() {
		if !m.Learner && n.votes[m.ID] {
			yes++
		}
	}
	if yes < n.conf.quorum() {
		return
	}
	if n.preVote {
		n.elect(false)
		return
	}
	n.becomeLeader()
}
