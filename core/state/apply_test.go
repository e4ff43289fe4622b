package state

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/config"
)

func files(content string) config.Files {
	return config.Files{"a.json": json.RawMessage(content), "b.json": json.RawMessage(`{"same":true}`)}
}

func apply(m *Machine, base uint64, operator, content string) Result {
	return m.Apply(Command{Apply: &Apply{Base: base, Operator: operator, Files: files(content)}})
}

func TestResentApplyReturnsFirstResult(t *testing.T) {
	m := New()
	first := apply(m, 0, "ana", `{"n":1}`)
	require.Equal(t, Result{Status: OK, Version: 1, Digest: files(`{"n":1}`).Digest()}, first)
	for i := uint64(1); i < 1000; i++ {
		require.Equal(t, i+1, apply(m, i, "ana", fmt.Sprintf(`{"n":%d}`, i+1)).Version)
	}
	require.Equal(t, first, apply(m, 0, "ana", `{"n":1}`))
	number, _, _ := m.Config()
	require.Equal(t, uint64(1000), number)
}

func TestApplyOnSameBaseConflicts(t *testing.T) {
	m := New()
	apply(m, 0, "ana", `{"n":1}`)
	require.Equal(t, OK, apply(m, 1, "ana", `{"n":2}`).Status)
	apply(m, 2, "eva", `{"n":3}`)
	lost := apply(m, 1, "leo", `{"n":9}`)
	require.Equal(t, Conflict, lost.Status)
	require.Equal(t, "ana", lost.Winner)
	require.Equal(t, uint64(3), lost.Version)
	want := config.Difference{File: "a.json", Path: "$.n", Yours: json.RawMessage("9"), Theirs: json.RawMessage("3")}
	require.Equal(t, []config.Difference{want}, lost.Differences)
}

func TestMissedVersionsMergeIntoOneDelta(t *testing.T) {
	m := New()
	apply(m, 0, "ana", `{"n":1}`)
	_, digest, old := m.Config()
	for i := uint64(1); i < 400; i++ {
		apply(m, i, "ana", fmt.Sprintf(`{"n":%d}`, i+1))
	}
	recentDelta, ok := m.DeltaSince(399, files(`{"n":399}`).Digest())
	require.True(t, ok)
	require.Len(t, recentDelta.Set, 1)
	oldDelta, ok := m.DeltaSince(1, digest)
	require.True(t, ok)
	got, err := oldDelta.Apply(old)
	require.NoError(t, err)
	require.Equal(t, files(`{"n":400}`), got)
}

func claimCommand(key, stream string, at int64) Command {
	return Command{Claim: &Claim{Workspace: "w", Key: key, Digest: "d", Stream: stream, AtMS: at}}
}

func TestTrimAnswersKeepsClaims(t *testing.T) {
	m := New()
	for i := range 4 {
		key := fmt.Sprint(i)
		m.Apply(claimCommand(key, "s"+key, int64(i)))
		m.Apply(Command{Finish: &Finish{Workspace: "w", Key: key, Stream: "s" + key, Status: 200, Body: make([]byte, 10)}})
	}
	require.Equal(t, int64(40), m.AnswerBytes())
	m.Apply(Command{Trim: &Trim{BeforeMS: 1, AnswerBytes: 15}})
	require.Equal(t, 3, m.ClaimCount())
	require.Equal(t, int64(10), m.AnswerBytes())
	dropped, ok := m.Claim("w", "1")
	require.True(t, ok)
	require.Nil(t, dropped.Body)
	require.Equal(t, Exists, m.Apply(claimCommand("1", "other", 9)).Status)
}

func TestFrozenStateDoesNotChange(t *testing.T) {
	m := New()
	apply(m, 0, "ana", `{"n":1}`)
	apply(m, 1, "ana", `{"n":2}`)
	m.Apply(claimCommand("k", "s", 1))
	m.Apply(Command{Acquire: &Acquire{Name: "l", Holder: "h"}})
	frozen := m.Freeze()
	m.Apply(Command{Finish: &Finish{Workspace: "w", Key: "k", Stream: "s", Status: 200}})
	apply(m, 2, "ana", `{"n":3}`)
	data, err := frozen.Encode()
	require.NoError(t, err)
	restored := New()
	require.NoError(t, restored.Restore(data))
	c, _ := restored.Claim("w", "k")
	require.False(t, c.Done)
	require.Equal(t, uint64(1), restored.Lease("l").Epoch)
	require.Equal(t, uint64(1), apply(restored, 0, "ana", `{"n":1}`).Version)
	_, ok := restored.DeltaSince(1, files(`{"n":1}`).Digest())
	require.True(t, ok)
}

func FuzzRestore(f *testing.F) {
	m := New()
	apply(m, 0, "ana", `{"n":1}`)
	m.Apply(claimCommand("k", "s", 1))
	data, _ := m.Snapshot()
	f.Add(data)
	f.Fuzz(func(t *testing.T, b []byte) {
		m := New()
		if m.Restore(b) == nil {
			_, err := m.Snapshot()
			require.NoError(t, err)
			m.Apply(Command{Trim: &Trim{BeforeMS: 1 << 40, AnswerBytes: 1}})
		}
	})
}

func FuzzCommands(f *testing.F) {
	f.Add([]byte(`[{"apply":{"base":0,"files":{"a":{}}}},{"claim":{"workspace":"w","key":"k","stream":"s"}},{"finish":{"workspace":"w","key":"k","stream":"s"}},{"acquire":{"name":"n","holder":"h"}},{"expire":{"name":"n","epoch":1}},{"suspect":{"pool":"p"}},{"trim":{"before_ms":9}}]`))
	f.Add([]byte(`[{"rollout":{"start":{"pool":"p","target":"v2","duration_ns":9}}},{"rollout":{"advance":{"pool":"p","number":1,"phase":"shift","reserved":4}}},{"rollout":{}}]`))
	f.Fuzz(func(t *testing.T, b []byte) {
		list := []Command{}
		if json.Unmarshal(b, &list) != nil {
			return
		}
		m := New()
		for _, c := range list {
			m.Apply(c)
		}
		data, err := m.Snapshot()
		if err == nil {
			require.NoError(t, New().Restore(data))
		}
	})
}
