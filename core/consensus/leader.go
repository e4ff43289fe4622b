package consensus

// peerState is how a leader sends to a replica.
type peerState uint8

const (
	// probing sends one message and waits for where the logs agree.
	probing peerState = iota
	// streaming sends without waiting, up to the window.
	streaming
	// installing sends a snapshot in chunks.
	installing
)

// peer is a leader's knowledge of another replica.
type peer struct {
	state peerState
	match uint64
	next  uint64
	// inflight holds the last index of each unanswered message.
	inflight []uint64
	// paused says that a probe is unanswered.
	paused bool
	// heard is when it last answered, progressed when that last moved match or
	// the snapshot on, sent when the last chunk left.
	heard      uint64
	progressed uint64
	// answered is the newest heartbeat it answered.
	answered uint64
	// installMeta and offset are the snapshot's position.
	installMeta Meta
	offset      uint64
}

// heartbeatRound is when a heartbeat left.
type heartbeatRound struct {
	sequence uint64
	at       uint64
}

// pendingRead waits for a heartbeat round to be answered by a quorum.
type pendingRead struct {
	id       uint64
	from     ID
	index    uint64
	sequence uint64
}

// leading is a leader's own state; it is empty on others.
type leading struct {
	peers    map[ID]*peer
	first    uint64
	sequence uint64
	rounds   []heartbeatRound
	beatAt   uint64
	// leaseFrom is when the newest round left that a quorum answered.
	leaseFrom uint64
	leased    bool
	// leaseOff says that a successor may have been asked to start an election,
	// which does not wait for the lease.
	leaseOff bool
	reads    []pendingRead
	// waiting are reads that came before the term's first commit.
	waiting     []pendingRead
	uncommitted int
	transferee  ID
	transferEnd uint64
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.opt.ID
	n.hard.Leader = n.opt.ID
	n.lead = leading{peers: map[ID]*peer{}, first: n.log.last() + 1, beatAt: n.now}
	n.syncPeers()
	n.appendOwn(EntryEmpty, [][]byte{nil})
	n.broadcastAppend()
	n.heartbeat()
}

// syncPeers makes the peers fit the members.
func (n *Node) syncPeers() {
	old := n.lead.peers
	n.lead.peers = map[ID]*peer{}
	for _, m := range n.conf.members() {
		if m.ID == n.opt.ID {
			continue
		}
		p := old[m.ID]
		if p == nil {
			p = &peer{next: n.log.last() + 1, heard: n.now, progressed: n.now}
		}
		n.lead.peers[m.ID] = p
	}
}

// eachPeer visits the other members in their order, so that a node does the
// same in each run.
func (n *Node) eachPeer(f func(ID, *peer)) {
	for _, m := range n.conf.members() {
		if p := n.lead.peers[m.ID]; p != nil {
			f(m.ID, p)
		}
	}
}

func (n *Node) tickLeader() {
	heard := n.conf.quorumValue(func(id ID) uint64 {
		if p := n.lead.peers[id]; p != nil {
			return p.heard
		}
		return n.now
	})
	if heard+n.opt.ElectionTicks <= n.now {
		n.follow(n.hard.Term, 0)
		return
	}
	if n.lead.transferee != 0 && n.now >= n.lead.transferEnd {
		n.lead.transferee = 0
	}
	if n.now >= n.lead.beatAt+n.opt.HeartbeatTicks {
		n.heartbeat()
	}
}

func (n *Node) heartbeat() {
	n.lead.sequence++
	n.lead.beatAt = n.now
	n.lead.rounds = append(n.lead.rounds, heartbeatRound{sequence: n.lead.sequence, at: n.now})
	n.eachPeer(func(id ID, p *peer) {
		n.send(Message{Kind: Heartbeat, To: id, Commit: min(n.log.commit, p.match), Sequence: n.lead.sequence})
	})
	n.settleRounds()
}

// settleRounds renews the lease and confirms reads by the newest round that a
// quorum answered.
func (n *Node) settleRounds() {
	done := n.conf.quorumValue(func(id ID) uint64 {
		if p := n.lead.peers[id]; p != nil {
			return p.answered
		}
		return n.lead.sequence
	})
	for len(n.lead.rounds) > 0 && n.lead.rounds[0].sequence <= done {
		n.lead.leaseFrom = n.lead.rounds[0].at
		n.lead.leased = true
		n.lead.rounds = n.lead.rounds[1:]
	}
	kept := n.lead.reads[:0]
	for _, r := range n.lead.reads {
		if r.sequence > done {
			kept = append(kept, r)
			continue
		}
		n.answerRead(r)
	}
	n.lead.reads = kept
}

