package broker

import (
	"slices"
	"time"

	"github.com/verbenastep/verbenastep/core/suspects"
)

const (
	// maxUnclearLosses bounds the unclear losses; the oldest is dropped beyond it.
	maxUnclearLosses = 1000
	// unclearLossTTL is how long an unclear loss waits for evidence: longer than an upstream
	// takes to restart.
	unclearLossTTL = 2 * time.Minute
	// maxHeartbeatDelay is how late heartbeats arrive. One that arrives later after a loss was
	// sent after it, so that the process has outlived the loss.
	maxHeartbeatDelay = 6 * time.Second
)

// unclearLoss is a lost connection that may have been the crash of its upstream or the fault of
// the path there.
type unclearLoss struct {
	suspects.Run
	id ID
	// upstream, born and address are those of the process that ran the request.
	upstream string
	born     int64
	address  string
	contents []uint64
}

func (b *Broker) keepUnclearLoss(l unclearLoss) {
	if len(b.unclearLosses) >= maxUnclearLosses {
		b.unclearLosses = slices.Delete(b.unclearLosses, 0, 1)
	}
	b.unclearLosses = append(b.unclearLosses, l)
}

// SettleLosses finds out from the roster which unclear losses were crashes. An upstream has
// crashed if a later process has registered under its id or at its address; a process whose
// heartbeats go on has not. Without either a loss stays unclear: entries that are cut off from the
// upstreams look the same to each other.
func (b *Broker) SettleLosses(now time.Duration, list []Upstream) {
	if len(b.unclearLosses) == 0 {
		return
	}
	byID, byAddress := make(map[string]Upstream, len(list)), make(map[string]Upstream, len(list))
	for _, u := range list {
		byID[u.ID] = u
		if !u.Gone {
			byAddress[u.Address] = u
		}
	}
	b.unclearLosses = slices.DeleteFunc(b.unclearLosses, func(l unclearLoss) bool {
		if l.hasCrashed(byID[l.upstream], byAddress[l.address]) {
			b.holdAgainst(now, l.Run, l.id, l.upstream, l.contents)
			return true
		}
		return now-l.Lost > unclearLossTTL || l.wasOutlived(now, byID[l.upstream])
	})
}

// hasCrashed reports whether a later process took the place of the one that ran the request. The
// arguments are what the roster lists under its id and at its address.
func (l *unclearLoss) hasCrashed(sameID, sameAddress Upstream) bool {
	isLater := func(u Upstream) bool { return u.Born > l.born && l.born > 0 }
	return isLater(sameID) || sameAddress.ID != "" && sameAddress.ID != l.upstream && (isLater(sameAddress) || l.born == 0)
}

// wasOutlived reports whether the process that ran the request, as the roster lists it, has sent a
// heartbeat since.
func (l *unclearLoss) wasOutlived(now time.Duration, listed Upstream) bool {
	return listed.ID != "" && !listed.Gone && listed.HeardAgo > 0 && now-listed.HeardAgo > l.Lost+maxHeartbeatDelay
}

// clearUnclearLosses removes contents from the unclear losses: a request with them was answered.
func (b *Broker) clearUnclearLosses(contents []uint64) {
	for i := range b.unclearLosses {
		l := &b.unclearLosses[i]
		if slices.ContainsFunc(l.contents, func(c uint64) bool { return slices.Contains(contents, c) }) {
			l.contents = slices.DeleteFunc(slices.Clone(l.contents), func(c uint64) bool { return slices.Contains(contents, c) })
		}
	}
}
