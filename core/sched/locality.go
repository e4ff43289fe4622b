package sched

import "time"

const (
	// localityTokens is the least hit that is worth waiting for, in tokens.
	localityTokens = 512
	// localityWait is the longest wait for it, from when the request was first
	// at the head of the queue.
	localityWait = 2 * time.Second
	// localityPart is the longest wait as a part of the time to the deadline.
	localityPart = 0.05
	// maxLocality is how many requests may wait so at once, so that slots don't
	// stay free under load.
	maxLocality = 4
)

// waitsForPrefix says whether a request had better wait a moment for a slot on
// an upstream that holds much more of its prompt than the one at hand.
func (d *Dispatcher) waitsForPrefix(now time.Duration, r *request, chosen parts, set *candidateSet) bool {
	if r.considered == 0 {
		r.considered = max(1, now)
	}
	slack := time.Duration(localityPart * float64(r.offer.Deadline-r.considered))
	if r.suspect || d.localityWaits >= maxLocality || now-r.considered >= min(localityWait, slack) {
		return false
	}
	tokens := min(set.depth*d.params.BlockTokens, r.offer.PromptTokens-1)
	if tokens-chosen.cached < localityTokens {
		return false
	}
	for _, id := range set.held.ids[:set.held.used] {
		u := d.byID[id]
		if u.leaving || u.expires <= now || u.straggler.demoted || d.room(now, u, r.class) {
			continue
		}
		_, held := u.cache.index[r.offer.Blocks[set.depth-1]]
		if held && int(u.cache.trust*float64(tokens))-chosen.cached >= localityTokens {
			d.localityWaits++
			return true
		}
	}
	return false
}
