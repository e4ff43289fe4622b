package capacity

import (
	"encoding/json"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/api/upstream"
)

var batchSizes = []int{1, 16, 256}

// entryID is an entry's identity as sent in messages.
const entryID = "entry-1#1790000000000000000@10.0.0.1:7200"

// wirePoints measures the sizes of encoded messages, and the time to encode and
// decode a batch of offers.
func wirePoints() []Point {
	out := seriesSpec{"wire.offer", "requests in a batch", "bytes"}.measure(batchSizes, func(n int) float64 {
		return float64(proto.Size(offerBatch(n)))
	})
	out = append(out, seriesSpec{"wire.grant", "requests in a batch", "bytes"}.measure(batchSizes, func(n int) float64 {
		return float64(proto.Size(grantBatch(n)))
	})...)
	out = append(out, seriesSpec{"wire.release", "requests in a batch", "bytes"}.measure(batchSizes, func(n int) float64 {
		return float64(proto.Size(releaseBatch(n)))
	})...)
	out = append(out, seriesSpec{"wire.upstream", "upstreams in a batch", "bytes"}.measure(batchSizes, func(n int) float64 {
		return float64(proto.Size(upstreamBatch(n)))
	})...)
	out = append(out, seriesSpec{"wire.announcement", "announcements", "bytes"}.measure(batchSizes, func(n int) float64 {
		return float64(n * announcementBytes())
	})...)
	out = append(out, seriesSpec{"session.heartbeat.bytes", "heartbeats", "bytes"}.measure(batchSizes, func(n int) float64 {
		both := proto.Size(&rpc.EntryBatch{}) + proto.Size(&rpc.GrantBatch{Epoch: 17})
		return float64(n) * float64(both) / 2
	})...)
	return append(out, seriesSpec{"session.batch", "requests in a batch", "ns"}.measure(append([]int{0}, batchSizes...), batchTime)...)
}

func offerBatch(n int) *rpc.EntryBatch {
	b := &rpc.EntryBatch{Entry: entryID, Pool: "model-1", Epoch: 17}
	for i := range n {
		b.Offers = append(b.Offers, &rpc.Offer{
			Id: uint64(1_000_000 + i), Workspace: fmt.Sprintf("workspace-%d", i), PromptTokens: promptTokens, MaxTokens: maxTokens,
			Blocks: []uint64{1 << 60, 1 << 61, 1 << 62}, WaitMs: 120_000, Fingerprint: 1 << 59,
		})
	}
	return b
}

func grantBatch(n int) *rpc.GrantBatch {
	b := &rpc.GrantBatch{Epoch: 17, Upstreams: 286}
	for i := range n {
		b.Grants = append(b.Grants, &rpc.Grant{Id: uint64(1_000_000 + i), Upstream: fmt.Sprintf("runner-%d", i), Address: "10.0.100.100:9000", Incarnation: 1_790_000_000_000_000_000})
	}
	return b
}

func releaseBatch(n int) *rpc.EntryBatch {
	b := &rpc.EntryBatch{Entry: entryID, Pool: "model-1", Epoch: 17}
	for i := range n {
		b.Releases = append(b.Releases, &rpc.Release{Id: uint64(1_000_000 + i), Outcome: 1, PrefillMs: 300, DecodeMs: 9_000, OutputTokens: maxTokens, CachedTokens: 128})
	}
	return b
}

func upstreamBatch(n int) *rpc.EntryBatch {
	b := &rpc.EntryBatch{Entry: entryID, Pool: "model-1", Epoch: 17}
	for i := range n {
		b.Upstreams = append(b.Upstreams, &rpc.UpstreamState{
			Name: fmt.Sprintf("runner-%d", i), Address: "10.0.100.100:9000", Region: "region-1", DataCentre: "region-1-a",
			Incarnation: 1_790_000_000_000_000_000, Slots: slotsPerUpstream, LeaseMs: 2_000, Running: 5, Version: "v1",
		})
	}
	return b
}

func announcementBytes() int {
	data, err := json.Marshal(upstream.Announcement{
		Name: "runner-100", Kind: upstream.Runner, Pool: "model-1", Address: "10.0.100.100:9000", Region: "region-1", DataCentre: "region-1-a",
		Incarnation: 1_790_000_000_000_000_000, Slots: slotsPerUpstream, Version: "v1", Running: 5, AgeMS: 200,
	})
	if err != nil {
		panic(err)
	}
	return len(data)
}

// batchTime returns the time in nanoseconds to encode and decode a batch of n
// offers.
func batchTime(n int) float64 {
	b := offerBatch(n)
	return nanoseconds(func() {
		data, err := proto.Marshal(b)
		if err != nil {
			panic(err)
		}
		if err := proto.Unmarshal(data, &rpc.EntryBatch{}); err != nil {
			panic(err)
		}
	})
}
