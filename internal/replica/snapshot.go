package replica

import (
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/core/consensus"
	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/wal"
)

const (
	// snapshotEntries and snapshotBytes of log since the last snapshot lead to
	// the next.
	snapshotEntries = 50_000
	snapshotBytes   = 32 << 20
	// tailEntries stay in the log behind a snapshot, for replicas that lag a
	// little.
	tailEntries = 5_000
)

// snapshotDone says that a snapshot is on disk, or why not.
type snapshotDone struct {
	meta consensus.SnapshotMeta
	err  error
}

// snapshotter writes snapshots beside the loop.
type snapshotter struct {
	busy bool
	done chan snapshotDone
	// bytes is the log's size after the last snapshot.
	bytes int
}

// maybeSnapshot begins a snapshot where the log has grown long.
func (e *engine) maybeSnapshot() {
	base := e.node.SnapshotIndex()
	long := e.g.applied-base > e.g.limits.snapshotEntries || e.log.Bytes()-e.snapshot.bytes > e.g.limits.snapshotBytes
	if e.snapshot.busy || e.g.applied <= base || !long {
		return
	}
	term, _ := e.node.Term(e.g.applied)
	meta := consensus.SnapshotMeta{Index: e.g.applied, Term: term, Members: e.node.MembersAt(e.g.applied)}
	frozen := e.machine.Freeze()
	e.snapshot.busy = true
	e.g.spawn(func() { e.snapshot.done <- writeSnapshot(e.g.disk, meta, frozen) })
}

func writeSnapshot(disk wal.Disk, meta consensus.SnapshotMeta, frozen state.Frozen) snapshotDone {
	data, err := frozen.Encode()
	if err != nil {
		return snapshotDone{err: err}
	}
	meta.Size = uint64(len(data))
	return snapshotDone{meta: meta, err: wal.WriteSnapshot(disk, consensus.Snapshot{Meta: meta, Data: data})}
}

// useSnapshot compacts the log. A snapshot that the leader's has overtaken
// meanwhile is not used; the next start drops its file.
func (e *engine) useSnapshot(done snapshotDone) {
	e.snapshot.busy = false
	if done.err != nil {
		e.g.log.Warn("snapshot could not be written", zap.Error(done.err))
		return
	}
	if done.meta.Index <= e.node.SnapshotIndex() {
		return
	}
	tail := min(e.g.limits.tailEntries, done.meta.Index)
	e.node.Compact(done.meta, tail)
	e.log.UseSnapshot(done.meta, done.meta.Index-tail)
	e.snapshot.bytes = e.log.Bytes()
	e.g.log.Info("snapshot written", zap.Uint64("index", done.meta.Index), zap.Uint64("bytes", done.meta.Size))
}
