package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testParams = Params{Share: 0.1, Slack: 50, RollbackTimeout: 5 * time.Second}

// started returns a controller of a new rollout and the book with its record, after the first
// commit.
func started(now time.Duration, term uint64, b *Book) *Controller {
	r, _ := b.Start(order)
	c := NewController(now, testParams, r)
	c.SetTerm(term)
	commit(now, c, b)
	return c
}

// commit commits what the controller proposes.
func commit(now time.Duration, c *Controller, b *Book) {
	if a, ok := c.Tick(now, Fleet{TargetSlots: 50, OldSlots: 50, EntriesLive: 1, EntriesKnown: 1}); ok {
		r, _ := b.Advance(a)
		c.Committed(now, r)
	}
}

// tries uses all that the target may get.
func tries(now time.Duration, c *Controller) int {
	n := 0
	for c.MayTry(now) {
		c.CountTry(now)
		n++
	}
	return n
}

// Guards against a target that gets requests before they are reserved in the log, and after
// the log stopped committing.
func TestTargetGetsReservedRequestsOnly(t *testing.T) {
	b := &Book{}
	c := started(0, 1, b)
	require.Zero(t, tries(0, c))
	now := 300 * time.Millisecond
	commit(now, c, b)
	r, _ := b.Record("p")
	require.Equal(t, int(r.Reserved), tries(now, c))
	require.LessOrEqual(t, r.Reserved, uint64(15))
	for range 10_000 {
		c.CountRequest(now)
	}
	c.Tick(now+time.Second, Fleet{})
	require.Zero(t, tries(now+time.Second, c), "the command did not commit")
}

// Guards against a leader that was paused and goes on with its permission.
func TestPermissionExpiresWithThePause(t *testing.T) {
	b := &Book{}
	c := started(0, 1, b)
	now := 300 * time.Millisecond
	a, ok := c.Tick(now, Fleet{TargetSlots: 5, OldSlots: 5})
	require.True(t, ok)
	r, _ := b.Advance(a)
	later := now + 2*time.Second
	c.Committed(later, r)
	require.False(t, c.MayTry(later), "the command was made 2 s ago")
	commit(later+time.Millisecond, c, b)
	require.True(t, c.MayTry(later+time.Millisecond))
}

// Guards against two leaders that use the same reservation.
func TestReservationIsNotSharedByTwoLeaders(t *testing.T) {
	b := &Book{}
	former := started(0, 1, b)
	commit(300*time.Millisecond, former, b)
	r, _ := b.Record("p")
	next := NewController(300*time.Millisecond, testParams, r)
	next.SetTerm(2)
	require.Zero(t, tries(300*time.Millisecond, next), "the reservation is the former leader's")
	for range 1000 {
		former.CountRequest(600 * time.Millisecond)
		next.CountRequest(600 * time.Millisecond)
	}
	commit(600*time.Millisecond, former, b)
	commit(600*time.Millisecond, next, b)
	commit(900*time.Millisecond, next, b)
	commit(900*time.Millisecond, former, b)
	now := 900 * time.Millisecond
	used := tries(now, former) + tries(now, next)
	r, _ = b.Record("p")
	require.LessOrEqual(t, used, int(r.Reserved))
	require.Positive(t, used)
	now = 1200 * time.Millisecond
	commit(now, former, b)
	require.Zero(t, tries(now, former), "the former leader's term is over")
}

// Guards against a completion while entries or old requests are not accounted for.
func TestCompletionWaitsForEntriesAndOldRequests(t *testing.T) {
	settled := func(f Fleet) time.Duration {
		b := &Book{}
		c := started(0, 1, b)
		b.Advance(Advance{Pool: "p", Number: 1, Phase: Settle, Term: 1})
		r, _ := b.Record("p")
		c.Committed(10*time.Millisecond, r)
		for now := 20 * time.Millisecond; now < 10*time.Second; now += 20 * time.Millisecond {
			if a, ok := c.Tick(now, f); ok && a.Phase == Completed {
				return now
			}
		}
		return 0
	}
	known := settled(Fleet{EntriesLive: 3, EntriesKnown: 3})
	require.GreaterOrEqual(t, known, time.Second)
	require.Less(t, known, 1200*time.Millisecond)
	require.GreaterOrEqual(t, settled(Fleet{EntriesLive: 3, EntriesKnown: 2}), 3*time.Second)
	require.Zero(t, settled(Fleet{EntriesLive: 3, EntriesKnown: 3, OldRunning: 1}))
}

// Guards against an order that never ends where no other version serves the pool.
func TestOnlyVersionCompletes(t *testing.T) {
	r, _ := (&Book{}).Start(order)
	c := NewController(0, testParams, r)
	a, _ := c.Tick(time.Second, Fleet{TargetSlots: 5})
	require.Equal(t, Trial, a.Phase)
	a, ok := c.Tick(6*time.Second, Fleet{TargetSlots: 5})
	require.True(t, ok)
	require.Equal(t, Completed, a.Phase)
}
