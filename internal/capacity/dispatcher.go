package capacity

import (
	"fmt"
	"time"

	"github.com/verbenastep/verbenastep/core/sched"
)

const (
	// slotsPerUpstream is how many requests a measured upstream runs at once.
	slotsPerUpstream = 8
	// promptTokens and maxTokens are the lengths of a measured request.
	promptTokens = 400
	maxTokens    = 200
	// queuedWorkspaces is how many workspaces share a measured queue.
	queuedWorkspaces = 50
	// tierCount is the number of tiers in measured configurations and queues.
	tierCount = 3
)

var (
	upstreamSizes = []int{10, 100, 1_000, 10_000}
	queueSizes    = []int{100, 1_000, 10_000}
)

// dispatcherPoints measures the time of a grant by upstreams and by queue
// length, and the memory of queued requests and upstreams.
func dispatcherPoints() []Point {
	out := seriesSpec{"dispatcher.grant", "upstreams", "ns"}.measure(upstreamSizes, func(n int) float64 {
		return grantTime(n, 1_000)
	})
	out = append(out, seriesSpec{"dispatcher.grant.queued", "queued requests", "ns"}.measure(queueSizes, func(n int) float64 {
		return grantTime(300, n)
	})...)
	out = append(out, seriesSpec{"dispatcher.queue.memory", "queued requests", "bytes"}.measure(queueSizes, func(n int) float64 {
		return heapGrowth(func() any { return newDispatcherBench(0, n) })
	})...)
	return append(out, seriesSpec{"dispatcher.upstream.memory", "upstreams", "bytes"}.measure(upstreamSizes, func(n int) float64 {
		return heapGrowth(func() any { return newDispatcherBench(n, 0) })
	})...)
}

// dispatcherBench drives one dispatcher in virtual time.
type dispatcherBench struct {
	dispatcher *sched.Dispatcher
	now        time.Duration
	lastID     uint64
}

// newDispatcherBench returns a dispatcher with announced upstreams and offered
// requests; none is granted yet.
func newDispatcherBench(upstreams, queued int) *dispatcherBench {
	b := &dispatcherBench{dispatcher: sched.New(sched.Params{Region: "r"})}
	for i := range upstreams {
		_ = b.dispatcher.Announce(0, sched.Upstream{
			Name: fmt.Sprintf("runner-%d", i), Address: fmt.Sprintf("10.0.%d.%d:9000", i/256, i%256), Region: "r", DataCentre: "d",
			Incarnation: 1, Slots: slotsPerUpstream, Lease: time.Hour,
		})
	}
	for range queued {
		b.offer()
	}
	return b
}

func (b *dispatcherBench) offer() {
	b.lastID++
	_, _ = b.dispatcher.Offer(b.now, sched.Offer{
		ID:        sched.ID{Entry: "entry-1#1@10.0.0.1:7200", Number: b.lastID},
		Workspace: fmt.Sprintf("workspace-%d", b.lastID%queuedWorkspaces), Tier: int(b.lastID % tierCount), Weight: 1,
		PromptTokens: promptTokens, MaxTokens: maxTokens, Deadline: time.Hour,
		Blocks: []uint64{b.lastID % 7, b.lastID % 31, b.lastID},
	})
}

// grantTime returns the time in nanoseconds of one release, offer and decision
// while all upstreams are busy and requests are queued.
func grantTime(upstreams, queued int) float64 {
	b := newDispatcherBench(upstreams, queued+upstreams*slotsPerUpstream)
	running := b.dispatcher.Decide(b.now).Grants
	return nanoseconds(func() {
		b.now += time.Millisecond
		if len(running) == 0 {
			panic("no request is running")
		}
		g := running[0]
		running = running[1:]
		_, _ = b.dispatcher.Release(b.now, sched.Release{ID: g.ID, Outcome: sched.Completed, Prefill: time.Second, Decode: time.Second, OutputTokens: maxTokens})
		b.offer()
		running = append(running, b.dispatcher.Decide(b.now).Grants...)
	})
}
