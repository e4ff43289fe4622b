package consensus

// Options configures a node. All times are in ticks.
type Options struct {
	ID ID
	// ElectionTimeoutTicks is how long a follower neither votes nor campaigns
	// after a message from the leader. Election timeouts are one to two times
	// as long.
	ElectionTimeoutTicks uint64
	// HeartbeatIntervalTicks is the interval between heartbeats.
	HeartbeatIntervalTicks uint64
	// LeaseDurationTicks is how long a leader may answer reads locally after
	// the start of a heartbeat round that a quorum answered. It must be less
	// than ElectionTimeoutTicks by the maximum clock drift and two ticks of
	// rounding.
	LeaseDurationTicks uint64
	// ResendDelayTicks is the delay before unanswered entries are sent again.
	ResendDelayTicks uint64
	// MaxAppendBytes limits the entries of one message.
	MaxAppendBytes int
	// MaxInflightAppends limits the unanswered Append messages to one replica.
	MaxInflightAppends int
	// MaxUncommittedBytes is the size of uncommitted entries above which a
	// leader rejects proposals.
	MaxUncommittedBytes int
	// ChunkBytes is the size of a snapshot chunk.
	ChunkBytes uint64
	// Random returns a pseudorandom number in [0, n).
	Random func(n uint64) uint64
}

// Node is one replica of a group. It is not safe for concurrent use.
type Node struct {
	options Options
	now     uint64
	// advancedTo is the time of the last call of Advance.
	advancedTo uint64
	hard       HardState
	// emittedHard is the hard state last returned for writing.
	emittedHard HardState
	log         entryLog
	membership  membership

	role   Role
	leader ID
	// noVoteUntil is the tick before which this node must not vote, because a
	// leader may hold a lease.
	noVoteUntil uint64
	// lastLeader is the leader last heard from, at the tick lastLeaderContact.
	lastLeader        ID
	lastLeaderContact uint64
	// electionDeadline is the tick at which the next election starts.
	electionDeadline uint64
	votes            map[ID]bool
	isPreVote        bool
	// fastRetryUntil is the tick until which a restarted leader retries its
	// election at short intervals.
	fastRetryUntil uint64

	leaderState leaderState

	beforeSync       []Message
	afterSync        []Message
	reads            []Read
	receivedSnapshot *Snapshot
	incomingSnapshot incomingSnapshot
}

// New returns a node that continues from its state on disk. It withholds its
// vote for one election timeout, since it may have confirmed a leader's lease
// just before it stopped. A node that was the last leader itself has confirmed
// no other lease and campaigns after restartedLeaderRetryTicks: no other node
// can be elected that early.
func New(opt Options, saved StoredState, now uint64) *Node {
	n := &Node{options: opt, now: now, advancedTo: now, noVoteUntil: now + opt.ElectionTimeoutTicks, hard: saved.HardState, emittedHard: saved.HardState, log: newEntryLog(saved)}
	n.membership.reset(saved.Meta)
	n.membership.recordChanges(n.log.entries)
	// If all nodes start at the same time there is no leader, so the first
	// election timeout is short. A running leader's heartbeat arrives earlier.
	n.electionDeadline = now + opt.ElectionTimeoutTicks + electionMarginTicks + opt.Random(opt.ElectionTimeoutTicks/firstElectionJitterDivisor)
	if n.wasLastLeader() {
		n.noVoteUntil = now
		n.fastRetryUntil = now + fastRetryElectionTimeouts*opt.ElectionTimeoutTicks
		n.electionDeadline = now + restartedLeaderRetryTicks
	}
	return n
}

// wasLastLeader reports whether this node was the last leader it knows of.
func (n *Node) wasLastLeader() bool { return n.hard.Leader != 0 && n.hard.Leader == n.options.ID }

const (
	// restartedLeaderRetryTicks is the interval between the vote requests of a
	// restarted leader; the other nodes may still be starting.
	restartedLeaderRetryTicks = 2
	// fastRetryElectionTimeouts is the duration of these retries in election
	// timeouts. Machines that lost power together restart within about a second.
	fastRetryElectionTimeouts = 3
)

// firstElectionJitterDivisor reduces the random part of the first election
// timeout after a start.
const firstElectionJitterDivisor = 2

// electionMarginTicks is added to each election timeout, so that the other
// nodes may vote again when they receive the vote request.
const electionMarginTicks = 2

func (n *Node) resetElectionDeadline() {
	n.electionDeadline = n.now + n.options.ElectionTimeoutTicks + electionMarginTicks + n.options.Random(n.options.ElectionTimeoutTicks)
	if n.now < n.fastRetryUntil && n.wasLastLeader() {
		n.electionDeadline = n.now + restartedLeaderRetryTicks
	}
}

// SetTime sets the time in ticks of a monotonic clock. It must be called with
// the current time before each batch of other calls, so that votes and leases
// are judged by it. Timeouts of others are left to Advance, but a leader that
// has not run for an election timeout steps down: it may have been replaced.
func (n *Node) SetTime(now uint64) {
	if now <= n.now {
		return
	}
	idle := now - n.now
	n.now = now
	if n.role == Leader && idle >= n.options.ElectionTimeoutTicks && n.isQuorumSilent() {
		n.becomeFollower(n.hard.Term, 0)
	}
}

