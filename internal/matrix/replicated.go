package matrix

import (
	"time"

	"github.com/verbenastep/verbenastep/core/state"
)

const (
	// commitDelay is the time of one quorum commit.
	commitDelay = 3 * time.Millisecond
	// electionTime is how long the log has no leader after one fails.
	electionTime = 1500 * time.Millisecond
	// leaseTTL is how long the log keeps a lease that is not renewed.
	leaseTTL = 2 * time.Second
	// leaseExpiryInterval is the interval at which the leader checks for expired
	// leases.
	leaseExpiryInterval = 100 * time.Millisecond
	// leaseName is the name of the dispatcher's lease.
	leaseName = "dispatch"
)

// replicatedLog emulates the replicas: it commits to the state machine of
// core/state. Its leader can fail before or after a commit.
type replicatedLog struct {
	sim             *simulation
	machine         *state.Machine
	leaderlessUntil time.Duration
	// losesNextReply makes the leader fail after it commits the next command,
	// before it replies.
	losesNextReply bool
	leaseRenewedAt time.Duration
	// onApplied, unless nil, is called with each committed command.
	onApplied func(state.Command, state.Result)
}

func newReplicatedLog(sim *simulation) *replicatedLog {
	r := &replicatedLog{sim: sim, machine: state.New()}
	r.expireLease()
	return r
}

func (r *replicatedLog) hasLeader() bool { return r.leaderlessUntil <= r.sim.now() }

func (r *replicatedLog) loseLeader() {
	r.leaderlessUntil = r.sim.now() + electionTime
	// A new leader restarts the full TTL of every lease.
	r.leaseRenewedAt = r.leaderlessUntil
}

// expireLease expires the dispatcher's lease if it was not renewed.
func (r *replicatedLog) expireLease() {
	l := r.machine.Lease(leaseName)
	if r.hasLeader() && l.Holder != "" && r.sim.now()-r.leaseRenewedAt > leaseTTL {
		r.machine.Apply(state.Command{Expire: &state.Expire{Name: leaseName, Epoch: l.Epoch}})
	}
	r.sim.after(leaseExpiryInterval, r.expireLease)
}

// propose commits a command for a process. If done is called with false, the
// command may or may not be committed.
func (r *replicatedLog) propose(p *process, c state.Command, done func(state.Result, bool)) {
	answered := false
	reply := func(result state.Result, ok bool) {
		if !answered {
			answered = true
			done(result, ok)
		}
	}
	p.runAfter(replyTimeout, func() { reply(state.Result{}, false) })
	if !p.isReachable() {
		return
	}
	r.sim.after(messageDelay+commitDelay, func() {
		if !r.hasLeader() || p.partitionedUntil > r.sim.now() {
			return
		}
		result := r.machine.Apply(c)
		if r.onApplied != nil {
			r.onApplied(c, result)
		}
		if c.Acquire != nil && result.Status == state.OK {
			r.leaseRenewedAt = r.sim.now()
		}
		if r.losesNextReply {
			r.losesNextReply = false
			r.loseLeader()
			return
		}
		if p.isReachable() {
			p.runAfter(messageDelay, func() { reply(result, true) })
		}
	})
}

// proposeUntilAnswered proposes a command repeatedly until it is answered.
func (r *replicatedLog) proposeUntilAnswered(p *process, c state.Command, done func(state.Result)) {
	r.propose(p, c, func(result state.Result, ok bool) {
		if ok {
			done(result)
			return
		}
		p.runAfter(retryDelay, func() { r.proposeUntilAnswered(p, c, done) })
	})
}

// lookup reads a claim through the leader. It commits a command first, so that
// the read sees every earlier commit.
func (r *replicatedLog) lookup(p *process, key string, done func(state.Claim, bool)) {
	r.proposeUntilAnswered(p, state.Command{Suspect: &state.Suspect{Pool: poolName}}, func(state.Result) {
		done(r.machine.Claim(workspaceName, key))
	})
}
