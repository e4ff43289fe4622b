package consensus

// peerState is the way in which a leader replicates to a peer.
type peerState uint8

const (
	// probing sends one message at a time until the matching index is known.
	probing peerState = iota
	// streaming sends without waiting for replies, up to the limit of
	// unanswered messages.
	streaming
	// installing sends a snapshot in chunks.
	installing
)

// peer is a leader's replication progress for another replica.
type peer struct {
	state      peerState
	matchIndex uint64
	nextIndex  uint64
	// inflight holds the last entry index of each unanswered Append message.
	inflight []uint64
	// isPaused is set while a probe is unanswered.
	isPaused bool
	// lastReplyAt is the tick of the last reply. lastProgressAt is the tick of
	// the last reply that advanced matchIndex or the snapshot transfer, or of
	// the last resend.
	lastReplyAt    uint64
	lastProgressAt uint64
	// ackedHeartbeat is the sequence of the newest heartbeat that the peer
	// answered.
	ackedHeartbeat uint64
	// stopNoticeAt is the tick of the last StopNotice, if hasStopNotice is set.
	stopNoticeAt  uint64
	hasStopNotice bool
	// installMeta and installOffset are the progress of a snapshot transfer.
	installMeta   SnapshotMeta
	installOffset uint64
}

// heartbeatRound records the tick at which a heartbeat was sent.
type heartbeatRound struct {
	sequence uint64
	sentAt   uint64
}

// pendingRead is a read that waits for a quorum to answer a heartbeat round.
type pendingRead struct {
	id       uint64
	from     ID
	index    uint64
	sequence uint64
}

// leaderState is the state that only a leader has; it is empty on other nodes.
type leaderState struct {
	peers map[ID]*peer
	// firstIndex is the index of the first entry of the leader's term.
	firstIndex        uint64
	heartbeatSequence uint64
	heartbeatRounds   []heartbeatRound
	lastHeartbeatAt   uint64
	// resumedAt is the tick at which this node went on after it was held up.
	resumedAt uint64
	// leaseStart is when the newest round that a quorum answered was sent.
	leaseStart uint64
	hasLease   bool
	// leaseDisabled is set once a successor may have been told to start an
	// election, which does not wait for the lease to expire.
	leaseDisabled bool
	pendingReads  []pendingRead
	// isRoundUnsent is set from the begin of a heartbeat round for a read until the
	// caller takes its messages.
	isRoundUnsent bool
	// deferredReads arrived before the first commit of the term.
	deferredReads    []pendingRead
	uncommittedBytes int
	transferee       ID
	transferDeadline uint64
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.options.ID
	n.hard.Leader = n.options.ID
	n.leaderState = leaderState{peers: map[ID]*peer{}, firstIndex: n.log.lastIndex() + 1, lastHeartbeatAt: n.now}
	n.updatePeers()
	n.backdatePreviousLeader()
	n.appendEntries(EntryEmpty, [][]byte{nil})
	n.broadcastAppend()
	n.broadcastHeartbeat()
}

// backdatePreviousLeader counts the silence of the previous leader from when this
// node last heard from it, since it is known to be silent before the other
// members are.
func (n *Node) backdatePreviousLeader() {
	if p := n.leaderState.peers[n.lastLeader]; p != nil && !n.votes[n.lastLeader] {
		p.lastReplyAt = n.lastLeaderContact
	}
}

// updatePeers adds and removes peers to match the member list.
func (n *Node) updatePeers() {
	old := n.leaderState.peers
	n.leaderState.peers = map[ID]*peer{}
	for _, m := range n.membership.members() {
		if m.ID == n.options.ID {
			continue
		}
		p := old[m.ID]
		if p == nil {
			p = &peer{nextIndex: n.log.lastIndex() + 1, lastReplyAt: n.now, lastProgressAt: n.now}
		}
		n.leaderState.peers[m.ID] = p
	}
}

// forEachPeer visits the other members in list order, which keeps the node
// deterministic.
func (n *Node) forEachPeer(f func(ID, *peer)) {
	for _, m := range n.membership.members() {
		if p := n.leaderState.peers[m.ID]; p != nil {
			f(m.ID, p)
		}
	}
}

// heardAt returns the tick from which the silence of a peer counts: its last
// reply, or when this node went on after it was held up, since the peer had
// nothing to reply to before.
func (n *Node) heardAt(p *peer) uint64 { return max(p.lastReplyAt, n.leaderState.resumedAt) }

