// Package versiongate derives from the records of rollouts which software versions a
// daemon's broker may use. The brokers of control daemons and entries use it.
//
// A Tracker is not safe for concurrent use.
package versiongate

import (
	"github.com/verbenastep/verbenastep/core/rollout"
)

// Setter is a broker whose gates are set.
type Setter interface {
	SetGate(pool string, g rollout.Gate, replaced []string)
}

// Tracker holds the newest record of each pool.
type Tracker struct {
	pools map[string]*tracked
}

type tracked struct {
	record rollout.Record
	// replaced lists the versions other than the target that the pool had when its rollout
	// was completed, as long as they are listed.
	replaced []string
}

// New returns a tracker without records.
func New() *Tracker { return &Tracker{pools: map[string]*tracked{}} }

// Update takes over the records of all pools. listed returns the software versions of a
// pool's upstreams that are not gone; it is called only where they matter. It returns the
// records whose phase is new.
func (t *Tracker) Update(records []rollout.Record, listed func(pool string) []string) []rollout.Record {
	changed := []rollout.Record{}
	for _, r := range records {
		x := t.pools[r.Pool]
		if x == nil {
			x = &tracked{}
			t.pools[r.Pool] = x
		}
		old := x.record
		if old.IsNewer(r) {
			// A new leader has not applied all of its log yet.
			continue
		}
		x.record = r
		if old.Number != r.Number || old.Phase != r.Phase {
			changed = append(changed, r)
		}
		switch {
		case r.Phase != rollout.Completed:
			x.replaced = nil
		case old.Running() && old.Number == r.Number:
			x.replaced = others(listed(r.Pool), r.Target)
		case len(x.replaced) > 0:
			x.replaced = common(x.replaced, listed(r.Pool))
		}
	}
	return changed
}

// Apply sets the gates of all pools. A completed rollout restricts its pool only while the
// versions are listed that it replaced: those that are introduced later without a rollout are
// used. A process that did not see the rollout run does not know what it replaced.
func (t *Tracker) Apply(b Setter) {
	for pool, x := range t.pools {
		g := x.record.Gate()
		if g.Phase == rollout.Completed && len(x.replaced) == 0 {
			g = rollout.Gate{}
		}
		b.SetGate(pool, g, x.replaced)
	}
}

// Record returns the record of a pool, and false if there is none.
func (t *Tracker) Record(pool string) (rollout.Record, bool) {
	x := t.pools[pool]
	if x == nil {
		return rollout.Record{}, false
	}
	return x.record, true
}

// Replaced returns the versions that the rollouts of a pool replaced, as long as they are listed.
func (t *Tracker) Replaced(pool string) []string {
	if x := t.pools[pool]; x != nil {
		return x.replaced
	}
	return nil
}

// Records returns all records in no particular order.
func (t *Tracker) Records() []rollout.Record {
	out := make([]rollout.Record, 0, len(t.pools))
	for _, x := range t.pools {
		out = append(out, x.record)
	}
	return out
}

// others returns the versions of a list, each once, without one.
func others(list []string, version string) []string {
	out := []string{}
	seen := map[string]bool{version: true}
	for _, v := range list {
		if !seen[v] {
			seen[v] = true
			out = append(out, v)
		}
	}
	return out
}

// common returns the versions of a list that are in the other one.
func common(list, other []string) []string {
	in := map[string]bool{}
	for _, v := range other {
		in[v] = true
	}
	out := []string{}
	for _, v := range list {
		if in[v] {
			out = append(out, v)
		}
	}
	return out
}
