package replica

import (
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/core/consensus"
	"github.com/verbenastep/verbenastep/core/promise"
	"github.com/verbenastep/verbenastep/core/state"
)

// answer is a proposal's outcome, sent after the lock is free.
type answer struct {
	proposal *proposal
	outcome  outcome
}

func (e *engine) applyAll(entries []consensus.Entry) {
	if len(entries) == 0 {
		return
	}
	answers := e.applyLocked(entries)
	e.g.meters.commits.Add(float64(len(entries)))
	for _, a := range answers {
		e.record(a)
		a.proposal.done <- a.outcome
	}
}

func (e *engine) applyLocked(entries []consensus.Entry) []answer {
	answers := []answer{}
	wake := false
	e.g.mu.Lock()
	defer e.g.mu.Unlock()
	for _, entry := range entries {
		p := e.waiting[entry.Index]
		delete(e.waiting, entry.Index)
		if p != nil && p.term != entry.Term {
			// Another leader's entry stands here: this one never commits.
			answers = append(answers, answer{proposal: p, outcome: outcome{refused: true, leader: e.leaderAddress()}})
			p = nil
		}
		e.g.applied = entry.Index
		c, ok := command(entry, p)
		if !ok {
			continue
		}
		result := e.machine.Apply(c)
		e.recordAccepted(c, result)
		e.lessor.applied(c, result, e.g.now())
		wake = e.noteChange(c, entry.Index) || wake
		if p != nil {
			answers = append(answers, answer{proposal: p, outcome: outcome{result: result, index: entry.Index}})
		}
	}
	if wake {
		e.g.wake()
	}
	return answers
}

// command saves decoding what was proposed here.
func command(entry consensus.Entry, p *proposal) (state.Command, bool) {
	if p != nil {
		return p.command, true
	}
	return decode(entry)
}

// noteChange tells whether watchers may want to know of a command.
func (e *engine) noteChange(c state.Command, index uint64) bool {
	switch {
	case c.Apply != nil:
		return true
	case c.Acquire != nil:
		e.g.leaseAt[c.Acquire.Name] = index
		return true
	case c.Expire != nil:
		e.g.leaseAt[c.Expire.Name] = index
		return true
	case c.Suspect != nil:
		e.g.suspectAt = index
		return true
	}
	return false
}

// recordAccepted tells of an accepted configuration, on every replica and
// before any watcher hears of it: its proposer may be gone by then.
func (e *engine) recordAccepted(c state.Command, r state.Result) {
	if c.Apply != nil && r.Status == state.OK {
		e.g.events.Record(promise.Event{Kind: promise.Accepted, Version: r.Version, Digest: r.Digest})
	}
}

// record tells of claims that were proposed here.
func (e *engine) record(a answer) {
	c, r := a.proposal.command, a.outcome.result
	if r.Status != state.OK {
		return
	}
	if c.Claim != nil {
		e.g.events.Record(promise.Event{
			Kind: promise.Claim, Workspace: c.Claim.Workspace, Key: c.Claim.Key, Stream: c.Claim.Stream,
			Pool: c.Claim.Pool, Upstream: c.Claim.Upstream,
		})
	}
}

// noteRole follows changes of term and role, and publishes the status.
func (e *engine) noteRole() {
	s := e.node.Status()
	changed := s.Role != e.role || s.Term != e.term
	e.role, e.term = s.Role, s.Term
	e.g.mu.Lock()
	e.g.status = s
	version, _, _ := e.machine.Config()
	e.g.mu.Unlock()
	e.g.meters.note(s, version)
	if !changed {
		return
	}
	e.lessor.reset(e.g.now())
	e.g.log.Info("role changed", zap.Stringer("role", s.Role), zap.Uint64("term", s.Term))
}