// Settled tells whether a leader has committed an entry of its own term, and
// with it all that came before.
func (n *Node) Settled() bool { return n.role == Leader && n.committedInTerm() }

func (n *Node) committedInTerm() bool { return n.log.commit >= n.lead.first }

// Leased tells whether this node is the leader and no other can be, by the
// clocks' drift bound, at the time last given to Advance.
func (n *Node) Leased() bool {
	return n.role == Leader && n.lead.leased && !n.lead.leaseOff && n.committedInTerm() &&
		n.now < n.lead.leaseFrom+n.opt.LeaseTicks
}

// Read asks for an index at which a read sees all that was committed before
// this call; it comes in Effects.Reads under the same id. It is lost where
// leadership changes meanwhile: the caller retries.
func (n *Node) Read(id uint64) error {
	if n.role == Leader {
		n.leaderRead(pendingRead{id: id, from: n.opt.ID})
		return nil
	}
	if n.leader == 0 {
		return &NotLeaderError{}
	}
	n.send(Message{Kind: ReadIndex, To: n.leader, Sequence: id})
	return nil
}

func (n *Node) leaderRead(r pendingRead) {
	if !n.committedInTerm() {
		n.lead.waiting = append(n.lead.waiting, r)
		return
	}
	r.index = n.log.commit
	if n.Leased() {
		n.answerRead(r)
		return
	}
	r.sequence = n.lead.sequence + 1
	n.lead.reads = append(n.lead.reads, r)
	n.heartbeat()
}

func (n *Node) answerRead(r pendingRead) {
	if r.from == n.opt.ID {
		n.reads = append(n.reads, Read{ID: r.id, Index: r.index})
		return
	}
	n.send(Message{Kind: ReadIndexReply, To: r.from, Sequence: r.id, Index: r.index})
}

func (n *Node) mayPropose() error {
	if n.role != Leader || n.lead.transferee != 0 {
		return &NotLeaderError{Leader: n.leader}
	}
	if n.lead.uncommitted > n.opt.UncommittedBytes {
		return &BusyError{Bytes: n.lead.uncommitted}
	}
	return nil
}

// Propose appends commands and returns the first one's index and the term. A
// command is committed once the entry at its index is, with that term.
func (n *Node) Propose(commands [][]byte) (index, term uint64, err error) {
	if err := n.mayPropose(); err != nil {
		return 0, 0, err
	}
	index = n.appendOwn(EntryCommand, commands)
	n.broadcastAppend()
	return index, n.hard.Term, nil
}

func (n *Node) appendOwn(kind EntryKind, list [][]byte) uint64 {
	first := n.log.last() + 1
	for _, data := range list {
		e := Entry{Term: n.hard.Term, Index: n.log.last() + 1, Kind: kind, Data: data}
		n.log.entries = append(n.log.entries, e)
		n.lead.uncommitted += len(data)
		n.conf.take([]Entry{e})
	}
	return first
}

func (n *Node) advanceCommit() {
	index := n.conf.quorumValue(func(id ID) uint64 {
		if p := n.lead.peers[id]; p != nil {
			return p.match
		}
		return n.log.persisted
	})
	if index <= n.log.commit || !n.log.matches(index, n.hard.Term) {
		return
	}
	for _, e := range n.log.slice(n.log.commit+1, index, int(^uint(0)>>1)) {
		n.lead.uncommitted -= len(e.Data)
	}
	n.lead.uncommitted = max(n.lead.uncommitted, 0)
	n.log.commit = index
	waiting := n.lead.waiting
	if n.committedInTerm() {
		n.lead.waiting = nil
		for _, r := range waiting {
			n.leaderRead(r)
		}
	}
	n.eachPeer(n.sendCommit)
}

// Transfer hands leadership to a voter once it has the whole log. Proposals
// are refused meanwhile; it is given up after an election timeout.
func (n *Node) Transfer(to ID) error {
	if err := n.mayPropose(); err != nil {
		return err
	}
	p := n.lead.peers[to]
	if p == nil || !n.conf.voter(to) {
		return &ChangeError{Reason: "the successor is not a voter", Remedy: "name another voter"}
	}
	n.lead.transferee = to
	n.lead.transferEnd = n.now + n.opt.ElectionTicks
	n.lead.leaseOff = true
	n.tryTransfer(to, p)
	return nil
}

func (n *Node) tryTransfer(to ID, p *peer) {
	if n.lead.transferee == to && p.match == n.log.last() {
		n.send(Message{Kind: TimeoutNow, To: to})
	}
}
