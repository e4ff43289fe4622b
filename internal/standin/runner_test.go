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

const quiet = 5 * time.Second

func newRunner(t *testing.T, decode float64) *Runner {
	t.Helper()
	r := NewRunner(upstream.Announcement{Pool: "m", Address: "127.0.0.1:0", Slots: 4}, Speed{PrefillPerSecond: 1e6, DecodePerSecond: decode})
	require.NoError(t, r.Listen())
	t.Cleanup(r.Close)
	return r
}

func dial(t *testing.T, r *Runner) *engine.Conn {
	t.Helper()
	c, err := engine.Dial(t.Context(), r.Self.Address)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

// rest reads a stream to its end and returns the text and the last frame.
func rest(t *testing.T, st *engine.Stream) (string, upstream.Frame) {
	t.Helper()
	out := ""
	for {
		f, err := st.Next(quiet)
		require.NoError(t, err)
		out += f.Text
		if f.End || f.Error != "" {
			return out, f
		}
	}
}

func start(stream string) upstream.Start {
	return upstream.Start{Stream: stream, Model: "m", Prompt: "draft #6", MaxTokens: 100, Blocks: []uint64{1, 2}}
}

func TestStreamStartsOnceAndResumesAnywhere(t *testing.T) {
	r := newRunner(t, 200)
	st, err := dial(t, r).Start(t.Context(), start("s1"), quiet)
	require.NoError(t, err)
	whole, last := rest(t, st)
	require.Equal(t, AnswerTo("draft #6", 100), whole)
	require.Equal(t, int64(len(whole)), last.Offset)
	_, err = dial(t, r).Start(t.Context(), start("s1"), quiet)
	refused := (*engine.StatusError)(nil)
	require.True(t, errors.As(err, &refused))
	require.Equal(t, http.StatusConflict, refused.Status)
	for offset := range len(whole) + 1 {
		st, err := dial(t, r).Resume(t.Context(), "s1", int64(offset), quiet)
		require.NoError(t, err)
		tail, _ := rest(t, st)
		require.Equal(t, whole[offset:], tail)
	}
	require.Equal(t, map[string]int{"s1": 1}, r.Executions())
}

// TestMove takes a running stream with its cache to another runner: nothing is
// computed again and no byte is missing.
func TestMove(t *testing.T) {
	from, to := newRunner(t, 50), newRunner(t, 500)
	st, err := dial(t, from).Start(t.Context(), start("s1"), quiet)
	require.NoError(t, err)
	first, err := st.Next(quiet)
	require.NoError(t, err)
	moved, err := dial(t, from).Export(t.Context(), "s1")
	require.NoError(t, err)
	before := first.Text
	for {
		f, err := st.Next(quiet)
		if err != nil {
			break
		}
		before += f.Text
	}
	require.Equal(t, moved.Offset, int64(len(before)))
	require.NoError(t, dial(t, to).Import(t.Context(), moved))
	resumed, err := dial(t, to).Resume(t.Context(), "s1", moved.Offset, quiet)
	require.NoError(t, err)
	after, _ := rest(t, resumed)
	require.Equal(t, AnswerTo("draft #6", 100), before+after)
	require.Empty(t, to.Executions())
}

func TestOrdersAndFences(t *testing.T) {
	for _, ignore := range []bool{false, true} {
		r := newRunner(t, 50)
		r.SetPlan(Plan{IgnoreFences: ignore})
		_, err := dial(t, r).Order(t.Context(), upstream.Order{Fence: 7, Action: upstream.Load, Target: "m", Version: "2"})
		require.NoError(t, err)
		_, err = dial(t, r).Order(t.Context(), upstream.Order{Fence: 6, Action: upstream.Unload, Target: "m"})
		require.Equal(t, ignore, err == nil)
		_, loaded := r.Loaded("m")
		require.Equal(t, !ignore, loaded)
	}
}

func TestCancelEndsStream(t *testing.T) {
	r := newRunner(t, 20)
	st, err := dial(t, r).Start(t.Context(), start("s1"), quiet)
	require.NoError(t, err)
	require.NoError(t, dial(t, r).Cancel(context.Background(), "s1"))
	_, last := rest(t, st)
	require.Equal(t, "canceled", last.Error)
}

func TestCacheEvents(t *testing.T) {
	c := newCache(3)
	require.Zero(t, c.use([]uint64{1, 2}))
	require.Equal(t, 2, c.use([]uint64{1, 2, 3}))
	require.Equal(t, 1, c.use([]uint64{1, 9}))
	got, err := json.Marshal(c.take())
	require.NoError(t, err)
	require.JSONEq(t, `[{"sequence":1,"blocks":[1,2]},{"sequence":2,"blocks":[3]},{"sequence":3,"blocks":[9]},{"sequence":4,"evicted":true,"blocks":[2]}]`, string(got))
}