// maxRegularTicks is the longest time between two calls of Advance after which
// the node was not held up.
const maxRegularTicks = 3

// Advance sets the time like SetTime and acts on timeouts. The caller passes the
// messages that have arrived to Step before: a node that was held up must not
// take that time for the silence of the others. Messages may also wait outside of
// the caller, so that a node which was held up seeks election at the next call.
func (n *Node) Advance(now uint64) {
	if now <= n.advancedTo {
		return
	}
	isHeldUp := now > n.advancedTo+maxRegularTicks
	n.advancedTo = now
	n.SetTime(now)
	switch {
	case n.role == Leader:
		if isHeldUp {
			n.leaderState.resumedAt = now
		}
		n.tickLeader()
	case isHeldUp && now < n.electionDeadline+n.options.ElectionTimeoutTicks:
	case now >= n.electionDeadline:
		n.campaign(false)
	}
}

func (n *Node) send(m Message) {
	m.From = n.options.ID
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	if m.Kind == Append || m.Kind == Heartbeat || m.Kind == InstallChunk {
		n.beforeSync = append(n.beforeSync, m)
		return
	}
	n.afterSync = append(n.afterSync, m)
}

// Step processes a message from another node.
func (n *Node) Step(m Message) {
	if m.To != n.options.ID || m.From == n.options.ID {
		return
	}
	if m.Term > n.hard.Term && !n.handleHigherTerm(m) {
		return
	}
	if m.Term < n.hard.Term {
		n.rejectLowerTerm(m)
		return
	}
	switch m.Kind {
	case PreVote, Vote:
		n.handleVoteRequest(m)
	case PreVoteReply, VoteReply:
		n.handleVoteReply(m)
	case Append, Heartbeat, InstallChunk:
		n.handleLeaderMessage(m)
	case TimeoutNow:
		if n.role == Follower {
			n.campaign(true)
		}
	case ReadIndexReply:
		n.reads = append(n.reads, Read{ID: m.Sequence, Index: m.Index})
	default:
		if n.role == Leader {
			n.handleFollowerMessage(m)
		}
	}
}

// handleHigherTerm moves to a newer term where the message requires it. It
// returns false if the message needs no further processing.
func (n *Node) handleHigherTerm(m Message) bool {
	n.liftVoteRestriction(m)
	switch m.Kind {
	case PreVote:
		n.handleVoteRequest(m)
		return false
	case PreVoteReply:
		if !m.Reject {
			n.handleVoteReply(m)
			return false
		}
	case Vote:
		if n.mustNotVote() && !m.Force {
			return false
		}
	}
	n.becomeFollower(m.Term, 0)
	return true
}

// rejectLowerTerm informs a stale leader or candidate of the newer term.
func (n *Node) rejectLowerTerm(m Message) {
	switch m.Kind {
	case Append, Heartbeat, InstallChunk:
		n.send(Message{Kind: AppendReply, To: m.From, Reject: true})
	case PreVote:
		n.send(Message{Kind: PreVoteReply, To: m.From, Reject: true})
	case Vote:
		n.send(Message{Kind: VoteReply, To: m.From, Reject: true})
	}
}

func (n *Node) becomeFollower(term uint64, leader ID) {
	if term > n.hard.Term {
		n.hard = HardState{Term: term}
	}
	if leader != 0 {
		n.hard.Leader = leader
	}
	n.role = Follower
	n.leader = leader
	n.votes = nil
	n.leaderState = leaderState{}
	n.resetElectionDeadline()
}

// handleLeaderMessage processes a message that only the leader of the current
// term sends.
func (n *Node) handleLeaderMessage(m Message) {
	if n.role != Follower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.noVoteUntil = n.now + n.options.ElectionTimeoutTicks
	n.lastLeader, n.lastLeaderContact = m.From, n.now
	n.resetElectionDeadline()
	switch m.Kind {
	case Append:
		n.handleAppend(m)
	case Heartbeat:
		n.advanceCommitTo(min(m.Commit, n.log.lastIndex()))
		n.send(Message{Kind: HeartbeatReply, To: m.From, Sequence: m.Sequence, Index: n.log.lastIndex()})
	case InstallChunk:
		n.handleChunk(m)
	}
}

func (n *Node) handleAppend(m Message) {
	if m.Index < n.log.commitIndex {
		n.send(Message{Kind: AppendReply, To: m.From, Index: n.log.commitIndex})
		return
	}
	if !n.log.matches(m.Index, m.LogTerm) {
		n.send(Message{Kind: AppendReply, To: m.From, Index: m.Index, Reject: true, Hint: n.log.conflictHint(m.Index)})
		return
	}
	if first := n.log.merge(m.Entries); first > 0 {
		n.membership.truncate(first)
		n.membership.recordChanges(n.log.slice(first, n.log.lastIndex(), int(^uint(0)>>1)))
	}
	matched := m.Index + uint64(len(m.Entries))
	n.advanceCommitTo(min(m.Commit, matched))
	n.send(Message{Kind: AppendReply, To: m.From, Index: matched})
}

