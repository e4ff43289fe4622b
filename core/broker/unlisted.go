package broker

import "time"

// maxUnlistedTime bounds how long a running request waits for its upstream to be listed, beyond
// its deadline. The roster of a new leader is complete some heartbeats after its start; later, the
// upstream is gone.
const maxUnlistedTime = 5 * time.Second

// unlistedRequest is a running request whose upstream is not listed yet.
type unlistedRequest struct {
	*request
	until time.Duration
}

// keepUnlisted records a running request whose upstream is not listed. Without it, a rollout could
// be completed while the request runs on an old version.
func (b *Broker) keepUnlisted(now time.Duration, req *request) {
	b.unlisted[req.ID] = unlistedRequest{request: req, until: max(now, req.Deadline) + maxUnlistedTime}
}

// placeUnlisted assigns the requests whose upstreams are listed by now, and drops those that waited
// too long.
func (b *Broker) placeUnlisted(now time.Duration) {
	for id, x := range b.unlisted {
		switch p := b.pool(x.Pool); {
		case p.upstreams[x.Running] != nil:
			delete(b.unlisted, id)
			b.adopt(now, x.request)
		case now >= x.until:
			delete(b.unlisted, id)
		}
	}
}

// resyncUnlisted forgets the requests of an entry, which offers those that still run again.
func (b *Broker) resyncUnlisted(entry string) {
	for id := range b.unlisted {
		if id.Entry == entry {
			delete(b.unlisted, id)
		}
	}
}

// loseUnlisted bounds how long the requests of a lost entry are kept, whose ends are not reported.
func (b *Broker) loseUnlisted(now time.Duration, entry string) {
	for id, x := range b.unlisted {
		if id.Entry == entry {
			x.until = min(x.until, now+maxUnlistedTime)
			b.unlisted[id] = x
		}
	}
}
