package capacity

import (
	"fmt"
	"time"

	"github.com/verbenastep/verbenastep/core/sched"
)

const (
	// slotsEach is how many requests a measured upstream takes at once.
	slotsEach = 8
	// promptTokens and maxTokens are a measured request's.
	promptTokens = 400
	maxTokens    = 200
	// workspacesQueued is how many workspaces share a measured queue.
	workspacesQueued = 50
	// tierCount is the number of tiers of the target.
	tierCount = 3
)

var (
	upstreamSizes = []int{10, 100, 1_000, 10_000}
	queueSizes    = []int{100, 1_000, 10_000}
)

func dispatcherPoints() []Point {
	out := series{"dispatcher.grant", "upstreams", "ns"}.measure(upstreamSizes, func(n int) float64 {
		return grantCost(n, 1_000)
	})
	out = append(out, series{"dispatcher.grant.queued", "queued requests", "ns"}.measure(queueSizes, func(n int) float64 {
		return grantCost(300, n)
	})...)
	out = append(out, series{"dispatcher.queue.memory", "queued requests", "bytes"}.measure(queueSizes, func(n int) float64 {
		return heldBytes(func() any { return newRig(0, n) })
	})...)
	return append(out, series{"dispatcher.upstream.memory", "upstreams", "bytes"}.measure(upstreamSizes, func(n int) float64 {
		return heldBytes(func() any { return newRig(n, 0) })
	})...)
}

// rig drives one dispatcher.
type rig struct {
	core *sched.Dispatcher
	now  time.Duration
	next uint64
}

func newRig(upstreams, queued int) *rig {
	r := &rig{core: sched.New(sched.Params{Region: "r"})}
	for i := range upstreams {
		_ = r.core.Announce(0, sched.Upstream{
			Name: fmt.Sprintf("runner-%d", i), Address: fmt.Sprintf("10.0.%d.%d:9000", i/256, i%256), Region: "r", DataCentre: "d",
			Incarnation: 1, Slots: slotsEach, Lease: time.Hour,
		})
	}
	for range queued {
		r.offer()
	}
	return r
}

func (r *rig) offer() {
	r.next++
	_, _ = r.core.Offer(r.now, sched.Offer{
		ID:        sched.ID{Entry: "entry-1#1@10.0.0.1:7200", Number: r.next},
		Workspace: fmt.Sprintf("workspace-%d", r.next%workspacesQueued), Tier: int(r.next % tierCount), Weight: 1,
		PromptTokens: promptTokens, MaxTokens: maxTokens, Deadline: time.Hour,
		Blocks: []uint64{r.next % 7, r.next % 31, r.next},
	})
}

// grantCost returns the time of one offer, its decision and a release, with
// all upstreams busy and a queue behind.
func grantCost(upstreams, queued int) float64 {
	r := newRig(upstreams, queued+upstreams*slotsEach)
	running := r.core.Decide(r.now).Grants
	return nanoseconds(func() {
		r.now += time.Millisecond
		if len(running) == 0 {
			panic("no request is running")
		}
		g := running[0]
		running = running[1:]
		_, _ = r.core.Release(r.now, sched.Release{ID: g.ID, Outcome: sched.Completed, Prefill: time.Second, Decode: time.Second, OutputTokens: maxTokens})
		r.offer()
		running = append(running, r.core.Decide(r.now).Grants...)
	})
}
