package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/api/upstream"
	"github.com/verbenastep/verbenastep/internal/engine"
)

const idleTimeout = 5 * time.Second

func startRunner(t *testing.T, decode float64) *Runner {
	t.Helper()
	r := NewRunner(upstream.Announcement{Pool: "m", Address: "127.0.0.1:0", Slots: 4}, Speed{PrefillPerSecond: 1e6, DecodePerSecond: decode})
	require.NoError(t, r.Listen())
	t.Cleanup(r.Close)
	return r
}

func dialRunner(t *testing.T, r *Runner) *engine.Conn {
	t.Helper()
	c, err := engine.Dial(t.Context(), r.Self.Address)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

// readToEnd reads a stream to its end and returns the text and the last frame.
func readToEnd(t *testing.T, st *engine.Stream) (string, upstream.Frame) {
	t.Helper()
	out := ""
	for {
		f, err := st.Next(idleTimeout)
		require.NoError(t, err)
		out += f.Text
		if f.End || f.Error != "" {
			return out, f
		}
	}
}

func startRequest(stream string) upstream.Start {
	return upstream.Start{Stream: stream, Model: "m", Prompt: "draft #6", MaxTokens: 100, Blocks: []uint64{1, 2}}
}

func TestStreamRunsOnceAndResumesAtEveryOffset(t *testing.T) {
	r := startRunner(t, 200)
	st, err := dialRunner(t, r).Start(t.Context(), startRequest("s1"), idleTimeout)
	require.NoError(t, err)
	whole, last := readToEnd(t, st)
	require.Equal(t, AnswerTo("draft #6", 100), whole)
	require.Equal(t, int64(len(whole)), last.Offset)
	_, err = dialRunner(t, r).Start(t.Context(), startRequest("s1"), idleTimeout)
	refused := (*engine.StatusError)(nil)
	require.True(t, errors.As(err, &refused))
	require.Equal(t, http.StatusConflict, refused.Status)
	for offset := range len(whole) + 1 {
		st, err := dialRunner(t, r).Resume(t.Context(), "s1", int64(offset), idleTimeout)
		require.NoError(t, err)
		tail, _ := readToEnd(t, st)
		require.Equal(t, whole[offset:], tail)
	}
	require.Equal(t, map[string]int{"s1": 1}, r.Executions())
}

// TestExportedStreamContinuesOnAnotherRunner guards against repeated work and
// lost bytes when a running stream moves to another runner with its cache.
func TestExportedStreamContinuesOnAnotherRunner(t *testing.T) {
	from, to := startRunner(t, 50), startRunner(t, 500)
	st, err := dialRunner(t, from).Start(t.Context(), startRequest("s1"), idleTimeout)
	require.NoError(t, err)
	first, err := st.Next(idleTimeout)
	require.NoError(t, err)
	moved, err := dialRunner(t, from).Export(t.Context(), "s1")
	require.NoError(t, err)
	before := first.Text
	for {
		f, err := st.Next(idleTimeout)
		if err != nil {
			break
		}
		before += f.Text
	}
	require.Equal(t, moved.Offset, int64(len(before)))
	require.NoError(t, dialRunner(t, to).Import(t.Context(), moved))
	resumed, err := dialRunner(t, to).Resume(t.Context(), "s1", moved.Offset, idleTimeout)
	require.NoError(t, err)
	after, _ := readToEnd(t, resumed)
	require.Equal(t, AnswerTo("draft #6", 100), before+after)
	require.Empty(t, to.Executions())
}

func TestOrderWithOldFenceIsRefused(t *testing.T) {
	for _, ignore := range []bool{false, true} {
		r := startRunner(t, 50)
		r.SetFaultPlan(FaultPlan{IgnoreFences: ignore})
		_, err := dialRunner(t, r).Order(t.Context(), upstream.Order{Fence: 7, Action: upstream.Load, Target: "m", Version: "2"})
		require.NoError(t, err)
		_, err = dialRunner(t, r).Order(t.Context(), upstream.Order{Fence: 6, Action: upstream.Unload, Target: "m"})
		require.Equal(t, ignore, err == nil)
		_, loaded := r.LoadedVersion("m")
		require.Equal(t, !ignore, loaded)
	}
}

func TestCancelEndsStream(t *testing.T) {
	r := startRunner(t, 20)
	st, err := dialRunner(t, r).Start(t.Context(), startRequest("s1"), idleTimeout)
	require.NoError(t, err)
	require.NoError(t, dialRunner(t, r).Cancel(context.Background(), "s1"))
	_, last := readToEnd(t, st)
	require.Equal(t, "canceled", last.Error)
}

func TestCacheReportsStoredAndEvictedBlocks(t *testing.T) {
	c := newCache(3)
	require.Zero(t, c.lookupAndStore([]uint64{1, 2}))
	require.Equal(t, 2, c.lookupAndStore([]uint64{1, 2, 3}))
	require.Equal(t, 1, c.lookupAndStore([]uint64{1, 9}))
	got, err := json.Marshal(c.takeEvents())
	require.NoError(t, err)
	require.JSONEq(t, `[{"sequence":1,"blocks":[1,2]},{"sequence":2,"blocks":[3]},{"sequence":3,"blocks":[9]},{"sequence":4,"evicted":true,"blocks":[2]}]`, string(got))
}
