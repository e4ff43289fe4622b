package sched

import "time"

const (
	// minLocalityTokens is the minimum additional prefix cache hit, in tokens,
	// for which a request waits.
	minLocalityTokens = 512
	// localityTimeout is the maximum time that a request waits for a cached
	// prefix, counted from when it was first at the head of the queue.
	localityTimeout = 2 * time.Second
	// localityDeadlineRatio bounds that wait as a fraction of the time to the
	// deadline.
	localityDeadlineRatio = 0.05
	// maxLocalityWaits is the maximum number of requests that wait for a prefix
	// at once, so that slots do not stay idle under load.
	maxLocalityWaits = 4
)

// shouldWaitForPrefix reports whether a request should wait briefly for a slot
// on an upstream that holds much more of its prompt than the chosen one.
func (d *Dispatcher) shouldWaitForPrefix(now time.Duration, r *request, chosen completionEstimate, set *candidateSet) bool {
	if r.firstAtHead == 0 {
		r.firstAtHead = max(1, now)
	}
	slack := time.Duration(localityDeadlineRatio * float64(r.offer.Deadline-r.firstAtHead))
	if r.suspect || d.localityWaits >= maxLocalityWaits || now-r.firstAtHead >= min(localityTimeout, slack) {
		return false
	}
	tokens := min(set.heldBlocks*d.params.BlockTokens, r.offer.PromptTokens-1)
	if tokens-chosen.cached < minLocalityTokens {
		return false
	}
	for _, id := range set.holders.ids[:set.holders.used] {
		u := d.byID[id]
		if u.draining || u.expires <= now || u.straggler.demoted || d.hasRoom(now, u, r.class) {
			continue
		}
		_, held := u.cache.index[r.offer.Blocks[set.heldBlocks-1]]
		if held && int(u.cache.trust*float64(tokens))-chosen.cached >= minLocalityTokens {
			d.localityWaits++
			return true
		}
	}
	return false
}
