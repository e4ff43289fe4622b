package sched

import "time"

const (
	// maxTiers is the maximum number of tiers, including the one below all
	// declared tiers.
	maxTiers = 64
	// defaultBlockTokens is the prefix cache block size, in tokens, where a
	// model declares none.
	defaultBlockTokens = 64
	// outputCost is the cost of an output token in uncached prompt tokens.
	outputCost = 4
	// maxOrphanTimeout and minOrphanTimeout bound how long running requests of
	// a disconnected entry keep their slots.
	maxOrphanTimeout = 30 * time.Second
	minOrphanTimeout = 2 * time.Second
	// orphanFactor is the multiple of its expected time for which an orphaned
	// request keeps its slot, within these bounds.
	orphanFactor = 2
	// noUpstreamTimeout is how long a pool may have no upstream before its
	// requests are refused: the interval at which announcements are renewed, plus a
	// margin.
	noUpstreamTimeout = 2 * time.Second
	// defaultRetryDelay is when the caller of a refused request may retry,
	// where no better estimate is known.
	defaultRetryDelay = time.Second
)

// Link describes the network path between two regions.
type Link struct {
	// RoundTrip is the time of a request and its answer without the transfer of
	// their contents.
	RoundTrip time.Duration
	// BytesPerSecond is the link's bandwidth; zero ignores the transfer time.
	BytesPerSecond float64
}

// bytesPerToken is the estimated prompt size per token.
const bytesPerToken = 4

// cost returns the time that the link adds to a request.
func (l Link) cost(promptTokens int) time.Duration {
	if l.BytesPerSecond <= 0 {
		return l.RoundTrip
	}
	seconds := float64(promptTokens*bytesPerToken) / l.BytesPerSecond
	return l.RoundTrip + time.Duration(seconds*float64(time.Second))
}

// Params configure a dispatcher.
type Params struct {
	// Region is the region of the dispatcher.
	Region string
	// QueueLimit is the maximum number of queued requests; zero means no limit.
	QueueLimit int
	// BlockTokens is the prefix cache's block size in tokens; zero means 64.
	BlockTokens int
	// PlainService reports whether the pool is a plain service without tokens: slots
	// are fixed, and the length of answers is not predicted.
	PlainService bool
	// Concurrency limits the slots of each upstream; zero applies no limit
	// beyond the announced slots.
	Concurrency int
	// ByArrival orders a workspace's requests by arrival only, and reserves no
	// slots for short ones.
	ByArrival bool
	// Spill reports whether other regions may serve the pool.
	Spill bool
	// Link is the network path to the other regions.
	Link Link
}
