// Package consensus is the replicated log as a pure state machine.
//
// A Node is driven by ticks of a monotonic clock, by messages and by calls;
// what it wants done it returns as Effects. It reads no clock and does no I/O.
// The algorithm is Raft with pre-vote, check-quorum, leader leases, learners,
// single-server membership changes and leadership transfer.
//
// Invariants: a node votes once a term; a leader only appends; a committed
// entry is on a majority of the voters' disks; nothing that promises a write
// or a vote leaves the node before that write or vote is synced.
package consensus

import "fmt"

// ID identifies one data folder of a replica. A replica whose disk was lost
// gets a new ID, so votes and acknowledgements of the lost disk never count
// for the new one. Zero means none.
type ID uint64

// Member is one replica of a group.
type Member struct {
	ID      ID     `json:"id"`
	Name    string `json:"name"`
	Address string `json:"address"`
	// Learner receives the log but neither votes nor counts for commits.
	Learner bool `json:"learner,omitempty"`
}

// EntryKind says what an entry's data holds.
type EntryKind uint8

// Kinds of entries.
const (
	// EntryCommand holds a command of the state machine.
	EntryCommand EntryKind = iota
	// EntryEmpty is a new leader's first entry.
	EntryEmpty
	// EntryMembers holds the encoded members from this entry on.
	EntryMembers
)

// Entry is one position of the log.
type Entry struct {
	Term  uint64
	Index uint64
	Kind  EntryKind
	Data  []byte
}

// Hard is what a node must never forget.
type Hard struct {
	Term uint64
	Vote ID
	// Leader is the leader of Term once it was heard of: the one whose lease this
	// node may have confirmed.
	Leader ID
}

// Meta describes a snapshot: it holds the state after the entry at Index.
type Meta struct {
	Index   uint64
	Term    uint64
	Members []Member
	// Size is the length of the snapshot's data in bytes.
	Size uint64
}

// Snapshot is a whole snapshot.
type Snapshot struct {
	Meta Meta
	Data []byte
}

// Saved is what the disk gave back at start.
type Saved struct {
	Hard    Hard
	Meta    Meta
	Entries []Entry
}

// MessageKind is a message's purpose.
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
	InstallChunk
	InstallReply
	TimeoutNow
	ReadIndex
	ReadIndexReply
)

// Message is what two nodes of a group tell each other.
type Message struct {
	Kind MessageKind
	From ID
	To   ID
	Term uint64
	// Index and LogTerm name the entry before Entries, a candidate's last
	// entry, or in a reply the last entry that matches.
	Index   uint64
	LogTerm uint64
	// Commit is the sender's commit index, as far as the receiver has it.
	Commit uint64
	// Hint is, in a refused AppendReply, where to try next; in an
	// InstallReply the next offset wanted.
	Hint   uint64
	Reject bool
	// Force marks an election that the leader asked for.
	Force bool
	// Sequence numbers heartbeats, and reads of a follower.
	Sequence uint64
	Entries  []Entry
	// Chunk is set in InstallChunk only.
	Chunk *Chunk
}

// Chunk is a part of a snapshot. A node leaves Data empty; the shell fills it
// from disk before sending.
type Chunk struct {
	Meta   Meta
	Offset uint64
	Length uint64
	Data   []byte
}

// Read is a confirmed read: the state at Index or later answers it.
type Read struct {
	ID    uint64
	Index uint64
}

// Effects is what the shell must do, in the order of the fields, before it
// calls Persisted and then anything else.
type Effects struct {
	// Early messages may leave before the writes below.
	Early []Message
	// Hard is written where it changed.
	Hard *Hard
	// Snapshot replaces log and state.
	Snapshot *Snapshot
	// Entries are appended; they replace what the disk has from the first
	// one's index on.
	Entries []Entry
	// Late messages leave only after all of the above is synced.
	Late []Message
	// Committed entries are applied in order.
	Committed []Entry
	Reads     []Read
}

// Writes tells whether something must be written and synced.
func (e *Effects) Writes() bool {
	return e.Hard != nil || e.Snapshot != nil || len(e.Entries) > 0
}

// Role is a node's part in its term.
type Role uint8

// Roles.
const (
	Follower Role = iota
	Candidate
	Leader
)

// String names the role.
func (r Role) String() string {
	return [...]string{"follower", "candidate", "leader"}[r]
}

// NotLeaderError says that a call needs the leader. Nothing was appended.
type NotLeaderError struct {
	// Leader is zero where none is known.
	Leader ID
}

// Error names the remedy.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("this replica is not the leader (known leader: %x); ask the leader", uint64(e.Leader))
}

// BusyError says that too much is uncommitted. Nothing was appended.
type BusyError struct {
	Bytes int
}

// Error names the remedy.
func (e *BusyError) Error() string {
	return fmt.Sprintf("%d bytes wait to be committed; retry after a pause", e.Bytes)
}

// ChangeError says why a membership change is refused. Nothing was appended.
type ChangeError struct {
	Reason string
	Remedy string
}

// Error names the remedy.
func (e *ChangeError) Error() string {
	return e.Reason + "; " + e.Remedy
}
