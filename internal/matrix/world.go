package matrix

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/verbenastep/verbenastep/core/promise"
)

const (
	// hop is a message's time from process to process.
	hop = time.Millisecond
	// replyWait is how long a call on the log waits for its reply.
	replyWait = 300 * time.Millisecond
	// retryPause is the wait before something is tried again.
	retryPause = 100 * time.Millisecond
	// silence ends a stream that carries nothing.
	silence = 3 * time.Second
	// fetchSilence ends a fetch from another entry that carries nothing.
	fetchSilence = time.Second
	// restartAfter is how long a dead process stays down.
	restartAfter = time.Second
	// pool, region and space name the only ones.
	pool   = "pool"
	region = "region"
	space  = "workspace"
	// bulkTier is the tier of the requests beside the subject's.
	bulkTier = 1
)

// kind is what the subject request asks for.
type kind string

const (
	// stream is a model's answer, frame by frame.
	stream kind = "stream"
	// call is a plain service's call that may not be repeated.
	call kind = "call"
)

// world is one run.
type world struct {
	clock
	kind    kind
	rng     *rand.Rand
	log     *replicated
	daemons []*daemon
	engines []*engine
	events  []promise.Event
	subject *caller
	others  []*caller
	// hook is told each step of the subject's request.
	hook  func(step, *attempt)
	taint taint
	// missed says that a fault found no dispatcher to strike.
	missed bool
}

// taint is damage to come to the next message of a kind.
type taint struct {
	frame damage
	// message is for the next one between the entry link and the dispatcher.
	message damage
	link    *daemon
}

// damage is what becomes of a message or frame.
type damage string

// Kinds of damage; not all befall both messages and frames.
const (
	none      damage = ""
	late      damage = "late"
	crossed   damage = "crossed"
	doubled   damage = "doubled"
	truncated damage = "truncated"
	silent    damage = "silent"
	lost      damage = "lost"
	reordered damage = "reordered"
)

// take returns the damage, once.
func take(d *damage) damage {
	out := *d
	*d = none
	return out
}

// convey sends a message on the link between an entry and its dispatcher, as
// the next fault of messages has it.
func (w *world) convey(entry *daemon, send func()) {
	what := none
	if entry == w.taint.link {
		what = take(&w.taint.message)
	}
	switch what {
	case lost:
		// The stream that lost it is broken; the session begins anew.
		entry.session.heard = w.now() - sessionSilence - 1
	case doubled:
		send()
		send()
	case reordered:
		w.after(5*hop, send)
	default:
		send()
	}
}

func newWorld(k kind, seed uint64) *world {
	w := &world{kind: k, rng: rand.New(rand.NewPCG(seed, 1)), hook: func(step, *attempt) {}}
	w.began = time.Now()
	w.log = newReplicated(w)
	for i := range 2 {
		w.engines = append(w.engines, newEngine(w, fmt.Sprintf("u%d", i+1)))
	}
	// The last daemon starts first, so that it holds the dispatcher's lease and
	// the subject's entry is another one.
	for i := range 3 {
		w.daemons = append(w.daemons, newDaemon(w, fmt.Sprintf("d%d", i+1)))
	}
	for i := len(w.daemons) - 1; i >= 0; i-- {
		w.daemons[i].start()
		w.run(w.now()+50*time.Millisecond, never)
	}
	return w
}

func never() bool { return false }

func (w *world) record(e promise.Event) {
	e.At = w.now()
	w.events = append(w.events, e)
}

// daemonAt finds a daemon by its address, which is its name.
func (w *world) daemonAt(address string) *daemon {
	for _, d := range w.daemons {
		if d.name == address {
			return d
		}
	}
	return nil
}

func (w *world) engineAt(address string) *engine {
	for _, e := range w.engines {
		if e.name == address {
			return e
		}
	}
	return nil
}

// settled tells whether every caller has its end.
func (w *world) settled() bool {
	for _, c := range append(w.others, w.subject) {
		if !c.ended {
			return false
		}
	}
	return true
}
