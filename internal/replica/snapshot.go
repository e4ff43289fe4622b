package replica

import (
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/core/consensus"
	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/wal"
)

const (
	// snapshotThresholdEntries and snapshotThresholdBytes are the amounts of log
	// after the last snapshot above which the next one is taken.
	snapshotThresholdEntries = 50_000
	snapshotThresholdBytes   = 32 << 20
	// retainedEntries is the number of entries before a snapshot that stay in
	// the log, so that a replica that lags slightly needs no snapshot.
	retainedEntries = 5_000
)

// snapshotResult is the result of writing a snapshot.
type snapshotResult struct {
	meta consensus.SnapshotMeta
	err  error
}

// snapshotter holds the state of the snapshot that is written outside the
// group's loop.
type snapshotter struct {
	inProgress bool
	done       chan snapshotResult
	// logBytes is the size of the log after the last compaction.
	logBytes int
}

// startSnapshotIfDue starts a snapshot if the log exceeds one of the thresholds
// and no other snapshot is being written.
func (e *engine) startSnapshotIfDue() {
	base := e.node.SnapshotIndex()
	due := e.group.applied-base > e.group.limits.snapshotThresholdEntries || e.log.Bytes()-e.snapshot.logBytes > e.group.limits.snapshotThresholdBytes
	if e.snapshot.inProgress || e.group.applied <= base || !due {
		return
	}
	term, _ := e.node.Term(e.group.applied)
	meta := consensus.SnapshotMeta{Index: e.group.applied, Term: term, Members: e.node.MembersAt(e.group.applied)}
	frozen := e.machine.Freeze()
	e.snapshot.inProgress = true
	e.group.spawn(func() { e.snapshot.done <- writeSnapshot(e.group.disk, meta, frozen) })
}

func writeSnapshot(disk wal.Disk, meta consensus.SnapshotMeta, frozen state.Frozen) snapshotResult {
	data, err := frozen.Encode()
	if err != nil {
		return snapshotResult{err: err}
	}
	meta.Size = uint64(len(data))
	return snapshotResult{meta: meta, err: wal.WriteSnapshot(disk, consensus.Snapshot{Meta: meta, Data: data})}
}

// compactLog removes the entries that a finished snapshot covers, except for
// retainedEntries. A snapshot older than one installed from the leader meanwhile
// is ignored; its file is removed when the log is next opened.
func (e *engine) compactLog(done snapshotResult) {
	e.snapshot.inProgress = false
	if done.err != nil {
		e.group.log.Warn("failed to write snapshot", zap.Error(done.err))
		return
	}
	if done.meta.Index <= e.node.SnapshotIndex() {
		return
	}
	retained := min(e.group.limits.retainedEntries, done.meta.Index)
	e.node.Compact(done.meta, retained)
	if err := e.log.UseSnapshot(done.meta, done.meta.Index-retained); err != nil {
		e.group.log.Warn("failed to remove files that the snapshot replaces; the next snapshot retries", zap.Error(err))
	}
	e.snapshot.logBytes = e.log.Bytes()
	e.group.log.Info("snapshot written", zap.Uint64("index", done.meta.Index), zap.Uint64("bytes", done.meta.Size))
}
