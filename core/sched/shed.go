package sched

import "time"

const (
	// patienceGain is the weight of a new request in a tier's patience.
	patienceGain = 0.05
	// throughputGain is the weight of a new measurement of the pool's
	// throughput.
	throughputGain = 0.2
	// throughputWindow is how long requests must be queued without a break for
	// one measurement.
	throughputWindow = 2 * time.Second
	// maxPatienceRatio is the maximum time to clear the queue as a fraction of
	// the lowest queued tier's patience.
	maxPatienceRatio = 0.7
)

// throughput measures the predicted work that the pool accepts per second while
// requests are queued.
type throughput struct {
	busySince time.Duration
	busy      bool
	granted   float64
	rate      float64
}

// measure updates the measurement after each round; waiting tells whether
// requests are still queued.
func (m *throughput) measure(now time.Duration, waiting bool) {
	if !waiting {
		m.busy = false
		return
	}
	if !m.busy {
		m.busy = true
		m.busySince = now
		m.granted = 0
		return
	}
	span := now - m.busySince
	if span < throughputWindow {
		return
	}
	measured := m.granted / span.Seconds()
	if m.rate == 0 {
		m.rate = measured
	}
	m.rate += throughputGain * (measured - m.rate)
	m.busySince = now
	m.granted = 0
}

// recordPatience updates the tier's patience with a new request.
func (t *tier) recordPatience(now time.Duration, o Offer) {
	left := o.Deadline - now
	if t.patience == 0 {
		t.patience = left
	}
	t.patience += time.Duration(patienceGain * float64(left-t.patience))
}

// shed refuses queued requests that the pool can't serve in time: those of the
// lowest tier first and, within it, those of the workspace with the most queued
// work relative to its weight. A tier is never shed while a lower one is in
// service.
func (d *Dispatcher) shed(now time.Duration, out *Decisions) {
	d.throughput.measure(now, d.queued > 0)
	for d.overloaded() {
		t := d.lowestQueued()
		if t == nil || d.lowerTierRunning(t.rank) {
			return
		}
		r := t.selectVictim()
		code, reason := Overloaded, "capacity is short and no lower tier is queued or in service"
		if d.params.Spill && !r.offer.Final && r.offer.SpilledFrom == "" {
			code, reason = Spill, "capacity is short in this region"
		}
		d.refuseQueued(now, r, code, reason, out)
	}
}

// overloaded reports whether the queue exceeds its limit, or would take longer
// to clear than its lowest tier can wait.
func (d *Dispatcher) overloaded() bool {
	if d.params.QueueLimit > 0 && d.queued > d.params.QueueLimit {
		return true
	}
	t := d.lowestQueued()
	if t == nil || d.throughput.rate <= 0 {
		return false
	}
	wait := seconds(d.queuedCost() / d.throughput.rate)
	return float64(wait) > maxPatienceRatio*float64(t.patience)
}

func (d *Dispatcher) queuedCost() float64 {
	sum := 0.0
	for _, t := range d.tiers {
		if t != nil {
			sum += t.queuedCost
		}
	}
	return sum
}

func (d *Dispatcher) lowestQueued() *tier {
	for i := len(d.tiers) - 1; i >= 0; i-- {
		if t := d.tiers[i]; t != nil && t.queued > 0 {
			return t
		}
	}
	return nil
}

// lowerTierRunning reports whether a tier below a rank is in service.
func (d *Dispatcher) lowerTierRunning(rank int) bool {
	for _, t := range d.tiers[rank+1:] {
		if t != nil && t.running > 0 {
			return true
		}
	}
	return false
}

// selectVictim returns the request to shed: a late position in the queue of the
// workspace with the most queued work relative to its weight, preferring long
// requests.
func (t *tier) selectVictim() *request {
	heaviest := (*workspace)(nil)
	for _, w := range t.workspaces {
		if w.queued == 0 {
			continue
		}
		if heaviest == nil || moreQueuedWork(w, heaviest) {
			heaviest = w
		}
	}
	l := &heaviest.lanes[long]
	if len(l.requests) == 0 {
		l = &heaviest.lanes[short]
	}
	return l.requests[len(l.requests)-1]
}

func moreQueuedWork(a, b *workspace) bool {
	loadA, loadB := a.queuedCost/a.weight, b.queuedCost/b.weight
	if loadA != loadB {
		return loadA > loadB
	}
	return a.name > b.name
}

// retryDelay returns how long the caller of a refused request should wait
// before a retry.
func (d *Dispatcher) retryDelay(code Code) time.Duration {
	if code != Overloaded || d.throughput.rate <= 0 {
		return defaultRetryDelay
	}
	return max(defaultRetryDelay, seconds(d.queuedCost()/d.throughput.rate))
}
