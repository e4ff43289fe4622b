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

func TestLoadIsDeterministicForSeed(t *testing.T) {
	require.Equal(t, planLoad(3, 5), planLoad(3, 5))
	require.NotEqual(t, planLoad(3, 5), planLoad(4, 5))
}

func TestLoadCoversLengthRangeAndResends(t *testing.T) {
	shortest, longest, resent := 1<<30, 0, 0
	for _, p := range planLoad(1, 5) {
		if !p.serviceCall {
			shortest = min(shortest, len(p.request.Body))
			longest = max(longest, len(p.request.Body))
		}
		if p.resendDelay > 0 {
			require.NotEmpty(t, p.request.Key)
			resent++
		}
	}
	require.Less(t, shortest, shortestPrompt*bytesPerToken*2)
	require.Greater(t, longest, longestPrompt*bytesPerToken/2)
	require.Positive(t, resent)
}

func TestEmbeddedConfigurationIsValid(t *testing.T) {
	r := &demoRun{}
	require.NoError(t, r.readConfig())
	require.NoError(t, schema.CheckFiles(r.files))
	require.Len(t, r.config.Tiers, 3)
}

func TestEachOutcomeIsCountedOnce(t *testing.T) {
	r := &demoRun{}
	require.NoError(t, r.readConfig())
	tiers := countByTier(r.config, []outcome{
		{workspace: "judging", complete: true, latency: time.Second},
		{workspace: "judging", complete: true, latency: time.Minute},
		{workspace: "judging", failure: fault.New(fault.Overloaded, "", "")},
		{workspace: "judging", failure: fault.New(fault.Unknown, "", "").WithRan(fault.MayHaveRun)},
	})
	require.Equal(t, Tier{Name: "panel", GoodputMS: 4000, Offered: 4, InTime: 1, Late: 1, NotRun: 1, Failed: 1}, tiers[0])
	require.InDelta(t, 0.25, tiers[0].Goodput(), 0)
}

func TestLostConnectionIsNotARefusal(t *testing.T) {
	require.True(t, outcome{failure: fault.New(client.ConnectionLost, "", "")}.isLost())
	require.False(t, outcome{failure: fault.New(fault.Unknown, "", "")}.isLost())
}

func TestPrefillTotalsCountLostAndRepeatedTokens(t *testing.T) {
	rec := newRecorder()
	for _, stream := range []string{"s1", "s2", "s3"} {
		rec.record(promise.Event{Kind: promise.Dispatch, Workspace: "w", Key: stream, Stream: stream})
	}
	blocks := []uint64{1, 2}
	rec.recordExecution(standin.Execution{Upstream: "a", Stream: "s1", Blocks: blocks, Prefill: 100})
	rec.recordExecution(standin.Execution{Upstream: "b", Stream: "s2", Blocks: blocks, Prefill: 100})
	rec.forgetUpstream("a")
	rec.forgetUpstream("b")
	rec.recordExecution(standin.Execution{Upstream: "c", Stream: "s3", Blocks: blocks, Prefill: 100})
	total, lost, repeated := rec.prefillTotals(map[requestID]bool{{"w", "s2"}: true, {"w", "s3"}: true})
	require.Equal(t, 300, total)
	require.Equal(t, 100, lost, "s1 did not reach its caller")
	require.Equal(t, 100, repeated, "only s2 was held by a live upstream")
}

func TestPromiseWithoutEventsIsNotHeld(t *testing.T) {
	for _, v := range checkPromises(nil, promise.Options{}) {
		require.False(t, v.Held(), v.Promise)
	}
}

func TestSwappedAnswerIsReported(t *testing.T) {
	rec := newRecorder()
	for _, key := range []string{"k1", "k2"} {
		rec.record(promise.Event{Kind: promise.Accept, Workspace: "w", Key: key})
		rec.record(promise.Event{Kind: promise.Dispatch, Workspace: "w", Key: key, Stream: "s" + key})
		rec.recordExecution(standin.Execution{Upstream: "a", Stream: "s" + key, Text: "answer to " + key})
		rec.record(promise.Event{Kind: promise.Answer, Workspace: "w", Key: key, Complete: true, ReceivedHash: hash("answer to k1")})
	}
	verdicts := checkPromises(rec.recorded(), promise.Options{})
	require.Equal(t, promise.OwnAnswer, verdicts[2].Promise)
	require.Len(t, verdicts[2].Violations, 1, "k2 received k1's answer")
}
