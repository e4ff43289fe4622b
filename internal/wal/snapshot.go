package wal

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/verbenastep/verbenastep/core/consensus"
)

// A snapshot file consists of two frames: the encoded consensus.Meta and the
// data.

func snapshotName(index uint64) string { return fmt.Sprintf("%016d%s", index, snapshotSuffix) }

// EncodeSnapshot returns the on-disk encoding of a snapshot, which backups use
// too.
func EncodeSnapshot(s consensus.Snapshot) []byte {
	return appendFrame(appendFrame(nil, 0, consensus.EncodeSnapshotMeta(s.Meta)), 1, s.Data)
}

// DecodeSnapshot decodes EncodeSnapshot's output. It returns a *CorruptError for
// other input; path is used in its message only.
func DecodeSnapshot(path string, b []byte) (consensus.Snapshot, error) {
	head, ok := readFrame(b, 0)
	if !ok {
		return consensus.Snapshot{}, &CorruptError{File: path, Reason: "the snapshot's head is damaged"}
	}
	body, ok := readFrame(b, head.end)
	if !ok || body.end != len(b) {
		return consensus.Snapshot{}, &CorruptError{File: path, Offset: int64(head.end), Reason: "the snapshot's data is damaged"}
	}
	meta, err := consensus.DecodeSnapshotMeta(head.payload)
	if err != nil || meta.Size != uint64(len(body.payload)) {
		return consensus.Snapshot{}, &CorruptError{File: path, Reason: "the snapshot's head is not readable"}
	}
	return consensus.Snapshot{Meta: meta, Data: bytes.Clone(body.payload)}, nil
}

// WriteSnapshot writes a snapshot file into a folder, atomically and durably.
func WriteSnapshot(disk Disk, s consensus.Snapshot) error {
	return WriteFile(disk, snapshotName(s.Meta.Index), EncodeSnapshot(s))
}

func (l *Log) loadSnapshot(names []string) (consensus.Meta, []byte, error) {
	newest := ""
	for _, n := range names {
		if strings.HasSuffix(n, tempSuffix) {
			_ = l.disk.Remove(n)
		}
		if strings.HasSuffix(n, snapshotSuffix) {
			newest = n
		}
	}
	if newest == "" {
		return consensus.Meta{}, nil, nil
	}
	b, err := l.disk.Read(newest)
	if err != nil {
		return consensus.Meta{}, nil, err
	}
	s, err := DecodeSnapshot(l.disk.Path(newest), b)
	if err != nil {
		return consensus.Meta{}, nil, err
	}
	l.snapshot = s.Meta
	for _, n := range names {
		if strings.HasSuffix(n, snapshotSuffix) && n != newest {
			_ = l.disk.Remove(n)
		}
	}
	return s.Meta, s.Data, nil
}

// ReadSnapshot reads length bytes of a snapshot's data from an offset.
func (l *Log) ReadSnapshot(meta consensus.Meta, offset, length uint64) ([]byte, error) {
	head := 2*frameHeaderBytes + len(consensus.EncodeSnapshotMeta(meta))
	return l.disk.ReadAt(snapshotName(meta.Index), int64(head)+int64(offset), int(length))
}
