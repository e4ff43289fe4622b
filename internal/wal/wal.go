// Package wal implements the write-ahead log of one replicated group. It stores
// the entries, hard state and snapshots of core/consensus for internal/replica.
//
// A data folder holds an identity file, the newest snapshot, and segments of
// frames. Invariants: Save returns only after a sync; a frame is written only
// after the previous one is synced, so a crash can damage the last frame only; a
// file other than the last segment gets its final name only after it is synced.
package wal

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"strings"

	"github.com/verbenastep/verbenastep/core/consensus"
)

const (
	// defaultSegmentBytes is the default of Log.SegmentBytes.
	defaultSegmentBytes = 8 << 20

	identityName   = "identity"
	segmentSuffix  = ".log"
	snapshotSuffix = ".snapshot"
	tempSuffix     = ".new"
)

// Record kinds in a frame's payload.
const (
	recordHard  = 1
	recordEntry = 2
	// recordDiscard voids all earlier entries.
	recordDiscard = 3
)

// Identity identifies the owner of a data folder.
type Identity struct {
	Version int          `json:"version"`
	Group   string       `json:"group"`
	Daemon  string       `json:"daemon"`
	ID      consensus.ID `json:"id"`
}

// identityVersion is the version of the folder's layout.
const identityVersion = 1

// segment describes one file of frames.
type segment struct {
	number uint64
	// highest is the largest entry index in the segment.
	highest uint64
	// size is the length of the valid frames in bytes.
	size int
}

func (s segment) name() string { return fmt.Sprintf("%016d%s", s.number, segmentSuffix) }

// Log is one group's write-ahead log. It is not safe for concurrent use.
type Log struct {
	// SegmentBytes is the size at which Save starts a new segment. It may be
	// changed after Open.
	SegmentBytes int

	disk     Disk
	unlock   func() error
	identity Identity
	hard     consensus.HardState
	segments []segment
	file     File
	// sequence is the sequence number of the last frame.
	sequence uint64
	snapshot consensus.SnapshotMeta
	// failure is the error of the first write that failed; see Save.
	failure error
}

// Open locks and reads a data folder. An empty folder is initialized for the
// group and daemon with newID. Open returns the log, the stored state and the
// snapshot's data. The error may be a *LockedError, *ForeignFolderError,
// *CorruptError or *DiskError.
func Open(disk Disk, group, daemon string, newID consensus.ID) (*Log, consensus.StoredState, []byte, error) {
	unlock, err := disk.Lock()
	if err != nil {
		return nil, consensus.StoredState{}, nil, err
	}
	l := &Log{SegmentBytes: defaultSegmentBytes, disk: disk, unlock: unlock}
	saved, data, err := l.load(group, daemon, newID)
	if err != nil {
		_ = unlock()
		return nil, consensus.StoredState{}, nil, err
	}
	return l, saved, data, nil
}

func (l *Log) load(group, daemon string, newID consensus.ID) (consensus.StoredState, []byte, error) {
	names, err := l.disk.List()
	if err != nil {
		return consensus.StoredState{}, nil, err
	}
	if err := l.loadIdentity(names, Identity{Version: identityVersion, Group: group, Daemon: daemon, ID: newID}); err != nil {
		return consensus.StoredState{}, nil, err
	}
	meta, data, err := l.loadSnapshot(names)
	if err != nil {
		return consensus.StoredState{}, nil, err
	}
	entries, err := l.loadSegments(names)
	if err != nil {
		return consensus.StoredState{}, nil, err
	}
	saved := consensus.StoredState{HardState: l.hard, Meta: meta, Entries: entriesAfter(entries, meta)}
	return saved, data, l.rewriteTail()
}

// entriesAfter returns the entries after a snapshot. It returns none if the log
// conflicts with the snapshot or does not reach it.
func entriesAfter(entries []consensus.Entry, meta consensus.SnapshotMeta) []consensus.Entry {
	for i, e := range entries {
		if e.Index == meta.Index && e.Term != meta.Term {
			return nil
		}
		if e.Index == meta.Index+1 {
			return entries[i:]
		}
	}
	return nil
}

func (l *Log) loadIdentity(names []string, want Identity) error {
	if !slices.Contains(names, identityName) {
		return l.writeIdentity(names, want)
	}
	path := l.disk.Path(identityName)
	b, err := l.disk.Read(identityName)
	if err != nil {
		return err
	}
	f, ok := readFrame(b, 0)
	if !ok {
		return &CorruptError{File: path, Reason: "the identity is damaged"}
	}
	if err := json.Unmarshal(f.payload, &l.identity); err != nil {
		return &CorruptError{File: path, Reason: err.Error()}
	}
	have := l.identity
	if have.Version != want.Version || have.Group != want.Group || have.Daemon != want.Daemon {
		return &ForeignFolderError{File: path, Reason: fmt.Sprintf("the folder is group %q of daemon %q in layout %d, not group %q of daemon %q in layout %d", have.Group, have.Daemon, have.Version, want.Group, want.Daemon, want.Version)}
	}
	return nil
}

