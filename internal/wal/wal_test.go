package wal

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/consensus"
)

func entries(term, first, last uint64) []consensus.Entry {
	out := []consensus.Entry{}
	for i := first; i <= last; i++ {
		out = append(out, consensus.Entry{Term: term, Index: i, Data: []byte("command")})
	}
	return out
}

func openLog(t *testing.T, folder string) (*Log, consensus.StoredState) {
	t.Helper()
	l, saved, _, err := Open(Folder(folder), "main", "daemon-1", 7)
	require.NoError(t, err)
	return l, saved
}

// newFilledFolder returns a folder with several segments and 30 entries.
func newFilledFolder(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	l, _ := openLog(t, folder)
	l.SegmentBytes = 200
	for i := uint64(1); i <= 30; i++ {
		require.NoError(t, l.Save(&consensus.HardState{Term: i, VotedFor: 7}, entries(1, i, i)))
	}
	require.NoError(t, l.Close())
	return folder
}

func segments(t *testing.T, folder string) []string {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(folder, "*"+segmentSuffix))
	require.NoError(t, err)
	return names
}

func modifyFile(t *testing.T, file string, change func([]byte) []byte) {
	t.Helper()
	b, err := os.ReadFile(file)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(file, change(b), 0o600))
}

func TestReopenReturnsSavedState(t *testing.T) {
	folder := newFilledFolder(t)
	require.Greater(t, len(segments(t, folder)), 3)
	l, saved := openLog(t, folder)
	require.Equal(t, consensus.HardState{Term: 30, VotedFor: 7}, saved.HardState)
	require.Equal(t, entries(1, 1, 30), saved.Entries)
	require.NoError(t, l.Save(nil, entries(2, 20, 21)))
	require.NoError(t, l.Close())
	_, saved = openLog(t, folder)
	require.Equal(t, append(entries(1, 1, 19), entries(2, 20, 21)...), saved.Entries)
}

func TestOpenTruncatesTornTail(t *testing.T) {
	folder := newFilledFolder(t)
	names := segments(t, folder)
	modifyFile(t, names[len(names)-1], func(b []byte) []byte { return b[:len(b)-3] })
	_, saved := openLog(t, folder)
	require.Equal(t, entries(1, 1, 29), saved.Entries)
}

func TestOpenRejectsCorruption(t *testing.T) {
	cases := map[string]func(t *testing.T, names []string){
		"an early segment": func(t *testing.T, names []string) {
			modifyFile(t, names[1], func(b []byte) []byte { b[30] ^= 1; return b })
		},
		"the last segment's first record": func(t *testing.T, names []string) {
			modifyFile(t, names[len(names)-1], func(b []byte) []byte { b[25] ^= 1; return b })
		},
		"a missing segment": func(t *testing.T, names []string) {
			require.NoError(t, os.Remove(names[1]))
		},
	}
	for name, corruptFiles := range cases {
		t.Run(name, func(t *testing.T) {
			folder := newFilledFolder(t)
			l, _ := openLog(t, folder)
			require.NoError(t, l.Save(nil, entries(1, 31, 31)))
			require.NoError(t, l.Close())
			corruptFiles(t, segments(t, folder))
			_, _, _, err := Open(Folder(folder), "main", "daemon-1", 7)
			corrupt := (*CorruptError)(nil)
			require.ErrorAs(t, err, &corrupt)
			require.Contains(t, corrupt.Error(), folder)
			require.Contains(t, corrupt.Error(), "offset")
		})
	}
}

func TestOpenRejectsForeignFolder(t *testing.T) {
	folder := newFilledFolder(t)
	foreign := (*ForeignFolderError)(nil)
	_, _, _, err := Open(Folder(folder), "main", "daemon-2", 7)
	require.ErrorAs(t, err, &foreign)
	_, _, _, err = Open(Folder(folder), "other", "daemon-1", 7)
	require.ErrorAs(t, err, &foreign)
	stray := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(stray, "photo.jpg"), nil, 0o600))
	_, _, _, err = Open(Folder(stray), "main", "daemon-1", 7)
	require.ErrorAs(t, err, &foreign)
}

func TestLockExcludesSecondProcess(t *testing.T) {
	folder := t.TempDir()
	l, _ := openLog(t, folder)
	locked := (*LockedError)(nil)
	_, _, _, err := Open(Folder(folder), "main", "daemon-1", 8)
	require.ErrorAs(t, err, &locked)
	require.NoError(t, l.Close())
	again, _ := openLog(t, folder)
	require.Equal(t, consensus.ID(7), again.Identity().ID)
}

func TestSnapshotReplacesEarlierEntries(t *testing.T) {
	folder := newFilledFolder(t)
	l, _ := openLog(t, folder)
	meta := consensus.SnapshotMeta{Index: 25, Term: 1, Size: 5, Members: []consensus.Member{{ID: 7, Name: "daemon-1"}}}
	require.NoError(t, WriteSnapshot(Folder(folder), consensus.Snapshot{Meta: meta, Data: []byte("state")}))
	require.NoError(t, l.UseSnapshot(meta, 20))
	part, err := l.ReadSnapshot(meta, 1, 3)
	require.NoError(t, err)
	require.Equal(t, "tat", string(part))
	require.NoError(t, l.Close())
	_, saved, data, err := Open(Folder(folder), "main", "daemon-1", 7)
	require.NoError(t, err)
	require.Equal(t, meta, saved.Meta)
	require.Equal(t, "state", string(data))
	require.Equal(t, entries(1, 26, 30), saved.Entries)
}

