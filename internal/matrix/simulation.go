package matrix

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/verbenastep/verbenastep/core/promise"
)

const (
	// messageDelay is the one-way delay of a message between processes.
	messageDelay = time.Millisecond
	// replyTimeout bounds the wait for the reply to a call on the log.
	replyTimeout = 300 * time.Millisecond
	// retryDelay is the wait before a failed operation is retried.
	retryDelay = 100 * time.Millisecond
	// streamIdleTimeout ends a stream on which nothing arrives.
	streamIdleTimeout = 3 * time.Second
	// fetchIdleTimeout ends a fetch from another entry on which nothing arrives.
	fetchIdleTimeout = time.Second
	// restartDelay is how long a crashed process stays down.
	restartDelay = time.Second
	// poolName, regionName and workspaceName are the only pool, region and
	// workspace of a simulation.
	poolName      = "pool"
	regionName    = "region"
	workspaceName = "workspace"
	// burstTier is the tier of the requests that a burst adds; the subject
	// request has tier 0.
	burstTier = 1
)

// requestKind says what the subject request asks for.
type requestKind string

const (
	// streamRequest asks for a model's answer, streamed frame by frame.
	streamRequest requestKind = "stream"
	// serviceCall is a non-idempotent call of a plain service.
	serviceCall requestKind = "call"
)

// simulation is the state of one run: the processes, the log, the callers and
// the recorded events. It is used from one goroutine.
type simulation struct {
	clock
	requestKind  requestKind
	rng          *rand.Rand
	log          *replicatedLog
	daemons      []*daemon
	engines      []*engine
	events       []promise.Event
	subject      *caller
	otherCallers []*caller
	// onStep is called at each step of the subject request.
	onStep        func(step, *attempt)
	pendingDamage damagePlan
	// noDispatcher is set if a fault had no dispatcher to act on.
	noDispatcher bool
}

// damagePlan holds the damage to apply to the next frame and the next message.
type damagePlan struct {
	frame damage
	// linkMessage damages the next message between an entry, the daemon in link,
	// and its dispatcher.
	linkMessage damage
	link        *daemon
}

// damage is a way in which a message or a frame is altered or withheld.
type damage string

// Kinds of damage. Not every kind applies to both messages and frames.
const (
	damageNone       damage = ""
	damageLate       damage = "late"
	damageForeign    damage = "crossed"
	damageDuplicated damage = "doubled"
	damageTruncated  damage = "truncated"
	damageSilent     damage = "silent"
	damageLost       damage = "lost"
	damageReordered  damage = "reordered"
)

// consume returns the planned damage and clears it.
func consume(d *damage) damage {
	out := *d
	*d = damageNone
	return out
}

// sendOnLink sends a message between an entry and its dispatcher and applies
// the damage planned for that link.
func (sim *simulation) sendOnLink(entry *daemon, send func()) {
	kind := damageNone
	if entry == sim.pendingDamage.link {
		kind = consume(&sim.pendingDamage.linkMessage)
	}
	switch kind {
	case damageLost:
		// A lost message means a broken stream, so the entry opens a new session.
		entry.session.lastHeard = sim.now() - sessionTimeout - 1
	case damageDuplicated:
		send()
		send()
	case damageReordered:
		sim.after(5*messageDelay, send)
	default:
		send()
	}
}

func newSimulation(k requestKind, seed uint64) *simulation {
	sim := &simulation{requestKind: k, rng: rand.New(rand.NewPCG(seed, 1)), onStep: func(step, *attempt) {}}
	sim.startedAt = time.Now()
	sim.log = newReplicatedLog(sim)
	for i := range 2 {
		sim.engines = append(sim.engines, newEngine(sim, fmt.Sprintf("u%d", i+1)))
	}
	// The last daemon starts first and so acquires the dispatcher's lease. The
	// subject's entry is then a different daemon.
	for i := range 3 {
		sim.daemons = append(sim.daemons, newDaemon(sim, fmt.Sprintf("d%d", i+1)))
	}
	for i := len(sim.daemons) - 1; i >= 0; i-- {
		sim.daemons[i].start()
		sim.run(sim.now()+50*time.Millisecond, runToDeadline)
	}
	return sim
}

// runToDeadline is a condition for clock.run that never holds, so that the run
// ends at its time limit.
func runToDeadline() bool { return false }

func (sim *simulation) recordEvent(e promise.Event) {
	e.At = sim.now()
	sim.events = append(sim.events, e)
}

// daemonAt returns the daemon with an address, which equals its name, or nil.
func (sim *simulation) daemonAt(address string) *daemon {
	for _, d := range sim.daemons {
		if d.name == address {
			return d
		}
	}
	return nil
}

func (sim *simulation) engineAt(address string) *engine {
	for _, e := range sim.engines {
		if e.name == address {
			return e
		}
	}
	return nil
}

// allCallersEnded reports whether every caller has received its result.
func (sim *simulation) allCallersEnded() bool {
	for _, c := range append(sim.otherCallers, sim.subject) {
		if !c.hasEnded {
			return false
		}
	}
	return true
}
