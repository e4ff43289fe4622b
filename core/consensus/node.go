package consensus

// Options shape a node. All times are ticks.
type Options struct {
	ID ID
	// ElectionTicks is how long a follower that heard from a leader neither
	// votes nor campaigns; elections start after one to two times as long.
	ElectionTicks uint64
	// HeartbeatTicks is the pause between heartbeats.
	HeartbeatTicks uint64
	// LeaseTicks is how long a leader may answer reads alone after a heartbeat
	// round that a quorum answered. It must be less than ElectionTicks by the
	// clocks' drift and two ticks of rounding.
	LeaseTicks uint64
	// ResendTicks is how long unanswered entries wait before they are sent
	// again.
	ResendTicks uint64
	// AppendBytes bounds the entries of one message.
	AppendBytes int
	// Inflight is the most unanswered Append messages to one replica.
	Inflight int
	// UncommittedBytes bounds what a leader takes before it is committed.
	UncommittedBytes int
	// ChunkBytes is a snapshot chunk's size.
	ChunkBytes uint64
	// Random returns a number below n.
	Random func(n uint64) uint64
}

// Node is one replica of one group. It is not safe for concurrent use.
type Node struct {
	opt  Options
	now  uint64
	hard Hard
	// handedHard is the hard state as last given out for writing.
	handedHard Hard
	log        entryLog
	conf       membership

	role   Role
	leader ID
	// promised is until when this node may not help to replace a leader.
	promised uint64
	// deadline is when the next election starts.
	deadline uint64
	votes    map[ID]bool
	preVote  bool
	// returning is until when a leader that has started again asks for votes
	// more often.
	returning uint64

	lead leading

	early    []Message
	late     []Message
	reads    []Read
	install  *Snapshot
	incoming incoming
}

// New returns a node that continues from what its disk holds. As it may have
// promised a leader not to vote just before it stopped, it keeps that promise
// for a whole election timeout. One that led itself has nothing to keep, and
// asks for votes at once: nobody else can be elected as early.
func New(opt Options, saved Saved, now uint64) *Node {
	n := &Node{opt: opt, now: now, promised: now + opt.ElectionTicks, hard: saved.Hard, handedHard: saved.Hard, log: newLog(saved)}
	n.conf.reset(saved.Meta)
	n.conf.take(n.log.entries)
	// Nobody leads where all begin at once: the first election comes early, and
	// a leader that lives is heard of before it.
	n.deadline = now + opt.ElectionTicks + settleTicks + opt.Random(opt.ElectionTicks/firstSpread)
	if n.ledLast() {
		n.promised = now
		n.returning = now + returnSpan*opt.ElectionTicks
		n.deadline = now + returnTicks
	}
	return n
}

// ledLast tells whether this node was the last leader that it knows of.
func (n *Node) ledLast() bool { return n.hard.Leader != 0 && n.hard.Leader == n.opt.ID }

const (
	// returnTicks is the pause between the requests for votes of a leader that
	// has started again: the others may be starting, too.
	returnTicks = 2
	// returnSpan is for how many election timeouts it asks that often: machines
	// that lost power together come back within about a second.
	returnSpan = 3
)

// firstSpread divides the spread of the first election after a start.
const firstSpread = 2

// settleTicks is added to each election timeout, so that the others' promises
// to the lost leader have ended when they are asked.
const settleTicks = 2

func (n *Node) resetDeadline() {
	n.deadline = n.now + n.opt.ElectionTicks + settleTicks + n.opt.Random(n.opt.ElectionTicks)
	if n.now < n.returning && n.ledLast() {
		n.deadline = n.now + returnTicks
	}
}

// Advance tells the time in ticks of a monotonic clock. It must be called with
// the present time before each batch of other calls.
func (n *Node) Advance(now uint64) {
	if now <= n.now {
		return
	}
	n.now = now
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.now >= n.deadline {
		n.campaign(false)
	}
}

func (n *Node) send(m Message) {
	m.From = n.opt.ID
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	if m.Kind == Append || m.Kind == Heartbeat || m.Kind == InstallChunk {
		n.early = append(n.early, m)
		return
	}
	n.late = append(n.late, m)
}

// Step takes a message.
func (n *Node) Step(m Message) {
	if m.To != n.opt.ID || m.From == n.opt.ID {
		return
	}
	if m.Term > n.hard.Term && !n.higherTerm(m) {
		return
	}
	if m.Term < n.hard.Term {
		n.lowerTerm(m)
		return
	}
	switch m.Kind {
	case PreVote, Vote:
		n.onVote(m)
	case PreVoteReply, VoteReply:
		n.onVoteReply(m)
	case Append, Heartbeat, InstallChunk:
		n.onLeader(m)
	case TimeoutNow:
		if n.role == Follower {
			n.campaign(true)
		}
	case ReadIndexReply:
		n.reads = append(n.reads, Read{ID: m.Sequence, Index: m.Index})
	default:
		if n.role == Leader {
			n.onFollower(m)
		}
	}
}

// higherTerm follows a newer term; it returns false where the message is done
// with.
func (n *Node) higherTerm(m Message) bool {
	n.release(m)
	switch m.Kind {
	case PreVote:
		n.onVote(m)
		return false
	case PreVoteReply:
		if !m.Reject {
			n.onVoteReply(m)
			return false
		}
	case Vote:
		if n.bound() && !m.Force {
			return false
		}
	}
	n.follow(m.Term, 0)
	return true
}

// lowerTerm tells an old leader or candidate of the newer term.
func (n *Node) lowerTerm(m Message) {
	switch m.Kind {
	case Append, Heartbeat, InstallChunk:
		n.send(Message{Kind: AppendReply, To: m.From, Reject: true})
	case PreVote:
		n.send(Message{Kind: PreVoteReply, To: m.From, Reject: true})
	case Vote:
		n.send(Message{Kind: VoteReply, To: m.From, Reject: true})
	}
}

