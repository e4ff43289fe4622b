package sched

import "time"

const (
	// maxTiers bounds the declared tiers, the one below all others included.
	maxTiers = 64
	// defaultBlockTokens is the prefix block where a model declares none.
	defaultBlockTokens = 64
	// outputCost is the cost of an output token, in uncached prompt tokens.
	outputCost = 4
	// orphanTime is the longest, orphanLeast the shortest that the running work
	// of an entry whose session broke keeps its slots.
	orphanTime  = 30 * time.Second
	orphanLeast = 2 * time.Second
	// orphanFactor is how many times its expected time such work is given.
	orphanFactor = 2
	// announceGrace is how long a pool without upstreams is waited for: the
	// announcements' renewal, with time to spare.
	announceGrace = 2 * time.Second
	// retryAfter is when the caller of a refused request may come back, where
	// nothing better is known.
	retryAfter = time.Second
)

// Link describes the path between two regions.
type Link struct {
	// RoundTrip is the time of a request and its answer without their bytes.
	RoundTrip time.Duration
	// BytesPerSecond is what the link carries.
	BytesPerSecond float64
}

// bytesPerToken estimates a prompt's bytes.
const bytesPerToken = 4

// cost returns what the link adds to a request.
func (l Link) cost(promptTokens int) time.Duration {
	if l.BytesPerSecond <= 0 {
		return l.RoundTrip
	}
	seconds := float64(promptTokens*bytesPerToken) / l.BytesPerSecond
	return l.RoundTrip + time.Duration(seconds*float64(time.Second))
}

// Params steer a dispatcher.
type Params struct {
	// Region is the dispatcher's own.
	Region string
	// QueueLimit is the most requests that wait at once; zero sets none.
	QueueLimit int
	// BlockTokens is the prefix cache's block size, in tokens; zero means 64.
	BlockTokens int
	// Plain says that the pool is a plain service: slots are fixed, and nothing
	// is known of its answers' length.
	Plain bool
	// Concurrency bounds the slots of each upstream; zero leaves what it
	// announces.
	Concurrency int
	// ByArrival orders a workspace's requests by arrival alone, and reserves
	// nothing for short ones.
	ByArrival bool
	// Spill says that other regions may serve the pool.
	Spill bool
	// Link is the path to the other regions.
	Link Link
}
