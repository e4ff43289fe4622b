package sched

import "time"

const (
	// patienceGain is the weight of a new request in a tier's patience.
	patienceGain = 0.05
	// drainGain is the weight of a new measurement of the pool's throughput.
	drainGain = 0.2
	// drainWindow is how long the pool must be busy for one measurement.
	drainWindow = 2 * time.Second
	// patiencePart is the part of a tier's patience that its queue may take.
	patiencePart = 0.7
)

// drain measures how much queued work the pool takes up a second while more
// waits.
type drain struct {
	busySince time.Duration
	busy      bool
	granted   float64
	rate      float64
}

// measure is told after each round whether requests still wait.
func (m *drain) measure(now time.Duration, waiting bool) {
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
	if span < drainWindow {
		return
	}
	seen := m.granted / span.Seconds()
	if m.rate == 0 {
		m.rate = seen
	}
	m.rate += drainGain * (seen - m.rate)
	m.busySince = now
	m.granted = 0
}

// notePatience learns how long a tier's requests can wait.
func (t *tier) notePatience(now time.Duration, o Offer) {
	left := o.Deadline - now
	if t.patience == 0 {
		t.patience = left
	}
	t.patience += time.Duration(patienceGain * float64(left-t.patience))
}

// shed refuses what the pool can't serve in time, the lowest tier first, the
// workspace with the most work queued for its weight first within it. A tier
// of which a lower one is still in service is never shed.
func (d *Dispatcher) shed(now time.Duration, out *Decisions) {
	d.drain.measure(now, d.queued > 0)
	for d.overfull() {
		t := d.lowestQueued()
		if t == nil || d.runsBelow(t.rank) {
			return
		}
		r := t.victim()
		code, why := Overload, "capacity is short and no lower tier is queued or in service"
		if d.params.Spill && !r.offer.Final && r.offer.Spilled == "" {
			code, why = Spill, "capacity is short in this region"
		}
		d.drop(now, r, code, why, out)
	}
}

// overfull says whether the queue is longer than its limit, or would take
// longer than its lowest tier can wait.
func (d *Dispatcher) overfull() bool {
	if d.params.QueueLimit > 0 && d.queued > d.params.QueueLimit {
		return true
	}
	t := d.lowestQueued()
	if t == nil || d.drain.rate <= 0 {
		return false
	}
	wait := seconds(d.queuedCost() / d.drain.rate)
	return float64(wait) > patiencePart*float64(t.patience)
}

func (d *Dispatcher) queuedCost() float64 {
	sum := 0.0
	for _, t := range d.tiers {
		if t != nil {
			sum += t.cost
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

// runsBelow says whether a tier below a rank is in service.
func (d *Dispatcher) runsBelow(rank int) bool {
	for _, t := range d.tiers[rank+1:] {
		if t != nil && t.running > 0 {
			return true
		}
	}
	return false
}

// victim returns a late request of the workspace with the most work queued for
// its weight.
func (t *tier) victim() *request {
	heaviest := (*workspace)(nil)
	for _, w := range t.workspaces {
		if w.queued == 0 {
			continue
		}
		if heaviest == nil || heavier(w, heaviest) {
			heaviest = w
		}
	}
	l := &heaviest.lanes[long]
	if len(l.requests) == 0 {
		l = &heaviest.lanes[short]
	}
	return l.requests[len(l.requests)-1]
}

func heavier(a, b *workspace) bool {
	left, right := a.cost/a.weight, b.cost/b.weight
	if left != right {
		return left > right
	}
	return a.name > b.name
}

// comeBack returns when a refused caller may come back.
func (d *Dispatcher) comeBack(code Code) time.Duration {
	if code != Overload || d.drain.rate <= 0 {
		return retryAfter
	}
	return max(retryAfter, seconds(d.queuedCost()/d.drain.rate))
}
