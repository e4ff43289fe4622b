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

func open(t *testing.T, folder string) (*Log, consensus.Saved) {
	t.Helper()
	l, saved, _, err := Open(Folder(folder), "main", "daemon-1", 7)
	require.NoError(t, err)
	return l, saved
}

// filled returns a folder with several segments.
func filled(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	l, _ := open(t, folder)
	l.SegmentBytes = 200
	for i := uint64(1); i <= 30; i++ {
		require.NoError(t, l.Save(&consensus.Hard{Term: i, Vote: 7}, entries(1, i, i)))
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

func damage(t *testing.T, file string, change func([]byte) []byte) {
	t.Helper()
	b, err := os.ReadFile(file)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(file, change(b), 0o600))
}

func TestReadsBackWhatWasSaved(t *testing.T) {
	folder := filled(t)
	require.Greater(t, len(segments(t, folder)), 3)
	l, saved := open(t, folder)
	require.Equal(t, consensus.Hard{Term: 30, Vote: 7}, saved.Hard)
	require.Equal(t, entries(1, 1, 30), saved.Entries)
	require.NoError(t, l.Save(nil, entries(2, 20, 21)))
	require.NoError(t, l.Close())
	_, saved = open(t, folder)
	require.Equal(t, append(entries(1, 1, 19), entries(2, 20, 21)...), saved.Entries)
}

func TestCutsATornTail(t *testing.T) {
	folder := filled(t)
	names := segments(t, folder)
	damage(t, names[len(names)-1], func(b []byte) []byte { return b[:len(b)-3] })
	_, saved := open(t, folder)
	require.Equal(t, entries(1, 1, 29), saved.Entries)
}

func TestRefusesDamageThatNoCrashExplains(t *testing.T) {
	cases := map[string]func(t *testing.T, names []string){
		"an early segment": func(t *testing.T, names []string) {
			damage(t, names[1], func(b []byte) []byte { b[30] ^= 1; return b })
		},
		"the last segment's first record": func(t *testing.T, names []string) {
			damage(t, names[len(names)-1], func(b []byte) []byte { b[25] ^= 1; return b })
		},
		"a missing segment": func(t *testing.T, names []string) {
			require.NoError(t, os.Remove(names[1]))
		},
	}
	for name, spoil := range cases {
		t.Run(name, func(t *testing.T) {
			folder := filled(t)
			l, _ := open(t, folder)
			require.NoError(t, l.Save(nil, entries(1, 31, 31)))
			require.NoError(t, l.Close())
			spoil(t, segments(t, folder))
			_, _, _, err := Open(Folder(folder), "main", "daemon-1", 7)
			corrupt := (*CorruptError)(nil)
			require.ErrorAs(t, err, &corrupt)
			require.Contains(t, corrupt.Error(), folder)
			require.Contains(t, corrupt.Error(), "offset")
		})
	}
}

func TestRefusesAForeignFolder(t *testing.T) {
	folder := filled(t)
	foreign := (*ForeignError)(nil)
	_, _, _, err := Open(Folder(folder), "main", "daemon-2", 7)
	require.ErrorAs(t, err, &foreign)
	_, _, _, err = Open(Folder(folder), "other", "daemon-1", 7)
	require.ErrorAs(t, err, &foreign)
	stray := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(stray, "photo.jpg"), nil, 0o600))
	_, _, _, err = Open(Folder(stray), "main", "daemon-1", 7)
	require.ErrorAs(t, err, &foreign)
}

func TestLockKeepsASecondDaemonOut(t *testing.T) {
	folder := t.TempDir()
	l, _ := open(t, folder)
	locked := (*LockedError)(nil)
	_, _, _, err := Open(Folder(folder), "main", "daemon-1", 8)
	require.ErrorAs(t, err, &locked)
	require.NoError(t, l.Close())
	again, _ := open(t, folder)
	require.Equal(t, consensus.ID(7), again.Identity().ID)
}

func TestSnapshotReplacesTheLogBeforeIt(t *testing.T) {
	folder := filled(t)
	l, _ := open(t, folder)
	meta := consensus.Meta{Index: 25, Term: 1, Size: 5, Members: []consensus.Member{{ID: 7, Name: "daemon-1"}}}
	require.NoError(t, WriteSnapshot(Folder(folder), consensus.Snapshot{Meta: meta, Data: []byte("state")}))
	l.UseSnapshot(meta, 20)
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

// fullDisk refuses writes after a number of bytes.
type fullDisk struct {
	Folder
	left *int
}

func (d fullDisk) Append(name string) (File, error) {
	f, err := d.Folder.Append(name)
	return fullFile{File: f, left: d.left}, err
}

type fullFile struct {
	File
	left *int
}

func (f fullFile) Write(b []byte) (int, error) {
	n := min(len(b), *f.left)
	*f.left -= n
	_, err := f.File.Write(b[:n])
	if n < len(b) {
		err = os.ErrInvalid
	}
	return n, err
}

func TestFullDiskStopsTheLogAndLosesNothing(t *testing.T) {
	folder := t.TempDir()
	left := 1000
	l, _, _, err := Open(fullDisk{Folder: Folder(folder), left: &left}, "main", "daemon-1", 7)
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
	_, read := open(t, folder)
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
	f.Add(appendRecord(appendRecord(nil, recordHard, consensus.EncodeHard(consensus.Hard{Term: 1})), recordEntry, consensus.EncodeEntry(entries(1, 1, 1)[0])))
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _ = decodeRecords(b)
	})
}

func FuzzDecodeSnapshot(f *testing.F) {
	f.Add(EncodeSnapshot(consensus.Snapshot{Meta: consensus.Meta{Index: 1, Term: 1, Size: 2}, Data: []byte("ab")}))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := DecodeSnapshot("file", b)
		if err == nil {
			require.Equal(t, int(s.Meta.Size), len(s.Data))
		}
	})
}
