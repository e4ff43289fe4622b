package entry

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/internal/standin"
)

func postTransfer(t *testing.T, e *testEntry, key, body string) response {
	t.Helper()
	return e.do(t, "POST", "/services/register-api/transfers", body, "Idempotency-Key", key)
}

// TestRetryWaitsForOwner checks that a retry at another entry, while the call
// still runs, waits for it and gets the same reply without a second execution.
func TestRetryWaitsForOwner(t *testing.T) {
	c := newCluster(t)
	s := c.startService(t, 600*time.Millisecond)
	first, second := c.startEntry(t, "entry-1"), c.startEntry(t, "entry-2")
	replies := make([]response, 2)
	group := sync.WaitGroup{}
	group.Go(func() {
		replies[0], _ = first.try("POST", "/services/register-api/transfers", "{}", "Idempotency-Key", "t1")
	})
	require.Eventually(t, func() bool { return total(s.Executions()) == 1 }, 5*time.Second, time.Millisecond)
	group.Go(func() {
		replies[1], _ = second.try("POST", "/services/register-api/transfers", "{}", "Idempotency-Key", "t1")
	})
	group.Wait()
	require.Equal(t, http.StatusOK, replies[0].status, replies[0].body)
	require.Equal(t, replies[0].body, replies[1].body)
	require.Equal(t, replies[0].header.Get("Content-Type"), replies[1].header.Get("Content-Type"))
	require.Equal(t, 1, total(s.Executions()))
}

// TestRecordedReplyAndConflict checks that after the crash of its entry a reply
// is read from the log, and that other content under its key is a conflict.
func TestRecordedReplyAndConflict(t *testing.T) {
	c := newCluster(t)
	s := c.startService(t, 0)
	first, second := c.startEntry(t, "entry-1"), c.startEntry(t, "entry-2")
	original := postTransfer(t, first, "t1", "{}")
	first.crash()
	require.Equal(t, original.body, postTransfer(t, second, "t1", "{}").body)
	retrieved := second.do(t, "GET", "/v1/answers/t1", "")
	require.Equal(t, original.body, retrieved.body)
	require.Equal(t, original.header.Get("Content-Type"), retrieved.header.Get("Content-Type"))
	other := postTransfer(t, second, "t1", `{"other":1}`)
	require.Equal(t, http.StatusConflict, other.status)
	require.Equal(t, 1, total(s.Executions()))
}

// TestInterruptedServiceCall checks that the outcome of an interrupted call is
// unknown at every entry and that the call never runs again.
func TestInterruptedServiceCall(t *testing.T) {
	for _, f := range []standin.Fault{standin.Cut, standin.Truncated} {
		t.Run(string(f), func(t *testing.T) {
			c := newCluster(t)
			s := c.startService(t, 0)
			s.SetFault(f)
			first, second := c.startEntry(t, "entry-1"), c.startEntry(t, "entry-2")
			require.Equal(t, fault.MayHaveRun, faultOf(t, postTransfer(t, first, "t1", "{}").body).Ran)
			s.SetFault("")
			for _, e := range []*testEntry{first, second} {
				retried := faultOf(t, postTransfer(t, e, "t1", "{}").body)
				require.Equal(t, fault.Unknown, retried.Kind)
				require.Equal(t, fault.MayHaveRun, retried.Ran)
			}
			require.Equal(t, 1, total(s.Executions()))
		})
	}
}

// TestOwnerCrashesDuringCall checks that a retry gets an unknown outcome if the
// entry that dispatched the call crashed, and that the log records it.
func TestOwnerCrashesDuringCall(t *testing.T) {
	c := newCluster(t)
	s := c.startService(t, 0)
	s.SetFault(standin.Silent)
	first, second := c.startEntry(t, "entry-1"), c.startEntry(t, "entry-2")
	go func() { _, _ = first.try("POST", "/services/register-api/transfers", "{}", "Idempotency-Key", "t1") }()
	require.Eventually(t, func() bool { return total(s.Executions()) == 1 }, 5*time.Second, time.Millisecond)
	first.crash()
	retried := faultOf(t, postTransfer(t, second, "t1", "{}").body)
	require.Equal(t, fault.Unknown, retried.Kind)
	require.Equal(t, fault.MayHaveRun, retried.Ran)
	claim, found, err := c.Lookup(t.Context(), "", "judging", "t1")
	require.NoError(t, err)
	require.True(t, found && claim.Unknown)
	require.Equal(t, 1, total(s.Executions()))
}

// TestClaimIsRetriedAfterLostReply guards against a failed or doubled call if the
// log commits a claim but its replies are lost.
func TestClaimIsRetriedAfterLostReply(t *testing.T) {
	c := newCluster(t)
	s := c.startService(t, 0)
	e := c.startEntry(t, "entry-1")
	c.mu.Lock()
	c.lostReplies = 3
	c.mu.Unlock()
	require.Equal(t, http.StatusOK, postTransfer(t, e, "t1", "{}").status)
	require.Equal(t, 1, total(s.Executions()))
}

// TestLogUnavailable checks that a request with a key does not run while the log
// is unavailable. The refusal says that it may have run, because an earlier
// attempt under the key may have.
func TestLogUnavailable(t *testing.T) {
	c := newCluster(t)
	s := c.startService(t, 0)
	e := c.startEntry(t, "entry-1")
	c.logDown = true
	f := faultOf(t, postTransfer(t, e, "t1", "{}").body)
	require.Equal(t, fault.Unavailable, f.Kind)
	require.Equal(t, fault.MayHaveRun, f.Ran)
	require.Zero(t, total(s.Executions()))
}

// TestRefusalAndRetry checks that a refused request is reported as not run and
// runs when it is sent again under the same key.
func TestRefusalAndRetry(t *testing.T) {
	c := newCluster(t)
	s := c.startService(t, 0)
	e := c.startEntry(t, "entry-1")
	c.schedulerError = fault.New(fault.Overloaded, "wait", "full").After(1500 * time.Millisecond)
	got := postTransfer(t, e, "t1", "{}")
	require.Equal(t, fault.NotRun, faultOf(t, got.body).Ran)
	require.Equal(t, "2", got.header.Get("Retry-After"))
	c.mu.Lock()
	c.schedulerError = nil
	c.mu.Unlock()
	require.Equal(t, http.StatusOK, postTransfer(t, e, "t1", "{}").status)
	require.Equal(t, 1, total(s.Executions()))
}
