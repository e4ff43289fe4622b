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

func transfer(t *testing.T, e *entryRig, key, body string) reply {
	t.Helper()
	return e.do(t, "POST", "/services/register-api/transfers", body, "Idempotency-Key", key)
}

// TestResendWaitsForOwner: a call that is still running at its owner is waited
// for at another entry, and both callers get the one reply.
func TestResendWaitsForOwner(t *testing.T) {
	c := newCluster(t)
	s := c.service(t, 600*time.Millisecond)
	one, two := c.entry(t, "entry-1"), c.entry(t, "entry-2")
	replies := make([]reply, 2)
	group := sync.WaitGroup{}
	group.Go(func() {
		replies[0], _ = one.try("POST", "/services/register-api/transfers", "{}", "Idempotency-Key", "t1")
	})
	require.Eventually(t, func() bool { return total(s.Executions()) == 1 }, 5*time.Second, time.Millisecond)
	group.Go(func() {
		replies[1], _ = two.try("POST", "/services/register-api/transfers", "{}", "Idempotency-Key", "t1")
	})
	group.Wait()
	require.Equal(t, http.StatusOK, replies[0].status, replies[0].body)
	require.Equal(t, replies[0].body, replies[1].body)
	require.Equal(t, replies[0].header.Get("Content-Type"), replies[1].header.Get("Content-Type"))
	require.Equal(t, 1, total(s.Executions()))
}

func TestRecordedReplyAndConflict(t *testing.T) {
	c := newCluster(t)
	s := c.service(t, 0)
	one, two := c.entry(t, "entry-1"), c.entry(t, "entry-2")
	first := transfer(t, one, "t1", "{}")
	one.crash()
	require.Equal(t, first.body, transfer(t, two, "t1", "{}").body)
	picked := two.do(t, "GET", "/v1/answers/t1", "")
	require.Equal(t, first.body, picked.body)
	require.Equal(t, first.header.Get("Content-Type"), picked.header.Get("Content-Type"))
	other := transfer(t, two, "t1", `{"other":1}`)
	require.Equal(t, http.StatusConflict, other.status)
	require.Equal(t, 1, total(s.Executions()))
}

// TestServiceBreaks: a call that broke off is unknown here and elsewhere, and
// never runs again.
func TestServiceBreaks(t *testing.T) {
	for _, f := range []standin.Fault{standin.Cut, standin.Truncated} {
		t.Run(string(f), func(t *testing.T) {
			c := newCluster(t)
			s := c.service(t, 0)
			s.SetFault(f)
			one, two := c.entry(t, "entry-1"), c.entry(t, "entry-2")
			require.Equal(t, fault.MayHaveRun, faultOf(t, transfer(t, one, "t1", "{}").body).Ran)
			s.SetFault("")
			for _, e := range []*entryRig{one, two} {
				again := faultOf(t, transfer(t, e, "t1", "{}").body)
				require.Equal(t, fault.Unknown, again.Kind)
				require.Equal(t, fault.MayHaveRun, again.Ran)
			}
			require.Equal(t, 1, total(s.Executions()))
		})
	}
}

// TestOwnerDiesInCall: the owner is gone in the middle of a call; a resend is
// told that the outcome is unknown.
func TestOwnerDiesInCall(t *testing.T) {
	c := newCluster(t)
	s := c.service(t, 0)
	s.SetFault(standin.Silent)
	one, two := c.entry(t, "entry-1"), c.entry(t, "entry-2")
	go func() { _, _ = one.try("POST", "/services/register-api/transfers", "{}", "Idempotency-Key", "t1") }()
	require.Eventually(t, func() bool { return total(s.Executions()) == 1 }, 5*time.Second, time.Millisecond)
	one.crash()
	again := faultOf(t, transfer(t, two, "t1", "{}").body)
	require.Equal(t, fault.Unknown, again.Kind)
	require.Equal(t, fault.MayHaveRun, again.Ran)
	claim, found, err := c.Lookup(t.Context(), "", "judging", "t1")
	require.NoError(t, err)
	require.True(t, found && claim.Unknown)
	require.Equal(t, 1, total(s.Executions()))
}

func TestLostClaimIsProposedAgain(t *testing.T) {
	c := newCluster(t)
	s := c.service(t, 0)
	e := c.entry(t, "entry-1")
	c.mu.Lock()
	c.lost = 3
	c.mu.Unlock()
	require.Equal(t, http.StatusOK, transfer(t, e, "t1", "{}").status)
	require.Equal(t, 1, total(s.Executions()))
}

// TestNoLog: without the log a keyed request does not run, and is not told so
// with certainty, for an earlier attempt may have.
func TestNoLog(t *testing.T) {
	c := newCluster(t)
	s := c.service(t, 0)
	e := c.entry(t, "entry-1")
	c.down = true
	f := faultOf(t, transfer(t, e, "t1", "{}").body)
	require.Equal(t, fault.Unavailable, f.Kind)
	require.Equal(t, fault.MayHaveRun, f.Ran)
	require.Zero(t, total(s.Executions()))
}

func TestRefusalAndResend(t *testing.T) {
	c := newCluster(t)
	s := c.service(t, 0)
	e := c.entry(t, "entry-1")
	c.refuse = fault.New(fault.Overloaded, "wait", "full").After(1500 * time.Millisecond)
	got := transfer(t, e, "t1", "{}")
	require.Equal(t, fault.NotRun, faultOf(t, got.body).Ran)
	require.Equal(t, "2", got.header.Get("Retry-After"))
	c.mu.Lock()
	c.refuse = nil
	c.mu.Unlock()
	require.Equal(t, http.StatusOK, transfer(t, e, "t1", "{}").status)
	require.Equal(t, 1, total(s.Executions()))
}
