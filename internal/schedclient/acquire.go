package schedclient

import (
	"context"
	"time"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/core/sched"
	"github.com/verbenastep/verbenastep/internal/port"
)

// kindSpill is the refusal of a dispatcher that would shed the request, before
// the other regions were asked. It never reaches a caller.
const kindSpill = fault.Kind(sched.Spill)

// others lists the regions besides the daemon's own.
func (s *Service) others() []string {
	out := []string{}
	for _, r := range s.view.Snapshot().Config.Regions {
		if r.Name != s.set.Region {
			out = append(out, r.Name)
		}
	}
	return out
}

// Acquire waits for a grant, in the daemon's own region first. Where that
// region has no upstream of the pool, or would shed the request, the others
// are asked; what they refuse too is decided finally in the own region.
func (s *Service) Acquire(ctx context.Context, r port.Request) (port.Ticket, error) {
	home := port.Place{Pool: r.Pool, Region: s.set.Region}
	t, first := s.acquireIn(ctx, home, s.waiter(r))
	if first == nil {
		return t, nil
	}
	if !worthSpilling(first) {
		return nil, first
	}
	for _, region := range s.others() {
		w := s.waiter(r)
		w.spilled = s.set.Region
		t, err := s.acquireIn(ctx, port.Place{Pool: r.Pool, Region: region}, w)
		if err == nil {
			return t, nil
		}
		if isFinal(err) {
			return nil, err
		}
	}
	if first.Kind != kindSpill {
		return nil, first
	}
	w := s.waiter(r)
	w.final = true
	t, err := s.acquireIn(ctx, home, w)
	if err != nil {
		return nil, err
	}
	return t, nil
}

func (s *Service) waiter(r port.Request) *waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	return &waiter{id: s.nextID, request: r, settled: make(chan struct{})}
}

func worthSpilling(e *fault.Error) bool {
	return e.Kind == kindSpill || e.Kind == fault.NoUpstream
}

// isFinal says whether another region's refusal holds everywhere.
func isFinal(e *fault.Error) bool {
	return e.Kind == fault.Canceled || e.Kind == fault.Quarantined
}

// acquireIn waits for a grant in one place. A request that was passed on waits
// only while the session to that place holds.
func (s *Service) acquireIn(ctx context.Context, p port.Place, w *waiter) (*ticket, *fault.Error) {
	sess := s.session(p, time.Now().Add(connectWait))
	down := (<-chan struct{})(nil)
	if w.spilled != "" {
		if down = sess.connected(ctx); down == nil {
			return nil, unreachable(p)
		}
	}
	sess.offer(w)
	gaveUp := (*fault.Error)(nil)
	expired := time.NewTimer(time.Until(w.request.Deadline))
	defer expired.Stop()
	select {
	case <-w.settled:
	case <-ctx.Done():
		gaveUp = fault.New(fault.Canceled, "send the request again", "the caller went away while the request waited")
	case <-expired.C:
		gaveUp = fault.New(fault.Deadline, "send the request again later", "no grant came before the deadline").After(time.Second)
	case <-down:
		gaveUp = unreachable(p)
	}
	if gaveUp != nil && sess.withdraw(w) {
		return nil, gaveUp
	}
	<-w.settled
	if w.failure != nil {
		return nil, w.failure
	}
	sess.promptCrosses(w.request.PromptTokens)
	return &ticket{session: sess, waiter: w}, nil
}

func unreachable(p port.Place) *fault.Error {
	return fault.New(fault.Unavailable, "send the request again later", "the dispatcher of %s in %s can't be reached", p.Pool, p.Region).After(time.Second)
}
