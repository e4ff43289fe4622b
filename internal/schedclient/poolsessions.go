package schedclient

import (
	"context"
	"slices"
	"time"

	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/internal/port"
)

const (
	// maxPermanentSessions is the number of pools, counted once per region, up to
	// which an entry keeps a permanent session to each. In larger deployments
	// the heartbeats would exceed the budget for control traffic, and sessions to
	// other regions are opened on demand.
	maxPermanentSessions = 16
	// idleTimeout closes an on-demand session to another region that is not used.
	idleTimeout = time.Minute
	// connectTimeout bounds how long a spilled request waits for a session that
	// was opened for it.
	connectTimeout = 500 * time.Millisecond
	// maintainInterval is the maximum time between two checks of which sessions are
	// needed.
	maintainInterval = time.Second
)

// maintainSessions keeps the permanent sessions open, so that announcements reach
// a dispatcher before the first request does, and closes other sessions once they
// are idle.
func (s *Service) maintainSessions() {
	for s.ctx.Err() == nil {
		changed := s.view.Changed()
		permanent := s.permanentPools()
		for _, p := range permanent {
			s.session(p, time.Time{})
		}
		s.closeIdle(permanent)
		select {
		case <-changed:
		case <-time.After(maintainInterval):
		case <-s.ctx.Done():
		}
	}
}

// permanentPools lists the pools that need a permanent session: all of a small
// deployment; otherwise those of the own region and those whose upstreams
// announce themselves to this daemon.
func (s *Service) permanentPools() []port.PoolRegion {
	all := poolRegions(s.view.Snapshot().Config)
	if len(all) <= maxPermanentSessions {
		return all
	}
	local := slices.DeleteFunc(all, func(p port.PoolRegion) bool { return p.Region != s.set.Region })
	return append(local, s.upstreams.PoolRegions()...)
}

// poolRegions lists every declared pool in every region.
func poolRegions(c *config.Config) []port.PoolRegion {
	out := []port.PoolRegion{}
	for _, r := range c.Regions {
		for _, m := range c.Models {
			out = append(out, port.PoolRegion{Pool: m.Name, Region: r.Name})
		}
		for _, v := range c.Services {
			out = append(out, port.PoolRegion{Pool: v.Name, Region: r.Name})
		}
	}
	return out
}

// session returns the session to a pool in a region and opens one if there is
// none; spilled requests wait for a new one until connectDeadline.
func (s *Service) session(p port.PoolRegion, connectDeadline time.Time) *session {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.sessions[p]; ok {
		old.lastUsed = time.Now()
		return old
	}
	opened := newSession(s, p)
	opened.lastUsed = time.Now()
	opened.connectDeadline = connectDeadline
	s.sessions[p] = opened
	s.goroutines.Go(opened.run)
	return opened
}

// closeIdle ends the sessions that are neither permanent nor in use.
func (s *Service) closeIdle(permanent []port.PoolRegion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p, sess := range s.sessions {
		if slices.Contains(permanent, p) || time.Since(sess.lastUsed) < idleTimeout || !sess.isIdle() {
			continue
		}
		sess.cancel()
		delete(s.sessions, p)
	}
}

// isIdle reports whether no request waits or runs and no release is unsent.
func (s *session) isIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting)+len(s.running)+len(s.pending.Releases) == 0
}

// awaitConnection returns a channel that is closed when the current connection
// ends, or nil if there is none. It waits for a newly opened session to connect,
// until connectDeadline.
func (s *session) awaitConnection(ctx context.Context) <-chan struct{} {
	if s.lease().Holder == "" {
		return nil
	}
	deadline := time.NewTimer(time.Until(s.connectDeadline))
	defer deadline.Stop()
	for {
		s.mu.Lock()
		disconnected, connected := s.disconnected, s.connected
		s.mu.Unlock()
		if disconnected != nil {
			return disconnected
		}
		select {
		case <-connected:
		case <-deadline.C:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}
