package roster

import (
	"context"
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/core/roster"
	"github.com/verbenastep/verbenastep/internal/wait"
)

const (
	// departureTimeout bounds the wait until a departure is on enough disks: an upstream takes
	// no acknowledgement that comes later than a second.
	departureTimeout = 800 * time.Millisecond
	// spreadStoreTimeout is the same for departures that another daemon forwards; it is shorter
	// than forwardTimeout.
	spreadStoreTimeout = 400 * time.Millisecond
	// memberPollInterval is how often a daemon that has started looks for the others.
	memberPollInterval = 100 * time.Millisecond
)

// maxUnknownDepartures bounds the departures of ids without heartbeats, since a call may name
// any id.
const maxUnknownDepartures = 4096

// departure identifies what an upstream said: that a process takes no new requests, or that it is
// gone. born is the start time of the process, endedBefore that before which processes have ended;
// zero if they are not stated.
type departure struct {
	id          string
	born        int64
	gone        bool
	endedBefore int64
}

// copies tracks on which daemons' disks a departure is.
type copies struct {
	departure
	// revision is the one from which on this daemon's disk has the departure.
	revision uint64
	on       map[string]bool
	// changed is closed and replaced with each copy.
	changed chan struct{}
	// waiting is the number of calls that wait for copies; what is waited for is not forgotten.
	waiting int
}

func (c *copies) add(address string) {
	if c.on[address] {
		return
	}
	c.on[address] = true
	close(c.changed)
	c.changed = make(chan struct{})
}

func departureOf(e roster.Entry) departure {
	d := departure{id: e.ID, born: e.Born, gone: e.Gone}
	if e.Gone {
		d.endedBefore = e.EndedBefore
	}
	return d
}

// isIn reports whether an entry that is on a disk holds the departure.
func (d departure) isIn(e roster.Entry) bool {
	if e.ID != d.id || e.EndedBefore < d.endedBefore {
		return false
	}
	return e.Born > d.born || e.Born == d.born && (e.Gone || e.Leaving && !d.gone)
}

// beginDeparture forwards the departure of a heartbeat that was merged with a result, whole unless
// it is known to be on enough disks. It returns what awaitCopies waits for, or nil if there is
// nothing to store: a later process has registered under the id. The caller holds s.mu.
func (s *Service) beginDeparture(e roster.Entry, result roster.MergeResult) *copies {
	held, _ := s.core.Find(e.ID)
	if !held.IsDeparture() {
		return nil
	}
	e, d := held, departureOf(held)
	c := s.departures[d]
	if c == nil {
		s.forgetDepartures()
		c = &copies{departure: d, revision: s.revision, on: map[string]bool{}, changed: make(chan struct{})}
		s.departures[d] = c
		if s.storedRevision >= c.revision || len(s.replicas.MemberAddresses()) <= 1 {
			c.add(s.set.Addresses.Peers)
		}
	}
	if len(c.on) < s.replicas.CopiesToSurvive() {
		result = roster.Changed
	}
	if result != roster.Stale {
		s.forward(e, result)
	}
	c.waiting++
	return c
}

// forgetDepartures drops the departures that the roster does not hold any more, or that later ones
// include. The caller holds s.mu.
func (s *Service) forgetDepartures() {
	maps.DeleteFunc(s.departures, func(d departure, c *copies) bool {
		held, known := s.core.Find(d.id)
		return c.waiting == 0 && (!known || held.Born != d.born || d.gone && held.EndedBefore != d.endedBefore)
	})
}

// awaitCopies waits until a departure is on as many disks as outlive the daemons that may be lost.
func (s *Service) awaitCopies(ctx context.Context, c *copies) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() { c.waiting-- }()
	timeout := time.NewTimer(departureTimeout)
	defer timeout.Stop()
	for {
		needed, changed := s.replicas.CopiesToSurvive(), c.changed
		if len(c.on) >= needed {
			return nil
		}
		wait.Notify(s.urgent)
		s.mu.Unlock()
		ended := false
		select {
		case <-changed:
		case <-timeout.C:
			ended = true
		case <-ctx.Done():
			ended = true
		case <-s.ctx.Done():
			ended = true
		}
		s.mu.Lock()
		if ended {
			s.log.Warn("departure not acknowledged", zap.String("upstream", c.id), zap.Int64("born", c.born), zap.Bool("gone", c.gone), zap.Int("copies", len(c.on)), zap.Int("needed", needed))
			return fault.New(fault.Unavailable, "send it to another control daemon", "the departure is on %d disks, %d are needed", len(c.on), needed)
		}
	}
}

// recordCopies records that another daemon has the departures among some entries on its disk, or
// queues those again for which a call still waits. The caller holds s.mu.
func (s *Service) recordCopies(address string, p *peer, entries map[string]roster.Entry, stored bool) {
	for _, e := range entries {
		if !e.IsDeparture() {
			continue
		}
		isAwaited := false
		for d, c := range s.departures {
			if !d.isIn(e) {
				continue
			}
			if stored {
				c.add(address)
			}
			isAwaited = isAwaited || c.waiting > 0
		}
		if !stored && isAwaited {
			p.queue(e, roster.Changed)
		}
	}
}

// forwardDepartures sends the departures that were read from disk to the other daemons once, as
// soon as those are known: they may have been killed before they learned of them.
func (s *Service) forwardDepartures() {
	for len(s.replicas.MemberAddresses()) == 0 {
		if s.ctx.Err() != nil {
			return
		}
		wait.Sleep(s.ctx, memberPollInterval)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.core.All(s.now()) {
		if e.IsDeparture() {
			s.forward(e, roster.Changed)
		}
	}
}
