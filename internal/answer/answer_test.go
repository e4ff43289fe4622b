package answer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/api/fault"
)

func TestPiecesMustContinue(t *testing.T) {
	a := New(Meta{})
	require.NoError(t, a.Append(0, []byte("ab")))
	require.Error(t, a.Append(0, []byte("ab")), "doubled")
	require.Error(t, a.Append(3, []byte("c")), "a gap")
	require.Error(t, a.Append(2, make([]byte, MaxBytes)), "too large")
	a.End(Result{Finish: "stop"})
	a.Fail(fault.New(fault.Internal, "", "late"))
	require.Error(t, a.Append(2, []byte("c")), "after the end")
	require.True(t, a.Whole())
}

// TestReadersFromAnyOffset: each reader gets all bytes from its own offset.
func TestReadersFromAnyOffset(t *testing.T) {
	a := New(Meta{})
	require.NoError(t, a.Append(0, []byte("hello")))
	a.End(Result{})
	for offset := range int64(6) {
		r := a.Attach(offset)
		p, err := r.Read(t.Context(), 0)
		require.NoError(t, err)
		require.Equal(t, "hello"[offset:], string(p.Data))
		require.True(t, p.Ended)
		r.Close()
	}
	_, err := a.Attach(6).Read(t.Context(), 0)
	require.Error(t, err)
}

// TestSlowReaderHoldsTheWriter: a reader that is a window behind makes the
// writer wait, until it reads on or goes away.
func TestSlowReaderHoldsTheWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(Meta{})
		slow := a.Attach(0)
		require.NoError(t, a.Append(0, make([]byte, Window)))
		passed := make(chan struct{}, 2)
		wait := func() {
			a.WaitRoom(t.Context())
			passed <- struct{}{}
		}
		go wait()
		synctest.Wait()
		require.Empty(t, passed)
		_, err := slow.Read(t.Context(), 0)
		require.NoError(t, err)
		<-passed
		require.NoError(t, a.Append(Window, make([]byte, Window)))
		go wait()
		synctest.Wait()
		require.Empty(t, passed)
		slow.Close()
		<-passed
	})
}

func TestReadWaitsForHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(Meta{}).Attach(0)
		began := time.Now()
		p, err := r.Read(t.Context(), time.Second)
		require.NoError(t, err)
		require.False(t, p.Ended || len(p.Data) > 0)
		require.Equal(t, time.Second, time.Since(began))
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err = r.Read(ctx, 0)
		require.ErrorIs(t, err, context.Canceled)
	})
}

func TestStoreIsBoundedByTimeAndBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewStore()
		s.Limit = 10
		dropped := []string{}
		s.Dropped = func(a *Answer) { dropped = append(dropped, a.Meta().Key) }
		for _, key := range []string{"a", "b", "c"} {
			a, fresh := s.Put(New(Meta{Key: key}))
			require.True(t, fresh)
			require.NoError(t, a.Append(0, make([]byte, 6)))
			a.End(Result{})
			time.Sleep(time.Minute)
		}
		running, _ := s.Put(New(Meta{Key: "running"}))
		require.NoError(t, running.Append(0, make([]byte, 2)))
		s.Expire(time.Now().Add(-time.Hour))
		require.Equal(t, []string{"a", "b"}, dropped)
		require.Equal(t, int64(8), s.Bytes())
		s.Expire(time.Now())
		require.Equal(t, []string{"a", "b", "c"}, dropped)
		require.Equal(t, 1, s.Len())
	})
}
