package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestMessageRoundTrip(t *testing.T) {
	m := Message{
		Kind: InstallChunk, From: 1, To: 2, Term: 3, Index: 4, LogTerm: 5, Commit: 6, Hint: 7, Sequence: 8, Reject: true, Force: true,
		Entries: []Entry{{Term: 3, Index: 5, Kind: EntryMembers, Data: []byte("x")}},
		Chunk: &Chunk{
			Meta:   Meta{Index: 9, Term: 2, Size: 3, Members: []Member{{ID: 1, Name: "a", Address: "b", Learner: true}}},
			Offset: 1, Length: 2, Data: []byte("yz"),
		},
	}
	got, err := DecodeMessage(EncodeMessage(m))
	require.NoError(t, err)
	require.Equal(t, m, got)
	_, err = DecodeMessage(append(EncodeMessage(m), 0))
	require.ErrorIs(t, err, ErrMalformed)
}

func FuzzDecodeMessage(f *testing.F) {
	f.Add(EncodeMessage(Message{Kind: Append, From: 1, To: 2, Entries: []Entry{{Term: 1, Index: 1, Data: []byte("x")}}}))
	f.Add(EncodeMessage(Message{Kind: InstallChunk, Chunk: &Chunk{Meta: Meta{Members: []Member{{ID: 1}}}}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := DecodeMessage(b)
		if err != nil {
			return
		}
		again, err := DecodeMessage(EncodeMessage(m))
		require.NoError(t, err)
		require.Equal(t, m, again)
	})
}

func FuzzDecodeRecords(f *testing.F) {
	f.Add(EncodeEntry(Entry{Term: 1, Index: 2, Data: []byte("x")}))
	f.Add(EncodeMembers([]Member{{ID: 1, Name: "a"}}))
	f.Add(EncodeSnapshotMeta(Meta{Index: 1}))
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _ = DecodeEntry(b)
		_, _ = DecodeHardState(b)
		_, _ = DecodeSnapshotMeta(b)
		_, _ = DecodeMembers(b)
	})
}