func (n *Node) advanceCommitTo(index uint64) {
	if index > n.log.commitIndex {
		n.log.commitIndex = index
	}
}

// HasEffects reports whether Effects would return anything.
func (n *Node) HasEffects() bool {
	return len(n.beforeSync)+len(n.afterSync)+len(n.reads) > 0 || n.receivedSnapshot != nil ||
		n.hard != n.emittedHard || n.log.emitted < n.log.lastIndex() || n.applicableIndex() > n.log.appliedIndex
}

func (n *Node) applicableIndex() uint64 { return min(n.log.commitIndex, n.log.persisted) }

// maxApplyBytes limits the committed entries in one Effects.
const maxApplyBytes = 4 << 20

// Effects returns the work that is due. The caller must carry it out and call
// MarkPersisted before any other method.
func (n *Node) Effects() Effects {
	e := Effects{MessagesBeforeSync: n.beforeSync, MessagesAfterSync: n.afterSync, Reads: n.reads, Snapshot: n.receivedSnapshot}
	n.beforeSync, n.afterSync, n.reads, n.receivedSnapshot = nil, nil, nil, nil
	n.leaderState.isRoundUnsent = false
	if n.hard != n.emittedHard {
		h := n.hard
		e.Hard = &h
		n.emittedHard = h
		// A leader that crashes before its own vote is on disk could vote again
		// in the same term, so no message leaves before the vote is synced.
		e.MessagesAfterSync = append(e.MessagesBeforeSync, e.MessagesAfterSync...)
		e.MessagesBeforeSync = nil
	}
	e.Entries = n.log.slice(n.log.emitted+1, n.log.lastIndex(), int(^uint(0)>>1))
	n.log.emitted = n.log.lastIndex()
	e.Committed = n.log.slice(n.log.appliedIndex+1, n.applicableIndex(), maxApplyBytes)
	n.log.appliedIndex += uint64(len(e.Committed))
	return e
}

// MarkPersisted records that all writes returned by Effects are synced.
func (n *Node) MarkPersisted() {
	n.log.persisted = n.log.emitted
	if n.role == Leader {
		n.advanceCommit()
	}
}

// Compact records that a snapshot is on disk and discards the entries that it
// covers, except for the last tail entries, which serve replicas that lag
// slightly.
func (n *Node) Compact(m SnapshotMeta, tail uint64) {
	if m.Index <= n.log.snapshot.Index || m.Index > n.log.appliedIndex {
		return
	}
	n.log.snapshot = m
	if m.Index > tail {
		n.log.compact(m.Index - tail)
	}
}

// PeerStatus is a leader's replication progress for another replica.
type PeerStatus struct {
	Member Member
	// MatchIndex is the last index known to be replicated to the peer.
	MatchIndex uint64
	// TicksSinceReply is the number of ticks since its last reply, or since this
	// node was held up.
	TicksSinceReply uint64
	// Stopping reports that the peer has announced its stop.
	Stopping bool
}

// Status describes a node's role, its log and its group.
type Status struct {
	ID           ID
	Role         Role
	Term         uint64
	Leader       ID
	LastIndex    uint64
	CommitIndex  uint64
	AppliedIndex uint64
	Snapshot     SnapshotMeta
	Members      []Member
	// Peers is set on a leader only.
	Peers []PeerStatus
}

// Status returns a copy of the node's status. The caller must not change
// Members.
func (n *Node) Status() Status {
	s := Status{
		ID: n.options.ID, Role: n.role, Term: n.hard.Term, Leader: n.leader, LastIndex: n.log.lastIndex(),
		CommitIndex: n.log.commitIndex, AppliedIndex: n.log.appliedIndex, Snapshot: n.log.snapshot, Members: n.membership.members(),
	}
	for _, m := range s.Members {
		if p := n.leaderState.peers[m.ID]; p != nil {
			s.Peers = append(s.Peers, PeerStatus{Member: m, MatchIndex: p.matchIndex, TicksSinceReply: n.now - n.heardAt(p), Stopping: n.isStopping(p)})
		}
	}
	return s
}

// Position returns the role, the term and the leader, zero if none is known.
func (n *Node) Position() (role Role, term uint64, leader ID) {
	return n.role, n.hard.Term, n.leader
}

// CommitIndex returns the commit index.
func (n *Node) CommitIndex() uint64 { return n.log.commitIndex }

// Members returns the newest member list, which the caller must not change.
func (n *Node) Members() []Member { return n.membership.members() }

// SnapshotIndex returns the index of the newest snapshot.
func (n *Node) SnapshotIndex() uint64 { return n.log.snapshot.Index }

// Term returns the term of an entry, and false if it is not in the log.
func (n *Node) Term(index uint64) (uint64, bool) { return n.log.term(index) }

// MembersAt returns the member list in force at an applied index.
func (n *Node) MembersAt(index uint64) []Member { return n.membership.membersAt(index) }