func (n *Node) follow(term uint64, leader ID) {
	if term > n.hard.Term {
		n.hard = Hard{Term: term}
	}
	if leader != 0 {
		n.hard.Leader = leader
	}
	n.role = Follower
	n.leader = leader
	n.votes = nil
	n.lead = leading{}
	n.resetDeadline()
}

// onLeader takes what only the leader of the present term sends.
func (n *Node) onLeader(m Message) {
	if n.role != Follower || n.leader != m.From {
		n.follow(m.Term, m.From)
	}
	n.promised = n.now + n.opt.ElectionTicks
	n.resetDeadline()
	switch m.Kind {
	case Append:
		n.onAppend(m)
	case Heartbeat:
		n.commitTo(min(m.Commit, n.log.last()))
		n.send(Message{Kind: HeartbeatReply, To: m.From, Sequence: m.Sequence, Index: n.log.last()})
	case InstallChunk:
		n.onChunk(m)
	}
}

func (n *Node) onAppend(m Message) {
	if m.Index < n.log.commit {
		n.send(Message{Kind: AppendReply, To: m.From, Index: n.log.commit})
		return
	}
	if !n.log.matches(m.Index, m.LogTerm) {
		n.send(Message{Kind: AppendReply, To: m.From, Index: m.Index, Reject: true, Hint: n.log.conflictHint(m.Index)})
		return
	}
	if first := n.log.merge(m.Entries); first > 0 {
		n.conf.cut(first)
		n.conf.take(n.log.slice(first, n.log.last(), int(^uint(0)>>1)))
	}
	matched := m.Index + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, matched))
	n.send(Message{Kind: AppendReply, To: m.From, Index: matched})
}

func (n *Node) commitTo(index uint64) {
	if index > n.log.commit {
		n.log.commit = index
	}
}

// Pending tells whether Effects would return something.
func (n *Node) Pending() bool {
	return len(n.early)+len(n.late)+len(n.reads) > 0 || n.install != nil ||
		n.hard != n.handedHard || n.log.handed < n.log.last() || n.applicable() > n.log.applied
}

func (n *Node) applicable() uint64 { return min(n.log.commit, n.log.persisted) }

// applyBytes bounds what one Effects gives to apply.
const applyBytes = 4 << 20

// Effects returns what is to be done. Persisted must be called after it and
// before any other call.
func (n *Node) Effects() Effects {
	e := Effects{Early: n.early, Late: n.late, Reads: n.reads, Snapshot: n.install}
	n.early, n.late, n.reads, n.install = nil, nil, nil, nil
	if n.hard != n.handedHard {
		h := n.hard
		e.Hard = &h
		n.handedHard = h
		// A leader whose own vote is not on disk might be a leader of the same
		// term again after a crash: nothing leaves before the vote is synced.
		e.Late = append(e.Early, e.Late...)
		e.Early = nil
	}
	e.Entries = n.log.slice(n.log.handed+1, n.log.last(), int(^uint(0)>>1))
	n.log.handed = n.log.last()
	e.Committed = n.log.slice(n.log.applied+1, n.applicable(), applyBytes)
	n.log.applied += uint64(len(e.Committed))
	return e
}

// Persisted says that all that Effects asked for is synced.
func (n *Node) Persisted() {
	n.log.persisted = n.log.handed
	if n.role == Leader {
		n.advanceCommit()
	}
}

// Compact says that a snapshot is on disk; the log keeps a tail of entries for
// replicas that lag a little.
func (n *Node) Compact(m Meta, tail uint64) {
	if m.Index <= n.log.base.Index || m.Index > n.log.applied {
		return
	}
	n.log.base = m
	if m.Index > tail {
		n.log.compact(m.Index - tail)
	}
}

// PeerStatus is a leader's knowledge of another replica.
type PeerStatus struct {
	Member Member
	Match  uint64
	// Heard is how many ticks ago it last answered.
	Heard uint64
}

// Status is a node's position.
type Status struct {
	ID      ID
	Role    Role
	Term    uint64
	Leader  ID
	Last    uint64
	Commit  uint64
	Applied uint64
	Base    Meta
	Members []Member
	// Peers is filled on a leader only.
	Peers []PeerStatus
}

// Status returns the node's position.
func (n *Node) Status() Status {
	s := Status{
		ID: n.opt.ID, Role: n.role, Term: n.hard.Term, Leader: n.leader, Last: n.log.last(),
		Commit: n.log.commit, Applied: n.log.applied, Base: n.log.base, Members: n.conf.members(),
	}
	for _, m := range s.Members {
		if p := n.lead.peers[m.ID]; p != nil {
			s.Peers = append(s.Peers, PeerStatus{Member: m, Match: p.match, Heard: n.now - p.heard})
		}
	}
	return s
}

// Position returns the role, the term and the leader, zero where none is known.
func (n *Node) Position() (role Role, term uint64, leader ID) {
	return n.role, n.hard.Term, n.leader
}

// Commit returns the commit index.
func (n *Node) Commit() uint64 { return n.log.commit }

// Members returns the members, which the caller must not change.
func (n *Node) Members() []Member { return n.conf.members() }

// Base returns the index of the newest snapshot.
func (n *Node) Base() uint64 { return n.log.base.Index }

// Term returns the term of an entry that is in the log.
func (n *Node) Term(index uint64) (uint64, bool) { return n.log.term(index) }

// MembersAt returns the members as of an applied index.
func (n *Node) MembersAt(index uint64) []Member { return n.conf.at(index) }
