package schedclient

import (
	"context"
	"slices"
	"time"

	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/internal/port"
)

const (
	// standingPlaces is the most places to which an entry keeps a session all
	// the time. Beyond it, heartbeats to each pool of each region would cost
	// more than control may, and other regions' places are spoken with only
	// while they are needed.
	standingPlaces = 16
	// farIdle is how long a session to another region is kept without use.
	farIdle = time.Minute
	// connectWait is how long a request that is passed on waits for a session
	// that was opened for it.
	connectWait = 500 * time.Millisecond
	// tidyEvery is the pause between two looks at what is needed.
	tidyEvery = time.Second
)

// maintain keeps the standing sessions open, so that announcements reach the
// dispatcher before any request does, and closes others that are idle.
func (s *Service) maintain() {
	for s.ctx.Err() == nil {
		changed := s.view.Changed()
		standing := s.standing()
		for _, p := range standing {
			s.session(p, time.Time{})
		}
		s.closeIdle(standing)
		select {
		case <-changed:
		case <-time.After(tidyEvery):
		case <-s.ctx.Done():
		}
	}
}

// standing lists the places that need a session all the time: all of a small
// site's; else those of the own region, and those whose upstreams announce
// themselves here.
func (s *Service) standing() []port.Place {
	all := places(s.view.Snapshot().Config)
	if len(all) <= standingPlaces {
		return all
	}
	near := slices.DeleteFunc(all, func(p port.Place) bool { return p.Region != s.set.Region })
	return append(near, s.upstreams.Places()...)
}

// places lists each pool in each region.
func places(c *config.Config) []port.Place {
	out := []port.Place{}
	for _, r := range c.Regions {
		for _, m := range c.Models {
			out = append(out, port.Place{Pool: m.Name, Region: r.Name})
		}
		for _, v := range c.Services {
			out = append(out, port.Place{Pool: v.Name, Region: r.Name})
		}
	}
	return out
}

// session returns the session to a place, and opens it where there is none;
// until then requests that are passed on wait for it.
func (s *Service) session(p port.Place, until time.Time) *session {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.sessions[p]; ok {
		old.used = time.Now()
		return old
	}
	made := newSession(s, p)
	made.used = time.Now()
	made.awaited = until
	s.sessions[p] = made
	s.done.Go(made.run)
	return made
}

// closeIdle ends the sessions that are neither standing nor in use.
func (s *Service) closeIdle(standing []port.Place) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p, sess := range s.sessions {
		if slices.Contains(standing, p) || time.Since(sess.used) < farIdle || !sess.idle() {
			continue
		}
		sess.cancel()
		delete(s.sessions, p)
	}
}

// idle tells whether nothing waits, runs or is still to be sent.
func (s *session) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting)+len(s.running)+len(s.pending.Releases) == 0
}

// connected returns a channel that is closed when the present session ends, or
// nil where there is none. It waits a moment for a session that was only just
// opened.
func (s *session) connected(ctx context.Context) <-chan struct{} {
	if s.lease().Holder == "" {
		return nil
	}
	deadline := time.NewTimer(time.Until(s.awaited))
	defer deadline.Stop()
	for {
		s.mu.Lock()
		down, up := s.down, s.up
		s.mu.Unlock()
		if down != nil {
			return down
		}
		select {
		case <-up:
		case <-deadline.C:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}
