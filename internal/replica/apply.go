package replica

import (
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/core/consensus"
	"github.com/verbenastep/verbenastep/core/promise"
	"github.com/verbenastep/verbenastep/core/state"
)

// proposalResult is the outcome of a proposal, delivered after the lock has been
// released.
type proposalResult struct {
	proposal *proposal
	outcome  outcome
}

// applyCommitted applies committed entries and delivers the outcomes of the
// proposals among them.
func (e *engine) applyCommitted(entries []consensus.Entry) {
	if len(entries) == 0 {
		return
	}
	results := e.applyEntries(entries)
	e.group.meters.commits.Add(float64(len(entries)))
	for _, r := range results {
		e.recordClaim(r)
		r.proposal.done <- r.outcome
	}
}

// applyEntries applies entries to the machine under the group's lock and
// notifies watchers if an entry changes what they receive.
func (e *engine) applyEntries(entries []consensus.Entry) []proposalResult {
	results := []proposalResult{}
	notify := false
	decoded := DecodeCommands(entries, e.proposedCommand)
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	for i, entry := range entries {
		p := e.proposalsByIndex[entry.Index]
		delete(e.proposalsByIndex, entry.Index)
		if p != nil {
			e.lessor.proposalEnded(p)
		}
		if p != nil && p.term != entry.Term {
			// The entry at this index is of another leader, so the proposal can
			// no longer commit.
			results = append(results, proposalResult{proposal: p, outcome: outcome{refused: true, leaderAddress: e.leaderAddress()}})
			p = nil
		}
		e.group.applied = entry.Index
		if !decoded[i].IsCommand {
			continue
		}
		c := decoded[i].Command
		result := e.machine.Apply(c)
		e.recordAcceptedConfig(c, result)
		e.lessor.recordRenewal(c, result, e.group.clocks.elapsed())
		notify = e.markChanged(c, entry.Index) || notify
		notify = e.group.markRollout(result.Rollout, entry.Index) || notify
		if p != nil {
			results = append(results, proposalResult{proposal: p, outcome: outcome{result: result, index: entry.Index}})
		}
	}
	if notify {
		e.group.notifyWatchers()
	}
	return results
}

// proposedCommand returns the command of an entry that this replica proposed,
// which saves decoding it.
func (e *engine) proposedCommand(entry consensus.Entry) (state.Command, bool) {
	p := e.proposalsByIndex[entry.Index]
	if p == nil || p.term != entry.Term {
		return state.Command{}, false
	}
	return p.command, true
}

// markChanged stores the index of a change to leases or suspects. It reports
// whether watchers must be notified of the command.
func (e *engine) markChanged(c state.Command, index uint64) bool {
	switch {
	case c.Apply != nil, c.Publish != nil:
		return true
	case c.Acquire != nil:
		e.group.leaseChangedAt[c.Acquire.Name] = index
		return true
	case c.Expire != nil:
		e.group.leaseChangedAt[c.Expire.Name] = index
		return true
	case c.Suspect != nil:
		e.group.suspectsChangedAt = index
		return true
	}
	return false
}

// recordAcceptedConfig records the event of an accepted configuration. Every
// replica records it, because the proposer may have stopped by then, and does so
// before any watcher receives the configuration.
func (e *engine) recordAcceptedConfig(c state.Command, r state.Result) {
	if c.Apply != nil && r.Status == state.OK {
		e.group.events.Record(promise.Event{Kind: promise.Accepted, Version: r.Version, Digest: r.Digest})
	}
}

// recordClaim records the event of a claim that this replica proposed.
func (e *engine) recordClaim(ended proposalResult) {
	c, r := ended.proposal.command, ended.outcome.result
	if r.Status != state.OK {
		return
	}
	if c.Claim != nil {
		e.group.events.Record(promise.Event{
			Kind: promise.Claim, Workspace: c.Claim.Workspace, Key: c.Claim.Key, Stream: c.Claim.Stream,
			Pool: c.Claim.Pool, Upstream: c.Claim.Upstream,
		})
	}
}

// updateRole checks whether role, term or leader have changed. If so, it resets
// the lessor, publishes the status and notifies watchers.
func (e *engine) updateRole() {
	role, term, leader := e.node.Position()
	if role == e.role && term == e.term && leader == e.leader {
		return
	}
	fields := []zap.Field{zap.Stringer("role", role), zap.Uint64("term", term)}
	if e.role == consensus.Leader {
		fields = append(fields, e.delay.fields()...)
	}
	e.role, e.term, e.leader = role, term, leader
	e.lessor.reset(e.group.clocks.elapsed(), term)
	e.publishStatus()
	e.group.mu.Lock()
	e.group.notifyWatchers()
	e.group.mu.Unlock()
	e.group.log.Info("role changed", fields...)
}

// publishStatus updates the status for operators and the metrics.
func (e *engine) publishStatus() {
	s := e.node.Status()
	version, _, _ := e.machine.Config()
	e.group.mu.Lock()
	e.group.status = s
	e.group.mu.Unlock()
	e.group.meters.update(s, version)
}
