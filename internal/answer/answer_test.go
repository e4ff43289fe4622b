package answer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/api/fault"
)

// TestAppendRejectsInvalidOffsets guards against repeated, missing or late bytes
// in an answer.
func TestAppendRejectsInvalidOffsets(t *testing.T) {
	a := New(Meta{})
	require.NoError(t, a.Append(0, []byte("ab")))
	require.Error(t, a.Append(0, []byte("ab")), "repeated bytes")
	require.Error(t, a.Append(3, []byte("c")), "a gap")
	require.Error(t, a.Append(2, make([]byte, MaxBytes)), "too large")
	a.End(Result{FinishReason: "stop"})
	a.Fail(fault.New(fault.Internal, "", "late"))
	require.Error(t, a.Append(2, []byte("c")), "after the end")
	require.True(t, a.IsComplete())
}

// TestReadersFromAnyOffset checks that a reader gets all bytes from its offset,
// and an error for an offset beyond the end.
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

// TestSlowReaderBlocksWriter checks that a reader MaxReaderLag bytes behind
// blocks the writer until it reads or closes.
func TestSlowReaderBlocksWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(Meta{})
		slow := a.Attach(0)
		require.NoError(t, a.Append(0, make([]byte, MaxReaderLag)))
		unblocked := make(chan struct{}, 2)
		wait := func() {
			a.WaitForReaders(t.Context())
			unblocked <- struct{}{}
		}
		go wait()
		synctest.Wait()
		require.Empty(t, unblocked)
		_, err := slow.Read(t.Context(), 0)
		require.NoError(t, err)
		<-unblocked
		require.NoError(t, a.Append(MaxReaderLag, make([]byte, MaxReaderLag)))
		go wait()
		synctest.Wait()
		require.Empty(t, unblocked)
		slow.Close()
		<-unblocked
	})
}

// TestReadReturnsAfterWait checks that Read returns empty after its wait, and an
// error when its context ends.
func TestReadReturnsAfterWait(t *testing.T) {
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

// TestStoreIsBoundedByTimeAndBytes checks that finished answers are removed by
// size, oldest first, and by age, and that running answers stay.
func TestStoreIsBoundedByTimeAndBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewStore()
		s.MaxBytes = 10
		removed := []string{}
		s.OnRemoved = func(a *Answer) { removed = append(removed, a.Meta().Key) }
		for _, key := range []string{"a", "b", "c"} {
			a, fresh := s.PutIfAbsent(New(Meta{Key: key}))
			require.True(t, fresh)
			require.NoError(t, a.Append(0, make([]byte, 6)))
			a.End(Result{})
			time.Sleep(time.Minute)
		}
		running, _ := s.PutIfAbsent(New(Meta{Key: "running"}))
		require.NoError(t, running.Append(0, make([]byte, 2)))
		s.Expire(time.Now().Add(-time.Hour))
		require.Equal(t, []string{"a", "b"}, removed)
		require.Equal(t, int64(8), s.Bytes())
		s.Expire(time.Now())
		require.Equal(t, []string{"a", "b", "c"}, removed)
		require.Equal(t, 1, s.Len())
	})
}