// Entries that followed an installed snapshot were lost at the next start, though they
// had been acknowledged: an older entry of another term at the snapshot's index made the
// whole log seem to conflict with the snapshot.
func TestEntriesAfterInstalledSnapshotSurviveRestart(t *testing.T) {
	const staleTerm, snapshotTerm, snapshotIndex = 1, 2, 25
	folder := newFilledFolder(t)
	l, _ := openLog(t, folder)
	meta := consensus.SnapshotMeta{Index: snapshotIndex, Term: snapshotTerm, Size: 5, Members: []consensus.Member{{ID: 7, Name: "daemon-1"}}}
	require.NoError(t, WriteSnapshot(Folder(folder), consensus.Snapshot{Meta: meta, Data: []byte("state")}))
	require.NoError(t, l.DiscardEntries())
	require.NoError(t, l.UseSnapshot(meta, snapshotIndex))
	acknowledged := entries(snapshotTerm, snapshotIndex+1, snapshotIndex+3)
	require.NoError(t, l.Save(nil, acknowledged))
	require.NoError(t, l.Close())
	_, saved := openLog(t, folder)
	require.Equal(t, meta, saved.Meta)
	require.Equal(t, acknowledged, saved.Entries)
}

// A crash between an installed snapshot and the record that discards what it replaces must
// not bring stale entries back.
func TestStaleEntriesBeforeInstalledSnapshotAreDropped(t *testing.T) {
	folder := newFilledFolder(t)
	meta := consensus.SnapshotMeta{Index: 25, Term: 2, Size: 5, Members: []consensus.Member{{ID: 7, Name: "daemon-1"}}}
	require.NoError(t, WriteSnapshot(Folder(folder), consensus.Snapshot{Meta: meta, Data: []byte("state")}))
	_, saved := openLog(t, folder)
	require.Equal(t, meta, saved.Meta)
	require.Empty(t, saved.Entries)
}

// limitedDisk fails writes after a number of bytes.
type limitedDisk struct {
	Folder
	bytesLeft *int
}

func (d limitedDisk) Append(name string) (File, error) {
	f, err := d.Folder.Append(name)
	return limitedFile{File: f, bytesLeft: d.bytesLeft}, err
}

type limitedFile struct {
	File
	bytesLeft *int
}

func (f limitedFile) Write(b []byte) (int, error) {
	n := min(len(b), *f.bytesLeft)
	*f.bytesLeft -= n
	_, err := f.File.Write(b[:n])
	if n < len(b) {
		err = os.ErrInvalid
	}
	return n, err
}

func TestWriteFailureStopsLogWithoutDataLoss(t *testing.T) {
	folder := t.TempDir()
	left := 1000
	l, _, _, err := Open(limitedDisk{Folder: Folder(folder), bytesLeft: &left}, "main", "daemon-1", 7)
	require.NoError(t, err)
	saved := uint64(0)
	for err == nil {
		if err = l.Save(nil, entries(1, saved+1, saved+1)); err == nil {
			saved++
		}
	}
	failed := (*DiskError)(nil)
	require.ErrorAs(t, err, &failed)
	left = 1 << 20
	require.ErrorAs(t, l.Save(nil, entries(1, saved+1, saved+1)), &failed)
	require.NoError(t, l.Close())
	_, read := openLog(t, folder)
	require.Equal(t, entries(1, 1, saved), read.Entries)
}

func FuzzReadFrames(f *testing.F) {
	f.Add(appendFrame(appendFrame(nil, 1, []byte("one")), 2, []byte("two")))
	f.Fuzz(func(t *testing.T, b []byte) {
		frames, end, err := readFrames("file", b)
		require.LessOrEqual(t, end, len(b))
		again := []byte{}
		for _, fr := range frames {
			again = appendFrame(again, fr.sequence, fr.payload)
			_, _ = decodeRecords(fr.payload)
		}
		if err == nil {
			require.Equal(t, b[:end], again)
		}
	})
}

func FuzzDecodeRecords(f *testing.F) {
	f.Add(appendRecord(appendRecord(nil, recordHard, consensus.EncodeHardState(consensus.HardState{Term: 1})), recordEntry, consensus.EncodeEntry(entries(1, 1, 1)[0])))
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _ = decodeRecords(b)
	})
}

func FuzzDecodeSnapshot(f *testing.F) {
	f.Add(EncodeSnapshot(consensus.Snapshot{Meta: consensus.SnapshotMeta{Index: 1, Term: 1, Size: 2}, Data: []byte("ab")}))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := DecodeSnapshot("file", b)
		if err == nil {
			require.Equal(t, int(s.Meta.Size), len(s.Data))
		}
	})
}
