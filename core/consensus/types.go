// Package consensus implements the replicated log of a control group as a
// deterministic state machine. internal/replica drives it; internal/wal stores
// its entries.
//
// A Node takes ticks of a monotonic clock, messages and calls, and returns the
// required writes, messages and committed entries as Effects. It reads no clock
// and does no I/O. The algorithm is Raft with pre-vote, check-quorum, leader
// leases, learners, single-server membership changes and leadership transfer.
//
// Invariants: a node votes at most once per term; a leader only appends to its
// own log; a committed entry is on the disks of a majority of the voters; a
// message that acknowledges a write or grants a vote leaves the node only after
// that write or vote is synced.
package consensus

import "fmt"

// ID identifies one data folder of a replica. A replica that lost its disk
// gets a new ID, so that votes and acknowledgements from the lost disk never
// count for the new one. Zero means none.
type ID uint64

// Member describes one replica of a group.
type Member struct {
	ID      ID     `json:"id"`
	Name    string `json:"name"`
	Address string `json:"address"`
	// Learner marks a member that receives the log but is not counted in
	// elections or commits.
	Learner bool `json:"learner,omitempty"`
}

// EntryKind is the type of an entry's data.
type EntryKind uint8

// Kinds of entries.
const (
	// EntryCommand holds a command for the replicated state machine.
	EntryCommand EntryKind = iota
	// EntryEmpty is the first entry of a new leader's term and holds no data.
	EntryEmpty
	// EntryMembers holds the encoded member list that applies from this entry
	// on.
	EntryMembers
)

// Entry is one position of the log.
type Entry struct {
	Term  uint64
	Index uint64
	Kind  EntryKind
	Data  []byte
}

// HardState is the state that a node must persist before it answers messages
// (Raft's hard state, without the log).
type HardState struct {
	Term     uint64
	VotedFor ID
	// Leader is the leader of Term, zero until it is known. This node may have
	// confirmed that leader's lease.
	Leader ID
}

// SnapshotMeta describes a snapshot of the state after the entry at Index.
type SnapshotMeta struct {
	Index   uint64
	Term    uint64
	Members []Member
	// Size is the length of the data in bytes.
	Size uint64
}

// Snapshot is a complete snapshot with its data.
type Snapshot struct {
	Meta SnapshotMeta
	Data []byte
}

// StoredState is the state read from disk when a node starts.
type StoredState struct {
	HardState HardState
	Meta      SnapshotMeta
	Entries   []Entry
}

// MessageKind is the type of a message.
type MessageKind uint8

// Kinds of messages.
const (
	PreVote MessageKind = iota + 1
	PreVoteReply
	Vote
	VoteReply
	Append
	AppendReply
	Heartbeat
	HeartbeatReply
	// InstallChunk carries a part of a snapshot; InstallReply names the offset
	// of the next part.
	InstallChunk
	InstallReply
	// TimeoutNow tells the successor in a leadership transfer to start an
	// election at once.
	TimeoutNow
	// ReadIndex asks the leader for an index at which a read is linearizable.
	ReadIndex
	ReadIndexReply
	// StopNotice tells the leader that its sender is about to stop. A leader that
	// does not know the kind takes it for a reply without content.
	StopNotice
)

// Message is a message between two nodes of a group. Kind determines which
// fields are set.
type Message struct {
	Kind MessageKind
	From ID
	To   ID
	Term uint64
	// Index and LogTerm identify the entry before Entries, a candidate's last
	// entry, or, in a reply, the last matching entry.
	Index   uint64
	LogTerm uint64
	// Commit is the sender's commit index, limited to the entries that the
	// receiver has.
	Commit uint64
	// Hint is the next index to try in a rejecting AppendReply, and the next
	// offset expected in an InstallReply.
	Hint   uint64
	Reject bool
	// Force marks a vote request of a leadership transfer. It is granted even
	// while the leader's lease may be valid.
	Force bool
	// Sequence identifies a heartbeat round, or a follower's read.
	Sequence uint64
	Entries  []Entry
	// Chunk is set in InstallChunk messages only.
	Chunk *Chunk
}

// Chunk is a part of a snapshot. A node leaves Data empty; the caller fills it
// from disk before it sends the message.
type Chunk struct {
	Meta   SnapshotMeta
	Offset uint64
	Length uint64
	Data   []byte
}

// Read is a confirmed read. Any state at Index or later may answer it.
type Read struct {
	ID    uint64
	Index uint64
}

// Effects lists what the caller must do, in the order of the fields, before it
// calls MarkPersisted. No other call to the node may come in between.
type Effects struct {
	// MessagesBeforeSync holds messages that may be sent before the writes
	// below.
	MessagesBeforeSync []Message
	// Hard is the state to write, nil if it has not changed.
	Hard *HardState
	// Snapshot replaces the log and the applied state.
	Snapshot *Snapshot
	// Entries are appended to the log. They replace all entries on disk from
	// the index of the first one on.
	Entries []Entry
	// MessagesAfterSync holds messages that must be sent only after all of the
	// above is synced.
	MessagesAfterSync []Message
	// Committed entries are applied to the state machine in order.
	Committed []Entry
	// Reads are reads confirmed since the last call.
	Reads []Read
}

// HasWrites reports whether something must be written and synced.
func (e *Effects) HasWrites() bool {
	return e.Hard != nil || e.Snapshot != nil || len(e.Entries) > 0
}

// Role is a node's role in its current term.
type Role uint8

// Roles.
const (
	Follower Role = iota
	Candidate
	Leader
)

// String returns the role in lower case.
func (r Role) String() string {
	return [...]string{"follower", "candidate", "leader"}[r]
}

// NotLeaderError reports that a call must go to the leader. Nothing was
// appended.
type NotLeaderError struct {
	// Leader is zero if none is known.
	Leader ID
}

// Error names the remedy.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("this replica is not the leader (known leader: %x); ask the leader", uint64(e.Leader))
}

// BusyError reports that the leader's uncommitted entries exceed their limit.
// Nothing was appended.
type BusyError struct {
	// Bytes is the size of the uncommitted entries.
	Bytes int
}

// Error names the remedy.
func (e *BusyError) Error() string {
	return fmt.Sprintf("%d bytes wait to be committed; retry after a pause", e.Bytes)
}

// ChangeError reports why a membership change or a leadership transfer was
// rejected. Nothing was appended.
type ChangeError struct {
	Reason string
	Remedy string
}

// Error names the remedy.
func (e *ChangeError) Error() string {
	return e.Reason + "; " + e.Remedy
}
