package broker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/routes"
)

// windowTest drives the window of one engine with 16 slots by the ends of requests.
type windowTest struct {
	*Broker
	t   *testing.T
	now time.Duration
	n   uint64
}

// newWindowTest returns an engine whose time per token is known and whose process has just been
// replaced.
func newWindowTest(t *testing.T, p Pace) *windowTest {
	w := &windowTest{Broker: New(1), t: t}
	w.SetTable(routes.NewIndex(&routes.Table{Version: 1, Pools: []routes.Pool{{Name: "p", Engine: &routes.Engine{Slots: 16}}}}))
	w.SetPace(p)
	u := Upstream{ID: "u", Pool: "p", Address: "u", Slots: 16, Born: 1}
	w.SetUpstreams([]Upstream{u})
	w.SetEstimates([]Estimates{{ID: "u", TokenTime: 0.01}})
	w.Decide(0)
	u.Born = 2
	w.SetUpstreams([]Upstream{u})
	w.Decide(0)
	return w
}

func (w *windowTest) slots() int { return w.pools["p"].upstreams["u"].window.slots }

// round runs as many requests as the window allows. The first n end with an outcome, the others
// with a whole answer that takes a multiple of the expected time.
func (w *windowTest) round(o Outcome, n int, factor float64) {
	w.t.Helper()
	w.now += maxBackOffDelay
	ids := []ID{}
	for range max(1, w.slots()) {
		w.n++
		id := ID{Entry: "e", Number: w.n}
		w.Offer(w.now, Offer{ID: id, Pool: "p", OutputTokens: 100, LatencyTarget: w.now + time.Minute, LatestUseful: w.now + time.Minute, Deadline: w.now + time.Hour})
		ids = append(ids, id)
	}
	require.Len(w.t, w.Decide(w.now).Grants, len(ids))
	w.now += time.Second
	for i, id := range ids {
		outcome := Completed
		if i < n {
			outcome = o
		}
		w.End(w.now, End{ID: id, Outcome: outcome, OutputTokens: 100, DecodeTime: time.Duration(factor * float64(time.Second))})
	}
}

// TestWindowFollowsAnswers guards against a window that opens by answers which say that the
// upstream is overloaded, and against one that stays small for other reasons.
func TestWindowFollowsAnswers(t *testing.T) {
	p := Pace{InitialSlots: 1, TimeFactor: 2.5}
	w := newWindowTest(t, p)
	for _, want := range []int{1, 2, 4, 8, 0} {
		require.Equal(t, want, w.slots(), "doubles with each round up to the slots")
		w.round(Completed, 0, 1)
	}
	for _, o := range []Outcome{ConnectionLost, TimedOut, InvalidResponse, Rejected, UpstreamError} {
		w = newWindowTest(t, p)
		for range 3 {
			w.round(Completed, 0, 1)
		}
		w.round(o, errorsToShrink, 1)
		require.Equal(t, 4, w.slots(), "%s halves once for the whole round", o)
		w.round(Completed, 0, 1)
		require.Equal(t, 6, w.slots(), "grows at half the rate after %s", o)
	}
	w = newWindowTest(t, p)
	w.round(Completed, 0, 1)
	w.round(Completed, 0, 1)
	w.round(Completed, 0, 4)
	require.Equal(t, 2, w.slots(), "times that grow halve it")

	w = newWindowTest(t, p)
	for range maxSlowAnswers {
		w.round(Completed, 0, 4)
		require.Equal(t, 1, w.slots(), "slow answers open nothing")
	}
	w.round(Completed, 0, 4)
	require.Equal(t, 2, w.slots(), "an upstream that stays slow is used all the same")

	w = newWindowTest(t, p)
	for range 20 {
		w.round(UpstreamError, 1, 1)
		w.round(Completed, 0, 1)
	}
	require.Zero(t, w.slots(), "single errors among valid answers do not hold it back")
}

// TestWindowBeginsAfterFailures guards against an upstream that is filled at once after it could
// not be reached, and against one that is held back for a single failure.
func TestWindowBeginsAfterFailures(t *testing.T) {
	open := func() *windowTest {
		w := newWindowTest(t, Pace{InitialSlots: 1, TimeFactor: 2.5})
		for w.slots() > 0 {
			w.round(Completed, 0, 1)
		}
		return w
	}
	w := open()
	w.round(ConnectionLost, 1, 1)
	require.Zero(t, w.slots())
	w.round(Completed, 0, 1)
	w.round(Unreachable, 1, 1)
	require.Equal(t, 1, w.slots())
	w = open()
	for range probationFailures {
		w.round(TimedOut, 1, 1)
	}
	require.Equal(t, 1, w.slots())
	require.Equal(t, PaceBegun, w.TakePaceChanges()[0].Event)
}

// TestWindowDelaysNoRequestThatNeedsTheUpstream guards against a request that waits for a window
// although it can't run on the upstreams that are not in slow start.
func TestWindowDelaysNoRequestThatNeedsTheUpstream(t *testing.T) {
	b := New(1)
	b.SetPace(Pace{InitialSlots: 1, TimeFactor: 2.5})
	list := []Upstream{{ID: "steady", Pool: "p", Slots: 1, Born: 1}, {ID: "opening", Pool: "p", Slots: 4, Born: 1}}
	b.SetUpstreams(list)
	b.Decide(0)
	list[1].Born = 2
	b.SetUpstreams(list)
	offer := func(entry string, n uint64) string {
		b.Offer(0, Offer{ID: ID{Entry: entry, Number: n}, Pool: "p", LatencyTarget: time.Second, LatestUseful: time.Second, Deadline: time.Second})
		for _, g := range b.Decide(0).Grants {
			return g.Upstream
		}
		return ""
	}
	require.NotEmpty(t, offer("e", 1))
	require.NotEmpty(t, offer("e", 2))
	require.Empty(t, offer("e", 3), "the steady upstream can serve it in time")
	b.Cancel(ID{Entry: "e", Number: 3})
	b.pools["p"].upstreams["steady"].paths.record(0, "f", PathUnavailable)
	require.Equal(t, "opening", offer("f", 4))
}
