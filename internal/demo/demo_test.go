package demo

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/api/client"
	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/core/promise"
	"github.com/verbenastep/verbenastep/internal/schema"
	"github.com/verbenastep/verbenastep/internal/standin"
)

func TestLoadDependsOnTheSeedAlone(t *testing.T) {
	require.Equal(t, plan(3, 5), plan(3, 5))
	require.NotEqual(t, plan(3, 5), plan(4, 5))
}

func TestLoadSpreadsAHundredfoldAndResends(t *testing.T) {
	shortest, longest, resent := 1<<30, 0, 0
	for _, p := range plan(1, 5) {
		if !p.plain {
			shortest = min(shortest, len(p.request.Body))
			longest = max(longest, len(p.request.Body))
		}
		if p.resend > 0 {
			require.NotEmpty(t, p.request.Key)
			resent++
		}
	}
	require.Less(t, shortest, shortestPrompt*bytesPerToken*2)
	require.Greater(t, longest, longestPrompt*bytesPerToken/2)
	require.Positive(t, resent)
}

func TestEmbeddedConfigurationIsValid(t *testing.T) {
	r := &run{}
	require.NoError(t, r.readConfig())
	require.NoError(t, schema.CheckFiles(r.files))
	require.Len(t, r.whole.Tiers, 3)
}

func TestTallyCountsEachOutcomeOnce(t *testing.T) {
	r := &run{}
	require.NoError(t, r.readConfig())
	tiers := tally(r.whole, []outcome{
		{workspace: "judging", whole: true, took: time.Second},
		{workspace: "judging", whole: true, took: time.Minute},
		{workspace: "judging", failure: fault.New(fault.Overloaded, "", "")},
		{workspace: "judging", failure: fault.New(fault.Unknown, "", "").WithRan(fault.MayHaveRun)},
	})
	require.Equal(t, Tier{Name: "panel", GoodputMS: 4000, Offered: 4, InTime: 1, Late: 1, NotRun: 1, Failed: 1}, tiers[0])
	require.InDelta(t, 0.25, tiers[0].Goodput(), 0)
}

func TestLostCallerIsNotARefusedOne(t *testing.T) {
	require.True(t, outcome{failure: fault.New(client.ConnectionLost, "", "")}.lost())
	require.False(t, outcome{failure: fault.New(fault.Unknown, "", "")}.lost())
}

func TestWastedPrefill(t *testing.T) {
	rec := newRecorder()
	for _, stream := range []string{"s1", "s2", "s3"} {
		rec.record(promise.Event{Kind: promise.Dispatch, Workspace: "w", Key: stream, Stream: stream})
	}
	blocks := []uint64{1, 2}
	rec.execution(standin.Execution{Upstream: "a", Stream: "s1", Blocks: blocks, Prefill: 100})
	rec.execution(standin.Execution{Upstream: "b", Stream: "s2", Blocks: blocks, Prefill: 100})
	rec.lose("a")
	rec.lose("b")
	rec.execution(standin.Execution{Upstream: "c", Stream: "s3", Blocks: blocks, Prefill: 100})
	total, lost, repeated := rec.wasted(map[requestID]bool{{"w", "s2"}: true, {"w", "s3"}: true})
	require.Equal(t, 300, total)
	require.Equal(t, 100, lost, "s1 did not reach its caller")
	require.Equal(t, 100, repeated, "only s2 was held by a live upstream")
}

func TestPromiseWithoutEventsIsNotHeld(t *testing.T) {
	for _, v := range judge(nil, promise.Options{}) {
		require.False(t, v.Held(), v.Promise)
	}
}

func TestCrossedAnswerIsFound(t *testing.T) {
	rec := newRecorder()
	for _, key := range []string{"k1", "k2"} {
		rec.record(promise.Event{Kind: promise.Accept, Workspace: "w", Key: key})
		rec.record(promise.Event{Kind: promise.Dispatch, Workspace: "w", Key: key, Stream: "s" + key})
		rec.execution(standin.Execution{Upstream: "a", Stream: "s" + key, Text: "answer to " + key})
		rec.record(promise.Event{Kind: promise.Answer, Workspace: "w", Key: key, Complete: true, ReceivedHash: hash("answer to k1")})
	}
	verdicts := judge(rec.all(), promise.Options{})
	require.Equal(t, promise.OwnAnswer, verdicts[2].Promise)
	require.Len(t, verdicts[2].Broken, 1, "k2 received k1's answer")
}