// maxSilenceFactor is the time without replies after which a leader steps down
// even if it is held up again and again, in election timeouts.
const maxSilenceFactor = 3

// isQuorumSilent reports whether too few members for a quorum have replied for an
// election timeout.
func (n *Node) isQuorumSilent() bool {
	silentFor := func(since func(*peer) uint64) uint64 {
		return n.now - n.membership.quorumValue(func(id ID) uint64 {
			if p := n.leaderState.peers[id]; p != nil {
				return since(p)
			}
			return n.now
		})
	}
	return silentFor(n.heardAt) >= n.options.ElectionTimeoutTicks ||
		silentFor(func(p *peer) uint64 { return p.lastReplyAt }) >= maxSilenceFactor*n.options.ElectionTimeoutTicks
}

// tickLeader sends heartbeats, and steps down if no quorum replies.
func (n *Node) tickLeader() {
	if n.isQuorumSilent() {
		n.becomeFollower(n.hard.Term, 0)
		return
	}
	if n.leaderState.transferee != 0 && n.now >= n.leaderState.transferDeadline {
		n.leaderState.transferee = 0
	}
	if n.now >= n.leaderState.lastHeartbeatAt+n.options.HeartbeatIntervalTicks {
		n.broadcastHeartbeat()
	}
}

func (n *Node) broadcastHeartbeat() {
	n.leaderState.heartbeatSequence++
	n.leaderState.lastHeartbeatAt = n.now
	n.leaderState.heartbeatRounds = append(n.leaderState.heartbeatRounds, heartbeatRound{sequence: n.leaderState.heartbeatSequence, sentAt: n.now})
	n.forEachPeer(func(id ID, p *peer) {
		n.send(Message{Kind: Heartbeat, To: id, Commit: min(n.log.commitIndex, p.matchIndex), Sequence: n.leaderState.heartbeatSequence})
	})
	n.handleHeartbeatAcks()
}

// handleHeartbeatAcks extends the lease and confirms reads up to the newest
// round that a quorum answered.
func (n *Node) handleHeartbeatAcks() {
	ackedSequence := n.membership.quorumValue(func(id ID) uint64 {
		if p := n.leaderState.peers[id]; p != nil {
			return p.ackedHeartbeat
		}
		return n.leaderState.heartbeatSequence
	})
	for len(n.leaderState.heartbeatRounds) > 0 && n.leaderState.heartbeatRounds[0].sequence <= ackedSequence {
		n.leaderState.leaseStart = n.leaderState.heartbeatRounds[0].sentAt
		n.leaderState.hasLease = true
		n.leaderState.heartbeatRounds = n.leaderState.heartbeatRounds[1:]
	}
	remaining := n.leaderState.pendingReads[:0]
	for _, r := range n.leaderState.pendingReads {
		if r.sequence > ackedSequence {
			remaining = append(remaining, r)
			continue
		}
		n.completeRead(r)
	}
	n.leaderState.pendingReads = remaining
}

// HasCommittedInTerm reports whether this node is the leader and has committed
// an entry of its own term, and with it all earlier entries.
func (n *Node) HasCommittedInTerm() bool { return n.role == Leader && n.committedInTerm() }

func (n *Node) committedInTerm() bool { return n.log.commitIndex >= n.leaderState.firstIndex }

// HasLease reports whether this node is the leader and, within the bound on
// clock drift, no other node can be leader at the time last passed to Advance.
func (n *Node) HasLease() bool {
	return n.role == Leader && n.leaderState.hasLease && !n.leaderState.leaseDisabled && n.committedInTerm() &&
		n.now < n.leaderState.leaseStart+n.options.LeaseDurationTicks
}

// Read requests an index at which a read is linearizable: it sees everything
// committed before this call. The index is returned in Effects.Reads under the
// same id. The request is lost if leadership changes, so the caller must retry
// it. Read returns a *NotLeaderError if no leader is known.
func (n *Node) Read(id uint64) error {
	if n.role == Leader {
		n.startRead(pendingRead{id: id, from: n.options.ID})
		return nil
	}
	if n.leader == 0 {
		return &NotLeaderError{}
	}
	n.send(Message{Kind: ReadIndex, To: n.leader, Sequence: id})
	return nil
}

