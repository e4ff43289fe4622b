package egress

import (
	"context"
	"slices"
	"time"

	"github.com/verbenastep/verbenastep/core/paths"
)

const (
	// verdictTTL is how long the verdict of a check counts; reachedTTL is the same if the
	// upstream was reached.
	verdictTTL = 300 * time.Millisecond
	reachedTTL = 2 * time.Second
	// checkTimeout bounds a check.
	checkTimeout = 1500 * time.Millisecond
	// maxChecks is how many verdicts are kept before old ones are removed.
	maxChecks = 256
)

// check is a check of one upstream. verdict and at are set before done is closed.
type check struct {
	done    chan struct{}
	verdict paths.Verdict
	at      time.Time
}

// isRecent reports whether a check that has ended still counts.
func (c *check) isRecent(now time.Time) bool {
	ttl := verdictTTL
	if c.verdict == paths.Reachable {
		ttl = reachedTTL
	}
	return now.Sub(c.at) < ttl
}

// FindFault finds out whose fault it is that a connection to the upstream at an address was
// lost, or that it stays silent. Without another entry to ask it blames the upstream at once.
func (s *Service) FindFault(address string) paths.Verdict {
	if !s.HasHelpers() {
		return paths.UpstreamAtFault
	}
	return s.check(address)
}

// HasHelpers reports whether there are other entries to connect through.
func (s *Service) HasHelpers() bool {
	return s.members != nil && slices.ContainsFunc(s.members.Live(), s.isHelper)
}

// check checks an upstream. Concurrent calls for one address share a check.
func (s *Service) check(address string) paths.Verdict {
	s.mu.Lock()
	c := s.checks[address]
	if c != nil {
		select {
		case <-c.done:
			if !c.isRecent(time.Now()) {
				c = nil
			}
		default:
		}
	}
	if c == nil {
		s.trimChecks()
		c = &check{done: make(chan struct{})}
		s.checks[address] = c
		go s.runCheck(c, address)
	}
	s.mu.Unlock()
	<-c.done
	return c.verdict
}

// trimChecks removes verdicts that don't count any more if there are many. The caller holds the
// lock.
func (s *Service) trimChecks() {
	if len(s.checks) < maxChecks {
		return
	}
	now := time.Now()
	for address, c := range s.checks {
		select {
		case <-c.done:
			if !c.isRecent(now) {
				delete(s.checks, address)
			}
		default:
		}
	}
}

func (s *Service) runCheck(c *check, address string) {
	defer close(c.done)
	ctx, cancel := context.WithTimeout(s.ctx, checkTimeout)
	defer cancel()
	conn, err := s.Dial(ctx, address)
	c.at = time.Now()
	failed, isDialError := err.(*DialError)
	switch {
	case err == nil && IsTunnel(conn):
		c.verdict = paths.PathAtFault
	case err == nil:
		c.verdict = paths.Reachable
	case isDialError && failed.IsUpstreamDown():
		c.verdict = paths.UpstreamAtFault
	}
	if conn != nil {
		_ = conn.Close()
	}
}
