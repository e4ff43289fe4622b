package broker

import (
	"time"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/internal/brokerwire"
	"github.com/verbenastep/verbenastep/internal/settings"
)

const (
	// maxReportedStreams bounds the streams in one message between daemons.
	maxReportedStreams = 2000
	// versionSettleTime is how much longer than a heartbeat interval a new leader waits before it
	// takes the versions that it knows for all that served lately: live upstreams report within
	// an interval, upon which other control daemons send a restarted one their whole rosters.
	versionSettleTime = 500 * time.Millisecond
)

// trustVersions tells the core of a new leader when its knowledge of versions is complete. The
// caller holds the lock.
func (s *Service) trustVersions() {
	s.core.TrustVersionsFrom(s.now() + settings.Milliseconds(s.set.Routing.HeartbeatMS) + versionSettleTime)
}

// queueStreams lets a follower remember the streams that were granted to a session, so that
// they can be resumed after the entry and this leader are lost together: the follower that
// relays the session, or any one for a direct session. The caller holds the lock.
func (s *Service) queueStreams(x *session, grants []broker.Grant) {
	streams := []broker.StreamOrigin{}
	for _, g := range grants {
		streams = append(streams, g.Streams...)
	}
	if len(streams) == 0 {
		return
	}
	y := x.via
	if y == nil {
		y = s.firstRelayed()
	}
	if y != nil {
		y.streams = append(y.streams, streams...)
		y.notify()
	}
}

// firstRelayed returns the follower whose name is the first, or nil if none relays. The caller
// holds the lock.
func (s *Service) firstRelayed() *relayed {
	first := (*relayed)(nil)
	for x := range s.listeners {
		if x.via != nil && (first == nil || x.via.name < first.name) {
			first = x.via
		}
	}
	return first
}

// reportStreams tells a new leader of the streams that this follower remembers. The caller
// holds the lock.
func (s *Service) reportStreams() {
	if s.relay.streams = s.core.Streams(s.now()); len(s.relay.streams) > 0 {
		s.relay.notify()
	}
}

// takeStreams removes the next part of the streams that wait to be sent, and encodes it. It
// calls notify if there are more. The caller holds the lock.
func (s *Service) takeStreams(waiting *[]broker.StreamOrigin, notify func()) []*rpc.StreamOrigin {
	list := *waiting
	n := min(len(list), maxReportedStreams)
	*waiting = list[n:]
	if len(*waiting) > 0 {
		notify()
	}
	return brokerwire.EncodeStreams(s.now(), list[:n])
}