func (n *Node) startRead(r pendingRead) {
	if !n.committedInTerm() {
		n.leaderState.deferredReads = append(n.leaderState.deferredReads, r)
		return
	}
	r.index = n.log.commitIndex
	if n.HasLease() {
		n.completeRead(r)
		return
	}
	// A round that is not sent yet confirms all reads that arrive until then.
	if !n.leaderState.isRoundUnsent {
		n.leaderState.isRoundUnsent = true
		n.broadcastHeartbeat()
	}
	r.sequence = n.leaderState.heartbeatSequence
	n.leaderState.pendingReads = append(n.leaderState.pendingReads, r)
	n.handleHeartbeatAcks()
}

func (n *Node) completeRead(r pendingRead) {
	if r.from == n.options.ID {
		n.reads = append(n.reads, Read{ID: r.id, Index: r.index})
		return
	}
	n.send(Message{Kind: ReadIndexReply, To: r.from, Sequence: r.id, Index: r.index})
}

func (n *Node) checkCanPropose() error {
	if n.role != Leader || n.leaderState.transferee != 0 {
		return &NotLeaderError{Leader: n.leader}
	}
	if n.leaderState.uncommittedBytes > n.options.MaxUncommittedBytes {
		return &BusyError{Bytes: n.leaderState.uncommittedBytes}
	}
	return nil
}

// Propose appends commands and returns the index of the first one and the term.
// A command is committed once the entry at its index is committed with that
// term. It returns a *NotLeaderError or a *BusyError if nothing was appended.
func (n *Node) Propose(commands [][]byte) (index, term uint64, err error) {
	if err := n.checkCanPropose(); err != nil {
		return 0, 0, err
	}
	index = n.appendEntries(EntryCommand, commands)
	n.broadcastAppend()
	return index, n.hard.Term, nil
}

func (n *Node) appendEntries(kind EntryKind, list [][]byte) uint64 {
	first := n.log.lastIndex() + 1
	for _, data := range list {
		e := Entry{Term: n.hard.Term, Index: n.log.lastIndex() + 1, Kind: kind, Data: data}
		n.log.entries = append(n.log.entries, e)
		n.leaderState.uncommittedBytes += len(data)
		n.membership.recordChanges([]Entry{e})
	}
	return first
}

func (n *Node) advanceCommit() {
	index := n.membership.quorumValue(func(id ID) uint64 {
		if p := n.leaderState.peers[id]; p != nil {
			return p.matchIndex
		}
		return n.log.persisted
	})
	if index <= n.log.commitIndex || !n.log.matches(index, n.hard.Term) {
		return
	}
	for _, e := range n.log.slice(n.log.commitIndex+1, index, int(^uint(0)>>1)) {
		n.leaderState.uncommittedBytes -= len(e.Data)
	}
	n.leaderState.uncommittedBytes = max(n.leaderState.uncommittedBytes, 0)
	n.log.commitIndex = index
	deferred := n.leaderState.deferredReads
	if n.committedInTerm() {
		n.leaderState.deferredReads = nil
		for _, r := range deferred {
			n.startRead(r)
		}
	}
	n.forEachPeer(n.sendCommit)
}

// Transfer passes leadership to a voter as soon as it has the whole log.
// Proposals are rejected meanwhile. The transfer is abandoned after an election
// timeout.
func (n *Node) Transfer(to ID) error {
	if err := n.checkCanPropose(); err != nil {
		return err
	}
	p := n.leaderState.peers[to]
	if p == nil || !n.membership.isVoter(to) {
		return &ChangeError{Reason: "the successor is not a voter", Remedy: "name another voter"}
	}
	n.leaderState.transferee = to
	n.leaderState.transferDeadline = n.now + n.options.ElectionTimeoutTicks
	n.leaderState.leaseDisabled = true
	n.tryTransfer(to, p)
	return nil
}

// AnnounceStop tells the leader that this node is about to stop. The caller
// repeats it until the node has stopped: the notice may be lost, and it expires
// after an election timeout, so that a node that starts again is not taken for
// a stopping one. It does nothing on a leader or if no leader is known.
func (n *Node) AnnounceStop() {
	if n.role == Follower && n.leader != 0 {
		n.send(Message{Kind: StopNotice, To: n.leader})
	}
}

// isStopping reports whether the peer has announced its stop within the last
// election timeout.
func (n *Node) isStopping(p *peer) bool {
	return p.hasStopNotice && n.now < p.stopNoticeAt+n.options.ElectionTimeoutTicks
}

func (n *Node) tryTransfer(to ID, p *peer) {
	if n.leaderState.transferee == to && p.matchIndex == n.log.lastIndex() {
		n.send(Message{Kind: TimeoutNow, To: to})
	}
}