func (l *Log) writeIdentity(names []string, id Identity) error {
	for _, n := range names {
		if n != lockName && !strings.HasSuffix(n, tempSuffix) {
			return &ForeignFolderError{File: l.disk.Path(n), Reason: "the folder is not empty, yet has no identity"}
		}
	}
	payload, err := json.Marshal(id)
	if err != nil {
		return err
	}
	l.identity = id
	return l.writeFile(identityName, appendFrame(nil, 0, payload))
}

func (l *Log) writeFile(name string, content []byte) error {
	return WriteFile(l.disk, name, content)
}

// WriteFile replaces a file atomically and durably: it writes and syncs a
// temporary file, renames it and syncs the folder. Errors are *DiskError.
func WriteFile(disk Disk, name string, content []byte) error {
	f, err := disk.Create(name + tempSuffix)
	if err != nil {
		return &DiskError{File: disk.Path(name), Cause: err}
	}
	_, err = f.Write(content)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = disk.Rename(name+tempSuffix, name)
	}
	if err == nil {
		err = disk.SyncFolder()
	}
	if err != nil {
		return &DiskError{File: disk.Path(name), Cause: err}
	}
	return nil
}

// Identity returns the identity stored in the data folder.
func (l *Log) Identity() Identity { return l.identity }

// Bytes returns the total size of all segments.
func (l *Log) Bytes() int {
	n := 0
	for _, s := range l.segments {
		n += s.size
	}
	return n
}

// Save appends a hard state, if not nil, and entries, and syncs them. After an
// error, a *DiskError, all further calls return the same error.
func (l *Log) Save(hard *consensus.HardState, entries []consensus.Entry) error {
	if l.failure != nil {
		return l.failure
	}
	if hard == nil && len(entries) == 0 {
		return nil
	}
	l.failure = l.save(hard, entries)
	return l.failure
}

func (l *Log) save(hard *consensus.HardState, entries []consensus.Entry) error {
	if l.tail().size >= l.SegmentBytes {
		if err := l.rotate(); err != nil {
			return err
		}
	}
	payload := []byte{}
	if hard != nil {
		l.hard = *hard
		payload = appendRecord(payload, recordHard, consensus.EncodeHardState(*hard))
	}
	for _, e := range entries {
		payload = appendRecord(payload, recordEntry, consensus.EncodeEntry(e))
		l.tail().highest = max(l.tail().highest, e.Index)
	}
	return l.appendPayload(payload)
}

// DiscardEntries voids all entries saved so far. It is called when a snapshot that was
// received replaces them, after WriteSnapshot and before Save: an entry at the snapshot's
// index that conflicts with it must not be taken for the one that later entries follow.
func (l *Log) DiscardEntries() error {
	if l.failure == nil {
		l.failure = l.appendPayload(appendRecord(nil, recordDiscard, nil))
	}
	return l.failure
}

func (l *Log) tail() *segment { return &l.segments[len(l.segments)-1] }

func (l *Log) appendPayload(payload []byte) error {
	l.sequence++
	b := appendFrame(nil, l.sequence, payload)
	_, err := l.file.Write(b)
	if err == nil {
		err = l.file.Sync()
	}
	if err != nil {
		return &DiskError{File: l.disk.Path(l.tail().name()), Cause: err}
	}
	l.tail().size += len(b)
	return nil
}

// rotate starts a new segment. The segment repeats the hard state so that older
// segments can be removed.
func (l *Log) rotate() error {
	next := segment{number: l.tail().number + 1}
	l.sequence++
	b := appendFrame(nil, l.sequence, appendRecord(nil, recordHard, consensus.EncodeHardState(l.hard)))
	if err := l.writeFile(next.name(), b); err != nil {
		return err
	}
	_ = l.file.Close()
	next.size = len(b)
	l.segments = append(l.segments, next)
	return l.openFile()
}

func (l *Log) openFile() error {
	f, err := l.disk.Append(l.tail().name())
	if err != nil {
		return &DiskError{File: l.disk.Path(l.tail().name()), Cause: err}
	}
	l.file = f
	return nil
}

// UseSnapshot switches to a snapshot written with WriteSnapshot. It removes the
// previous snapshot, and segments whose entries all have an index below keep. Files
// that an error leaves behind are removed by a later call or when the log is opened.
func (l *Log) UseSnapshot(m consensus.SnapshotMeta, keep uint64) error {
	old := l.snapshot
	l.snapshot = m
	err := error(nil)
	if old.Index != 0 && old.Index != m.Index {
		err = l.remove(snapshotName(old.Index))
	}
	for err == nil && len(l.segments) > 1 && l.segments[0].highest < keep {
		if err = l.remove(l.segments[0].name()); err == nil {
			l.segments = l.segments[1:]
		}
	}
	return err
}

// remove removes a file durably. Without the sync, a loss of power could bring back an
// older segment and not the one after it, and the log would have a gap.
func (l *Log) remove(name string) error {
	err := l.disk.Remove(name)
	if err == nil || errors.Is(err, fs.ErrNotExist) {
		err = l.disk.SyncFolder()
	}
	if err != nil {
		return &DiskError{File: l.disk.Path(name), Cause: err}
	}
	return nil
}

// Close closes the last segment and unlocks the folder.
func (l *Log) Close() error {
	_ = l.file.Close()
	return l.unlock()
}
