package schedclient

import (
	"context"
	"time"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/core/sched"
	"github.com/verbenastep/verbenastep/internal/port"
)

// kindSpill is the refusal of a dispatcher that would shed the request although
// the other regions have not been asked yet. It never reaches a caller.
const kindSpill = fault.Kind(sched.Spill)

// otherRegions lists the declared regions besides the daemon's own.
func (s *Service) otherRegions() []string {
	out := []string{}
	for _, r := range s.view.Snapshot().Config.Regions {
		if r.Name != s.set.Region {
			out = append(out, r.Name)
		}
	}
	return out
}

// Acquire waits for a grant, in the daemon's own region first. If that region
// has no upstream of the pool, or would shed the request, Acquire asks the other
// regions one after the other. If they refuse too, the own region's dispatcher
// makes the final decision. The error is a *fault.Error.
func (s *Service) Acquire(ctx context.Context, r port.Request) (port.Ticket, error) {
	home := port.PoolRegion{Pool: r.Pool, Region: s.set.Region}
	t, refusal := s.acquireIn(ctx, home, s.newAcquisition(r))
	if refusal == nil {
		return t, nil
	}
	if !shouldSpill(refusal) {
		return nil, refusal
	}
	for _, region := range s.otherRegions() {
		a := s.newAcquisition(r)
		a.spilledFrom = s.set.Region
		t, err := s.acquireIn(ctx, port.PoolRegion{Pool: r.Pool, Region: region}, a)
		if err == nil {
			return t, nil
		}
		if isFinal(err) {
			return nil, err
		}
	}
	if refusal.Kind != kindSpill {
		return nil, refusal
	}
	a := s.newAcquisition(r)
	a.final = true
	t, err := s.acquireIn(ctx, home, a)
	if err != nil {
		return nil, err
	}
	return t, nil
}

func (s *Service) newAcquisition(r port.Request) *acquisition {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	return &acquisition{id: s.nextID, request: r, decided: make(chan struct{})}
}

// shouldSpill reports whether to ask the other regions after this refusal.
func shouldSpill(e *fault.Error) bool {
	return e.Kind == kindSpill || e.Kind == fault.NoUpstream
}

// isFinal reports whether a refusal by one region applies to all regions.
func isFinal(e *fault.Error) bool {
	return e.Kind == fault.Canceled || e.Kind == fault.Quarantined
}

// acquireIn waits for a grant by the dispatcher of one pool and region. A request
// spilled from another region waits only while the session to it lasts.
func (s *Service) acquireIn(ctx context.Context, p port.PoolRegion, a *acquisition) (*ticket, *fault.Error) {
	sess := s.session(p, time.Now().Add(connectTimeout))
	disconnected := (<-chan struct{})(nil)
	if a.spilledFrom != "" {
		if disconnected = sess.awaitConnection(ctx); disconnected == nil {
			return nil, unreachable(p)
		}
	}
	sess.offer(a)
	failure := (*fault.Error)(nil)
	expired := time.NewTimer(time.Until(a.request.Deadline))
	defer expired.Stop()
	select {
	case <-a.decided:
	case <-ctx.Done():
		failure = fault.New(fault.Canceled, "send the request again", "the caller went away while the request waited")
	case <-expired.C:
		failure = fault.New(fault.Deadline, "send the request again later", "no grant came before the deadline").After(time.Second)
	case <-disconnected:
		failure = unreachable(p)
	}
	if failure != nil && sess.withdraw(a) {
		return nil, failure
	}
	<-a.decided
	if a.failure != nil {
		return nil, a.failure
	}
	sess.countPrompt(a.request.PromptTokens)
	return &ticket{session: sess, acquisition: a}, nil
}

func unreachable(p port.PoolRegion) *fault.Error {
	return fault.New(fault.Unavailable, "send the request again later", "the dispatcher of %s in %s can't be reached", p.Pool, p.Region).After(time.Second)
}
