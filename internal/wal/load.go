package wal

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"

	"github.com/verbenastep/verbenastep/core/consensus"
)

func appendRecord(b []byte, kind byte, data []byte) []byte {
	b = append(b, kind)
	b = binary.AppendUvarint(b, uint64(len(data)))
	return append(b, data...)
}

// frameRecords is the decoded payload of a frame.
type frameRecords struct {
	// discard is set if all entries of earlier frames are void.
	discard bool
	hard    *consensus.HardState
	entries []consensus.Entry
}

func decodeRecords(b []byte) (frameRecords, error) {
	out := frameRecords{}
	for len(b) > 0 {
		kind := b[0]
		size, n := binary.Uvarint(b[1:])
		if n <= 0 || size > uint64(len(b)-1-n) {
			return out, consensus.ErrMalformed
		}
		data := b[1+n : 1+n+int(size)]
		b = b[1+n+int(size):]
		switch kind {
		case recordHard:
			h, err := consensus.DecodeHardState(data)
			if err != nil {
				return out, err
			}
			out.hard = &h
		case recordEntry:
			e, err := consensus.DecodeEntry(data)
			if err != nil {
				return out, err
			}
			out.entries = append(out.entries, e)
		case recordDiscard:
			out.discard = true
		default:
			return out, consensus.ErrMalformed
		}
	}
	return out, nil
}

// loadSegments reads all segments in order and returns the entries that have
// not been overwritten by later ones.
func (l *Log) loadSegments(names []string) ([]consensus.Entry, error) {
	entries := []consensus.Entry{}
	segments := []string{}
	for _, name := range names {
		if strings.HasSuffix(name, segmentSuffix) {
			segments = append(segments, name)
		}
	}
	for i, name := range segments {
		number, err := strconv.ParseUint(strings.TrimSuffix(name, segmentSuffix), 10, 64)
		if err != nil {
			return nil, &ForeignFolderError{File: l.disk.Path(name), Reason: "the segment's name is not a number"}
		}
		l.segments = append(l.segments, segment{number: number})
		entries, err = l.loadSegment(name, i == len(segments)-1, entries)
		if err != nil {
			return nil, err
		}
	}
	return entries, nil
}

func (l *Log) loadSegment(name string, last bool, entries []consensus.Entry) ([]consensus.Entry, error) {
	path := l.disk.Path(name)
	b, err := l.disk.Read(name)
	if err != nil {
		return nil, err
	}
	frames, end, err := readFrames(path, b)
	if err != nil {
		return nil, err
	}
	if end < len(b) && !last {
		return nil, &CorruptError{File: path, Offset: int64(end), Reason: "the record is damaged, yet a later segment exists"}
	}
	offset := 0
	for _, f := range frames {
		if l.sequence != 0 && f.sequence != l.sequence+1 {
			return nil, &CorruptError{File: path, Offset: int64(offset), Reason: fmt.Sprintf("record %d follows record %d", f.sequence, l.sequence)}
		}
		rec, err := decodeRecords(f.payload)
		if err != nil {
			return nil, &CorruptError{File: path, Offset: int64(offset), Reason: err.Error()}
		}
		l.sequence = f.sequence
		if rec.hard != nil {
			l.hard = *rec.hard
		}
		if rec.discard {
			entries = entries[:0]
		}
		for _, e := range rec.entries {
			entries = applyEntry(entries, e)
			l.tail().highest = max(l.tail().highest, e.Index)
		}
		offset = f.end
	}
	l.tail().size = end
	return entries, nil
}

// applyEntry appends an entry and drops all entries from its index on. After a
// gap, which the installation of a leader's snapshot leaves, it drops all
// earlier entries.
func applyEntry(entries []consensus.Entry, e consensus.Entry) []consensus.Entry {
	if len(entries) == 0 {
		return append(entries, e)
	}
	first := entries[0].Index
	if e.Index < first || e.Index > first+uint64(len(entries)) {
		return append(entries[:0], e)
	}
	return append(entries[:e.Index-first], e)
}

// rewriteTail removes a torn write from the last segment and opens the segment
// for appending. It rewrites the whole segment because, after a failed sync, the
// operating system may return bytes that are not on disk.
func (l *Log) rewriteTail() error {
	if len(l.segments) == 0 {
		l.segments = []segment{{number: 1}}
		if err := l.writeFile(l.tail().name(), nil); err != nil {
			return err
		}
		return l.openFile()
	}
	b, err := l.disk.Read(l.tail().name())
	if err != nil {
		return err
	}
	if err := l.writeFile(l.tail().name(), b[:l.tail().size]); err != nil {
		return err
	}
	return l.openFile()
}
