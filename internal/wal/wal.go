// Package wal keeps one group's replicated log on a disk.
//
// The folder holds an identity, the newest snapshot, and segments of frames.
// Invariants: Save returns only after a sync; a frame is written only after the
// one before it is synced, so a crash can spoil the last frame alone; a file
// other than the last segment appears under its name only once it is synced.
package wal

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/verbenastep/verbenastep/core/consensus"
)

const (
	// defaultSegmentBytes is the size at which a new segment begins.
	defaultSegmentBytes = 8 << 20

	identityName   = "identity"
	segmentSuffix  = ".log"
	snapshotSuffix = ".snapshot"
	newSuffix      = ".new"
)

// Kinds of records in a frame's payload.
const (
	recordHard  = 1
	recordEntry = 2
)

// Identity says whose folder it is.
type Identity struct {
	Version int          `json:"version"`
	Group   string       `json:"group"`
	Daemon  string       `json:"daemon"`
	ID      consensus.ID `json:"id"`
}

// identityVersion is the layout's version.
const identityVersion = 1

// segment is one file of frames.
type segment struct {
	number uint64
	// highest is the largest index of an entry in it.
	highest uint64
	size    int
}

func (s segment) name() string { return fmt.Sprintf("%016d%s", s.number, segmentSuffix) }

// Log is one group's log on disk. It is not safe for concurrent use.
type Log struct {
	// SegmentBytes is the size at which a new segment begins; it may be changed
	// after Open.
	SegmentBytes int

	disk     Disk
	unlock   func() error
	identity Identity
	hard     consensus.Hard
	segments []segment
	file     File
	sequence uint64
	snapshot consensus.Meta
	broken   error
}

// Open locks and reads a folder; an empty one becomes this daemon's, under the
// given new ID. It returns what the log holds and the snapshot's data.
func Open(disk Disk, group, daemon string, fresh consensus.ID) (*Log, consensus.Saved, []byte, error) {
	unlock, err := disk.Lock()
	if err != nil {
		return nil, consensus.Saved{}, nil, err
	}
	l := &Log{SegmentBytes: defaultSegmentBytes, disk: disk, unlock: unlock}
	saved, data, err := l.load(group, daemon, fresh)
	if err != nil {
		_ = unlock()
		return nil, consensus.Saved{}, nil, err
	}
	return l, saved, data, nil
}

func (l *Log) load(group, daemon string, fresh consensus.ID) (consensus.Saved, []byte, error) {
	names, err := l.disk.List()
	if err != nil {
		return consensus.Saved{}, nil, err
	}
	if err := l.loadIdentity(names, Identity{Version: identityVersion, Group: group, Daemon: daemon, ID: fresh}); err != nil {
		return consensus.Saved{}, nil, err
	}
	meta, data, err := l.loadSnapshot(names)
	if err != nil {
		return consensus.Saved{}, nil, err
	}
	entries, err := l.loadSegments(names)
	if err != nil {
		return consensus.Saved{}, nil, err
	}
	saved := consensus.Saved{Hard: l.hard, Meta: meta, Entries: after(entries, meta)}
	return saved, data, l.openTail()
}

// after drops what the snapshot covers, and everything where the log is not
// the one that the snapshot was taken of.
func after(entries []consensus.Entry, meta consensus.Meta) []consensus.Entry {
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
		return &ForeignError{File: path, Reason: fmt.Sprintf("the folder is group %q of daemon %q in layout %d, not group %q of daemon %q in layout %d", have.Group, have.Daemon, have.Version, want.Group, want.Daemon, want.Version)}
	}
	return nil
}

func (l *Log) writeIdentity(names []string, id Identity) error {
	for _, n := range names {
		if n != lockName && !strings.HasSuffix(n, newSuffix) {
			return &ForeignError{File: l.disk.Path(n), Reason: "the folder is not empty, yet has no identity"}
		}
	}
	payload, err := json.Marshal(id)
	if err != nil {
		return err
	}
	l.identity = id
	return l.replace(identityName, appendFrame(nil, 0, payload))
}

func (l *Log) replace(name string, content []byte) error {
	return WriteFile(l.disk, name, content)
}

// WriteFile puts a whole file in place of another: write, sync, rename, sync
// the folder.
func WriteFile(disk Disk, name string, content []byte) error {
	f, err := disk.Create(name + newSuffix)
	if err != nil {
		return &DiskError{File: disk.Path(name), Cause: err}
	}
	_, err = f.Write(content)
	if err == nil {
		err = f.Sync()
	}
	if closing := f.Close(); err == nil {
		err = closing
	}
	if err == nil {
		err = disk.Rename(name+newSuffix, name)
	}
	if err == nil {
		err = disk.SyncFolder()
	}
	if err != nil {
		return &DiskError{File: disk.Path(name), Cause: err}
	}
	return nil
}

// Identity returns whose folder it is.
func (l *Log) Identity() Identity { return l.identity }

// Bytes returns the size of all segments.
func (l *Log) Bytes() int {
	n := 0
	for _, s := range l.segments {
		n += s.size
	}
	return n
}

// Save writes and syncs. After an error the log takes nothing more.
func (l *Log) Save(hard *consensus.Hard, entries []consensus.Entry) error {
	if l.broken != nil {
		return l.broken
	}
	if hard == nil && len(entries) == 0 {
		return nil
	}
	l.broken = l.save(hard, entries)
	return l.broken
}

func (l *Log) save(hard *consensus.Hard, entries []consensus.Entry) error {
	if l.tail().size >= l.SegmentBytes {
		if err := l.rotate(); err != nil {
			return err
		}
	}
	payload := []byte{}
	if hard != nil {
		l.hard = *hard
		payload = appendRecord(payload, recordHard, consensus.EncodeHard(*hard))
	}
	for _, e := range entries {
		payload = appendRecord(payload, recordEntry, consensus.EncodeEntry(e))
		l.tail().highest = max(l.tail().highest, e.Index)
	}
	return l.write(payload)
}

func (l *Log) tail() *segment { return &l.segments[len(l.segments)-1] }

func (l *Log) write(payload []byte) error {
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

// rotate begins a segment, which repeats the hard state so that older ones can
// go.
func (l *Log) rotate() error {
	next := segment{number: l.tail().number + 1}
	l.sequence++
	b := appendFrame(nil, l.sequence, appendRecord(nil, recordHard, consensus.EncodeHard(l.hard)))
	if err := l.replace(next.name(), b); err != nil {
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

// UseSnapshot says that WriteSnapshot has put a snapshot into the folder: an
// older one goes, and segments whose entries all lie before keep.
func (l *Log) UseSnapshot(m consensus.Meta, keep uint64) {
	old := l.snapshot
	l.snapshot = m
	if old.Index != 0 && old.Index != m.Index {
		_ = l.disk.Remove(snapshotName(old.Index))
	}
	for len(l.segments) > 1 && l.segments[0].highest < keep {
		_ = l.disk.Remove(l.segments[0].name())
		l.segments = l.segments[1:]
	}
}

// Close releases the folder.
func (l *Log) Close() error {
	_ = l.file.Close()
	return l.unlock()
}
