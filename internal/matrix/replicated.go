package matrix

import (
	"time"

	"github.com/verbenastep/verbenastep/core/state"
)

const (
	// commitTime is the time of one quorum commit.
	commitTime = 3 * time.Millisecond
	// electTime is how long the log stays without a leader after one dies.
	electTime = 1500 * time.Millisecond
	// leaseLife is how long the log keeps a lease that nobody renews.
	leaseLife = 2 * time.Second
	// leaseTick is how often the leader looks for leases that ran out.
	leaseTick = 100 * time.Millisecond
	// leaseName is the dispatcher's.
	leaseName = "dispatch"
)

// replicated stands for the replicas: it commits to the real state machine. Its
// leader can die before or after a commit.
type replicated struct {
	world   *world
	machine *state.Machine
	down    time.Duration
	// swallow commits the next command and loses the reply with the leader.
	swallow bool
	renewed time.Duration
	// applied is told each committed command; nil where nobody asks.
	applied func(state.Command, state.Result)
}

func newReplicated(w *world) *replicated {
	r := &replicated{world: w, machine: state.New()}
	r.watchLease()
	return r
}

func (r *replicated) up() bool { return r.down <= r.world.now() }

func (r *replicated) loseLeader() {
	r.down = r.world.now() + electTime
	// A new leader gives every lease its full time again.
	r.renewed = r.down
}

// watchLease expires the dispatcher's lease where it was not renewed.
func (r *replicated) watchLease() {
	l := r.machine.Lease(leaseName)
	if r.up() && l.Holder != "" && r.world.now()-r.renewed > leaseLife {
		r.machine.Apply(state.Command{Expire: &state.Expire{Name: leaseName, Epoch: l.Epoch}})
	}
	r.world.after(leaseTick, r.watchLease)
}

// propose commits a command for a process. A false result says that it may or
// may not be committed.
func (r *replicated) propose(p *process, c state.Command, done func(state.Result, bool)) {
	answered := false
	reply := func(result state.Result, ok bool) {
		if !answered {
			answered = true
			done(result, ok)
		}
	}
	p.do(replyWait, func() { reply(state.Result{}, false) })
	if !p.reachable() {
		return
	}
	r.world.after(hop+commitTime, func() {
		if !r.up() || p.cut > r.world.now() {
			return
		}
		result := r.machine.Apply(c)
		if r.applied != nil {
			r.applied(c, result)
		}
		if c.Acquire != nil && result.Status == state.OK {
			r.renewed = r.world.now()
		}
		if r.swallow {
			r.swallow = false
			r.loseLeader()
			return
		}
		if p.reachable() {
			p.do(hop, func() { reply(result, true) })
		}
	})
}

// insist proposes until it is answered.
func (r *replicated) insist(p *process, c state.Command, done func(state.Result)) {
	r.propose(p, c, func(result state.Result, ok bool) {
		if ok {
			done(result)
			return
		}
		p.do(retryPause, func() { r.insist(p, c, done) })
	})
}

// lookup reads a claim through the leader.
func (r *replicated) lookup(p *process, key string, done func(state.Claim, bool)) {
	r.insist(p, state.Command{Suspect: &state.Suspect{Pool: pool}}, func(state.Result) {
		done(r.machine.Claim(space, key))
	})
}
