package promise

import (
	"fmt"
	"time"
)

// overloaded is the refusal code of a request that was shed.
const overloaded = "overloaded"

// offer is a request in a dispatcher's queue or on an upstream.
type offer struct {
	pool   string
	region string
	tier   int
	since  time.Duration
}

// tierRule checks TierOrder. A refusal for overload that no dispatcher's Shed
// came before counts as one; it then names a pool.
type tierRule struct {
	opt    Options
	offers map[string]offer
	shed   map[string]bool
}

func (t *tierRule) promise() Promise { return TierOrder }

func (t *tierRule) feed(e Event) []string {
	switch e.Kind {
	case Queue, Grant:
		t.hold(e)
	case Release:
		delete(t.offers, e.Offer)
	case Shed:
		delete(t.offers, e.Offer)
		t.shed[e.Offer] = true
		return t.check(e)
	case Refuse:
		if e.Code == overloaded && e.Pool != "" && !t.shed[e.Offer] {
			return t.check(e)
		}
	}
	return nil
}

// hold keeps an offer; a grant or a second offer of it keeps its age.
func (t *tierRule) hold(e Event) {
	o, ok := t.offers[e.Offer]
	if !ok || o.region != e.Region {
		o = offer{pool: e.Pool, region: e.Region, tier: e.Tier, since: e.At}
	}
	t.offers[e.Offer] = o
}

func (t *tierRule) check(e Event) []string {
	worst, id := offer{tier: e.Tier}, ""
	for name, o := range t.offers {
		if o.pool != e.Pool || !t.known(e, o) {
			continue
		}
		if o.tier > worst.tier || o.tier == worst.tier && id != "" && name < id {
			worst, id = o, name
		}
	}
	if id == "" {
		return nil
	}
	return []string{fmt.Sprintf("tier %d was shed while %s of tier %d was queued or served in %s", e.Tier, id, worst.tier, worst.region)}
}

// known tells whether whoever shed could know of an offer.
func (t *tierRule) known(e Event, o offer) bool {
	if o.region == e.Region {
		return true
	}
	if t.opt.Reach != nil && !t.opt.Reach(e.At, e.Region, o.region) {
		return false
	}
	return e.At-o.since >= t.opt.RegionDelay
}

func (t *tierRule) finish(time.Duration) []string { return nil }
