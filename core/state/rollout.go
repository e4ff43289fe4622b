package state

import "github.com/verbenastep/verbenastep/core/rollout"

// Rollout orders or advances the rollout of a pool. Exactly one field is set. Both may be
// applied twice. A build that does not know the command answers Invalid.
type Rollout struct {
	Start   *rollout.Start   `json:"start,omitempty"`
	Advance *rollout.Advance `json:"advance,omitempty"`
}

func (m *Machine) applyRollout(c *Rollout) Result {
	var r rollout.Record
	var status rollout.Status
	switch {
	case c.Start != nil && c.Advance == nil:
		r, status = m.rollouts.Start(*c.Start)
	case c.Advance != nil && c.Start == nil:
		r, status = m.rollouts.Advance(*c.Advance)
	default:
		return Result{Status: Invalid}
	}
	out := Result{Status: map[rollout.Status]Status{rollout.OK: OK, rollout.Conflict: Conflict}[status]}
	if out.Status == "" {
		out.Status = Invalid
	}
	if r.Number > 0 {
		out.Rollout = &r
	}
	return out
}

// Rollout returns the last rollout of a pool, and false if none was ordered.
func (m *Machine) Rollout(pool string) (rollout.Record, bool) { return m.rollouts.Record(pool) }

// Rollouts returns the last rollout of each pool, ordered by pool.
func (m *Machine) Rollouts() []rollout.Record { return m.rollouts.Records() }
