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
	decoded := DecodeAll(entries, e.proposed)
	e.g.mu.Lock()
	defer e.g.mu.Unlock()
	for i, entry := range entries {
		p := e.waiting[entry.Index]
		delete(e.waiting, entry.Index)
		if p != nil {
			e.lessor.ended(p)
		}
		if p != nil && p.term != entry.Term {
			// Another leader's entry stands here: this one never commits.
			answers = append(answers, answer{proposal: p, outcome: outcome{refused: true, leader: e.leaderAddress()}})
			p = nil
		}
		e.g.applied = entry.Index
		if !decoded[i].Is {
			continue
		}
		c := decoded[i].Command
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

// proposed returns the command of an entry that was proposed here.
func (e *engine) proposed(entry consensus.Entry) (state.Command, bool) {
	p := e.waiting[entry.Index]
	if p == nil || p.term != entry.Term {
		return state.Command{}, false
	}
	return p.command, true
}

// noteChange tells whether watchers may want to know of a command.
func (e *engine) noteChange(c state.Command, index uint64) bool {
	switch {
	case c.Apply != nil, c.Publish != nil:
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

// noteRole follows changes of role, term and leader.
func (e *engine) noteRole() {
	role, term, leader := e.node.Position()
	if role == e.role && term == e.term && leader == e.leader {
		return
	}
	e.role, e.term, e.leader = role, term, leader
	e.lessor.reset(e.g.now(), term)
	e.showStatus()
	e.g.mu.Lock()
	e.g.wake()
	e.g.mu.Unlock()
	e.g.log.Info("role changed", zap.Stringer("role", role), zap.Uint64("term", term))
}

// showStatus publishes the position for operators and metrics.
func (e *engine) showStatus() {
	s := e.node.Status()
	version, _, _ := e.machine.Config()
	e.g.mu.Lock()
	e.g.status = s
	e.g.mu.Unlock()
	e.g.meters.note(s, version)
}
