package promise

import (
	"fmt"
	"time"
)

// codeOverloaded is the refusal code of a request that was shed.
const codeOverloaded = "overloaded"

// offer is a request in a dispatcher's queue or in service on an upstream.
type offer struct {
	pool   string
	region string
	tier   int
	since  time.Duration
}

// tierRule checks TierOrder. A refusal for overload that names a pool and has
// no earlier Shed was made by the entry itself and counts as a Shed.
type tierRule struct {
	options Options
	offers  map[string]offer
	shed    map[string]bool
}

func (t *tierRule) promise() Promise { return TierOrder }

func (t *tierRule) observe(e Event) []string {
	switch e.Kind {
	case Queue, Grant:
		t.recordOffer(e)
	case Release:
		delete(t.offers, e.Offer)
	case Shed:
		delete(t.offers, e.Offer)
		t.shed[e.Offer] = true
		return t.checkShed(e)
	case Refuse:
		if e.Code == codeOverloaded && e.Pool != "" && !t.shed[e.Offer] {
			return t.checkShed(e)
		}
	}
	return nil
}

// recordOffer adds an offer. A grant or a repeated offer in the same region
// keeps its age.
func (t *tierRule) recordOffer(e Event) {
	o, ok := t.offers[e.Offer]
	if !ok || o.region != e.Region {
		o = offer{pool: e.Pool, region: e.Region, tier: e.Tier, since: e.At}
	}
	t.offers[e.Offer] = o
}

func (t *tierRule) checkShed(e Event) []string {
	lowest, id := offer{tier: e.Tier}, ""
	for name, o := range t.offers {
		if o.pool != e.Pool || !t.isKnownTo(e, o) {
			continue
		}
		if o.tier > lowest.tier || o.tier == lowest.tier && id != "" && name < id {
			lowest, id = o, name
		}
	}
	if id == "" {
		return nil
	}
	return []string{fmt.Sprintf("a request of tier %d was shed while offer %s of tier %d was queued or in service in region %s", e.Tier, id, lowest.tier, lowest.region)}
}

// isKnownTo reports whether the dispatcher of a shed request could know of an
// offer.
func (t *tierRule) isKnownTo(e Event, o offer) bool {
	if o.region == e.Region {
		return true
	}
	if t.options.CanReach != nil && !t.options.CanReach(e.At, e.Region, o.region) {
		return false
	}
	return e.At-o.since >= t.options.RegionDelay
}

func (t *tierRule) finish(time.Duration) []string { return nil }
