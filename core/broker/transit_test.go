package broker

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// callSlots is the number of slots of an upstream of the simulated plain service,
	// callQueue the number of requests that it queues besides; it rejects more.
	callSlots = 6
	callQueue = 24
	callWork  = 30 * time.Millisecond
	// crossRegion and sameRegion are one-way delays.
	crossRegion = 20 * time.Millisecond
	sameRegion  = time.Millisecond
	callTarget  = 250 * time.Millisecond
)

// callSim runs a broker in region r0 with a plain service in both regions. The entries are
// in both regions too.
type callSim struct {
	*sim
	upstreams map[string]*callUpstream
	offeredAt map[ID]Offer
	onTime    int
	refused   int
	rejected  int
	offers    int
}

// callUpstream simulates an upstream that serves calls in order of arrival.
type callUpstream struct {
	region  string
	running int
	queue   []func()
}

func newCallSim(perRegion int) *callSim {
	s := &callSim{sim: newSim(), upstreams: map[string]*callUpstream{}, offeredAt: map[ID]Offer{}}
	list := []Upstream{}
	for i := range 2 * perRegion {
		u := Upstream{ID: fmt.Sprintf("s-%02d", i), Pool: "calls", Region: fmt.Sprintf("r%d", i%2), Slots: callSlots}
		list = append(list, u)
		s.upstreams[u.ID] = &callUpstream{region: u.Region}
	}
	s.broker.SetUpstreams(list)
	return s
}

// transit returns the one-way delay between two regions.
func transit(a, b string) time.Duration {
	if a == b {
		return sameRegion
	}
	return crossRegion
}

// call lets a caller in a region send a request now.
func (s *callSim) call(region string) {
	s.next++
	s.offers++
	sent := s.now
	o := Offer{
		ID: ID{Entry: region, Number: s.next}, Pool: "calls", Region: region, DataCentre: region, LatencyTarget: sent + callTarget, LatestUseful: sent + 2*callTarget, Deadline: sent + 4*time.Second,
	}
	s.offeredAt[o.ID] = o
	s.at(s.now+transit(region, "r0"), func() {
		s.broker.Offer(s.now, o)
		s.decideCalls()
	})
}

func (s *callSim) decideCalls() {
	d := s.broker.Decide(s.now)
	s.refused += len(d.Refusals)
	for _, g := range d.Grants {
		o, u := s.offeredAt[g.ID], s.upstreams[g.Upstream]
		sent := s.now + transit("r0", o.Region)
		s.at(sent+transit(o.Region, u.region), func() { s.serve(u, o, sent) })
	}
}

// serve runs a call at an upstream and reports its end to the broker.
func (s *callSim) serve(u *callUpstream, o Offer, sent time.Duration) {
	end := func(outcome Outcome) {
		answered := s.now + transit(u.region, o.Region)
		if outcome == Completed && answered <= o.LatencyTarget {
			s.onTime++
		}
		s.at(answered+transit(o.Region, "r0"), func() {
			s.broker.End(s.now, End{ID: o.ID, Outcome: outcome, TimeToFirstEvent: answered - sent})
			s.decideCalls()
		})
	}
	start := func() {
		u.running++
		s.at(s.now+callWork, func() {
			u.running--
			end(Completed)
			if len(u.queue) > 0 {
				next := u.queue[0]
				u.queue = u.queue[1:]
				next()
			}
		})
	}
	switch {
	case u.running < callSlots:
		start()
	case len(u.queue) < callQueue:
		u.queue = append(u.queue, start)
	default:
		s.rejected++
		end(Rejected)
	}
}

// TestPatternCallsAcrossRegionsUseAllSlots offers three quarters of what a plain service can
// run. Requests, grants and releases travel between regions for longer than a call runs, so a
// slot that is held meanwhile would be idle most of the time.
func TestPatternCallsAcrossRegionsUseAllSlots(t *testing.T) {
	s := newCallSim(3)
	perSecond := 0.75 * float64(2*3*callSlots) / callWork.Seconds()
	for _, region := range []string{"r0", "r1"} {
		for at := time.Duration(0); at < 20*time.Second; {
			at += seconds(s.rng.ExpFloat64() / (perSecond / 2))
			s.at(at, func() { s.call(region) })
		}
	}
	s.run()
	t.Logf("%d of %d on time, %d refused, %d rejected", s.onTime, s.offers, s.refused, s.rejected)
	require.Greater(t, float64(s.onTime), 0.95*float64(s.offers))
	require.Less(t, float64(s.refused), 0.01*float64(s.offers))
	require.Less(t, float64(s.rejected), 0.01*float64(s.offers))
}

// TestPatternOverloadedCallsAreNotRejectedByUpstreams offers three times what a plain service
// can run. The broker refuses the surplus, so that the upstreams' queues do not overflow.
func TestPatternOverloadedCallsAreNotRejectedByUpstreams(t *testing.T) {
	s := newCallSim(3)
	capacity := float64(2*3*callSlots) / callWork.Seconds()
	for _, region := range []string{"r0", "r1"} {
		for at := time.Duration(0); at < 4*time.Second; {
			at += seconds(s.rng.ExpFloat64() / (3 * capacity / 2))
			s.at(at, func() { s.call(region) })
		}
	}
	s.run()
	t.Logf("%d of %d on time, %d refused, %d rejected", s.onTime, s.offers, s.refused, s.rejected)
	require.Less(t, float64(s.rejected), 0.01*float64(s.offers))
	require.Greater(t, float64(s.onTime), 0.85*capacity*4, "the service stays busy and its answers on time")
}

// TestPatternEnginesAreBusyWhileGrantsTravel offers twice what engines can run from an entry
// that is far from the broker. A slot that stays granted while grant and release travel would be
// idle meanwhile, a tenth of the time of a mean request.
func TestPatternEnginesAreBusyWhileGrantsTravel(t *testing.T) {
	const transitTime, length = 50 * time.Millisecond, 20 * time.Second
	s := newSim(1, 1, 1, 1)
	s.transit, s.busyUntil = transitTime, length
	s.arrive(0, length, 2*4*float64(simSlots)/(0.8*(13.8+10.3+17.5)))
	s.run()
	busy := s.busyTime.Seconds() / (4 * simSlots * length.Seconds())
	t.Logf("slots busy for %.3f of the time, at most %d requests on an engine of %d slots", busy, s.maxRunning, simSlots)
	require.Greater(t, busy, 0.95)
	require.LessOrEqual(t, s.maxRunning, simSlots, "requests that run at once")
}
