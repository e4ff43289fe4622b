package forward

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/core/routes"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// TestOfferNamesSharedPartsOfThePrompt guards against crashes that can't be held against a
// part of the prompt: requests with a part in common must name the same hash, in any
// workspace, and the last part belongs to one request or session.
func TestOfferNamesSharedPartsOfThePrompt(t *testing.T) {
	e := newTestEntry(t)
	parts := func(pool, workspace string, ids ...uint64) []uint64 {
		q := &request{route: &routes.Route{}, pool: pool, workspace: workspace}
		for _, id := range ids {
			q.meta.PromptParts = append(q.meta.PromptParts, PromptPart{ID: id, Tokens: 10})
		}
		return q.offer(e.service).SharedParts
	}
	one := parts("p", "w", 1, 2, 3)
	require.Len(t, one, 2)
	require.NotEqual(t, one[0], one[1])
	require.Equal(t, one, parts("p", "other", 1, 2, 4))
	require.Equal(t, one[1:], parts("p", "w", 2, 5))
	require.NotEqual(t, one, parts("another pool", "w", 1, 2, 3))
	require.Empty(t, parts("p", "w", 3))
	require.Empty(t, parts("p", "w"))
}

// TestBegunStreamIsHeldAgainstNoPart guards against a stream that pauses, after its upstream
// has crashed, until other requests with a part of its prompt have been tried.
func TestBegunStreamIsHeldAgainstNoPart(t *testing.T) {
	e := newTestEntry(t)
	q := &request{route: &testTable().Routes[3], pool: "p", remaining: func() time.Duration { return time.Minute }}
	q.meta.PromptParts = []PromptPart{{ID: 1}, {ID: 2}}
	offered := func(change func(*exchange)) int {
		x := &exchange{s: e.service, request: q, ctx: context.Background()}
		change(x)
		x.startAttempt().finish(broker.NotSent)
		offers := e.brokerClient.offers
		return len(offers[len(offers)-1].SharedParts)
	}
	require.Equal(t, 1, offered(func(*exchange) {}))
	require.Zero(t, offered(func(x *exchange) { x.stream.headerSent = true }))
	q.meta.LastEvent = "4"
	require.Zero(t, offered(func(*exchange) {}))
}

// TestOfferSaysWhenTheCallerGivesUp guards against a broker that refuses requests whose callers
// would wait, or holds those whose callers have gone.
func TestOfferSaysWhenTheCallerGivesUp(t *testing.T) {
	e := newTestEntry(t)
	arrived := time.Now()
	abandonAfter := func(kind routes.Kind, latencyTargetMS int64) time.Duration {
		q := &request{route: &routes.Route{Kind: kind, LatencyTargetMS: latencyTargetMS}, arrived: arrived, deadline: arrived.Add(5 * time.Second)}
		return q.offer(e.service).AbandonAt.Sub(arrived)
	}
	set := *e.service.set
	routing := *set.Routing
	e.service.set = &set
	set.Routing = &routing
	require.Negative(t, abandonAfter(routes.Stream, 1000), "no time is stated without the setting")
	routing.Overload = &settings.Overload{AbandonFactor: 4, AbandonMinMS: 2000}
	require.Equal(t, 4*time.Second, abandonAfter(routes.Stream, 1000))
	require.Equal(t, 2*time.Second, abandonAfter(routes.Stream, 400))
	require.Equal(t, 5*time.Second, abandonAfter(routes.Stream, 2000))
	require.Equal(t, 5*time.Second, abandonAfter(routes.Idempotent, 400))
}
