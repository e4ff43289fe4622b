package matrix

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/verbenastep/verbenastep/core/claims"
	"github.com/verbenastep/verbenastep/core/promise"
	"github.com/verbenastep/verbenastep/core/sched"
)

const (
	// sessionSilence ends a session that carries nothing.
	sessionSilence = 1200 * time.Millisecond
	heartbeat      = 300 * time.Millisecond
	// settleLeast and settleMost bound how long a new dispatcher waits for the
	// live entries to offer again what they run.
	settleLeast = 300 * time.Millisecond
	settleMost  = 1200 * time.Millisecond
	// promptTokens and maxTokens size every request.
	promptTokens = 64
	maxTokens    = 20
	// requestTime is how long a caller waits for the whole answer.
	requestTime = 20 * time.Second
)

// offered is a request between its offer and its release.
type offered struct {
	attempt  *attempt
	upstream string
}

// session is an entry's side of scheduling: it follows the lease from daemon to
// daemon and offers again what waits and runs.
type session struct {
	daemon *daemon
	with   *daemon
	epoch  uint64
	heard  time.Duration
	beat   time.Duration
	nextID uint64
	held   map[uint64]*offered
}

func newSession(d *daemon) session {
	return session{daemon: d, held: map[uint64]*offered{}}
}

func (s *session) entry() string { return fmt.Sprintf("%s#%d", s.daemon.name, s.daemon.run) }

// tick keeps a session with whoever holds the lease.
func (s *session) tick() {
	w := s.daemon.world
	l := w.log.machine.Lease(leaseName)
	if l.Holder != "" && w.log.up() && s.daemon.reachable() && (l.Epoch != s.epoch || w.now()-s.heard > sessionSilence) {
		s.with, s.epoch, s.heard = w.daemonAt(l.Holder), l.Epoch, w.now()
		s.hello()
		return
	}
	if s.with != nil && w.now()-s.beat >= heartbeat {
		s.beat = w.now()
		s.tell(func(h *host) { h.beat(s.entry()) })
	}
}

// tell carries a message to the dispatcher of the session's epoch.
func (s *session) tell(fn func(*host)) {
	if s.with == nil {
		return
	}
	to, epoch := s.with, s.epoch
	s.daemon.world.convey(s.daemon, func() {
		s.daemon.send(&to.process, func() {
			if to.host != nil && to.host.epoch == epoch {
				fn(to.host)
			}
		})
	})
}

// hello offers everything again.
func (s *session) hello() {
	offers := []sched.Offer{}
	for id, o := range s.held {
		offers = append(offers, s.form(id, o))
	}
	slices.SortFunc(offers, func(a, b sched.Offer) int { return cmp.Compare(a.ID.Number, b.ID.Number) })
	from, entry := s.daemon, s.entry()
	s.tell(func(h *host) { h.hello(from, entry, offers) })
}

func (s *session) form(id uint64, o *offered) sched.Offer {
	return sched.Offer{
		ID: sched.ID{Entry: s.entry(), Number: id}, Workspace: space, Tier: o.attempt.tier, Weight: 1,
		PromptTokens: promptTokens, MaxTokens: maxTokens, Deadline: o.attempt.deadline, Fingerprint: fingerprint(o.attempt.key), RunningOn: o.upstream,
	}
}

func fingerprint(key string) uint64 {
	sum := uint64(14695981039346656037)
	for _, b := range []byte(key) {
		sum = (sum ^ uint64(b)) * 1099511628211
	}
	return sum
}

// offer asks for an upstream.
func (s *session) offer(a *attempt) {
	s.nextID++
	a.offer = s.nextID
	o := &offered{attempt: a}
	s.held[a.offer] = o
	offer := s.form(a.offer, o)
	s.tell(func(h *host) { h.offer(offer) })
}

func (s *session) upstream(id uint64) string {
	if o, ok := s.held[id]; ok {
		return o.upstream
	}
	return ""
}

func (s *session) release(a *attempt, outcome sched.Outcome) {
	id, entry := a.offer, s.entry()
	delete(s.held, id)
	s.tell(func(h *host) {
		h.release(sched.Release{ID: sched.ID{Entry: entry, Number: id}, Outcome: outcome, OutputTokens: maxTokens})
	})
}

// granted takes a dispatcher's grant; one that nobody waits for is given back.
func (s *session) granted(epoch uint64, g sched.Grant) {
	if epoch != s.epoch {
		return
	}
	s.heard = s.daemon.world.now()
	o, ok := s.held[g.ID.Number]
	if !ok || o.upstream != "" {
		if !ok {
			s.tell(func(h *host) { h.release(sched.Release{ID: g.ID, Outcome: sched.NotSent}) })
		}
		return
	}
	o.upstream = g.Upstream
	o.attempt.step(claims.Event{Kind: claims.GrantReceived, Upstream: g.Upstream, Address: g.Address})
}

func (s *session) refused(epoch uint64, r sched.Refusal) {
	o, ok := s.held[r.ID.Number]
	if epoch != s.epoch || !ok || o.upstream != "" {
		return
	}
	delete(s.held, r.ID.Number)
	o.attempt.step(claims.Event{Kind: claims.Refused})
}

// host is the dispatcher at the holder of the lease.
type host struct {
	daemon  *daemon
	core    *scheduler
	epoch   uint64
	until   time.Duration
	began   time.Duration
	entries map[string]*daemon
	heard   map[string]time.Duration
}

func newHost(d *daemon, epoch uint64) *host {
	h := &host{daemon: d, core: newScheduler(), epoch: epoch, began: d.world.now(), entries: map[string]*daemon{}, heard: map[string]time.Duration{}}
	d.every(heartbeat, h.heartbeat)
	d.every(retryPause, h.decide)
	return h
}

func (h *host) current() bool { return h.daemon.host == h && h.daemon.holdsLease() }

// settled tells whether every live entry has offered again what it runs, or
// has had time to.
func (h *host) settled() bool {
	age := h.daemon.world.now() - h.began
	if age < settleLeast || age > settleMost {
		return age > settleMost
	}
	heard := map[*daemon]bool{}
	for _, d := range h.entries {
		heard[d] = true
	}
	return !slices.ContainsFunc(h.daemon.world.daemons, func(d *daemon) bool { return d.believedLive() && !heard[d] })
}

func (h *host) hello(from *daemon, entry string, offers []sched.Offer) {
	h.entries[entry] = from
	h.heard[entry] = h.daemon.world.now()
	refusals := h.core.resync(h.daemon.world.now(), entry, offers)
	for _, o := range offers {
		h.note(promise.Queue, o.ID, o.Tier, o.RunningOn)
	}
	h.refuse(refusals)
	h.decide()
}

func (h *host) beat(entry string) { h.heard[entry] = h.daemon.world.now() }

func (h *host) offer(o sched.Offer) {
	h.beat(o.ID.Entry)
	h.note(promise.Queue, o.ID, o.Tier, "")
	h.refuse(h.core.offer(h.daemon.world.now(), o))
	h.decide()
}

func (h *host) release(r sched.Release) {
	h.beat(r.ID.Entry)
	h.note(promise.Release, r.ID, 0, "")
	h.core.release(h.daemon.world.now(), r)
	h.decide()
}

func (h *host) note(k promise.Kind, id sched.ID, tier int, upstream string) {
	h.daemon.world.record(promise.Event{Kind: k, Daemon: h.daemon.name, Offer: fmt.Sprintf("%s/%d", id.Entry, id.Number), Pool: pool, Region: region, Tier: tier, Upstream: upstream, Epoch: h.epoch})
}

// heartbeat keeps the sessions and drops the silent ones.
func (h *host) heartbeat() {
	if !h.current() {
		return
	}
	now := h.daemon.world.now()
	for _, entry := range sortedKeys(h.entries) {
		to, epoch := h.entries[entry], h.epoch
		if now-h.heard[entry] > sessionSilence {
			delete(h.entries, entry)
			h.core.loseEntry(now, entry)
			continue
		}
		h.daemon.send(&to.process, func() {
			if to.session.epoch == epoch {
				to.session.heard = to.world.now()
			}
		})
	}
}

func sortedKeys[V any](m map[string]V) []string {
	out := []string{}
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// decide grants and refuses while the lease holds.
func (h *host) decide() {
	if !h.current() || !h.settled() {
		return
	}
	now := h.daemon.world.now()
	for _, e := range h.daemon.world.engines {
		if e.reachable() && !e.leaving {
			h.core.announce(now, e)
		}
	}
	decided := h.core.decide(now)
	for _, g := range decided.Grants {
		to := h.entries[g.ID.Entry]
		h.note(promise.Grant, g.ID, h.core.tiers[g.ID], g.Upstream)
		h.deliver(to, func(s *session, epoch uint64) { s.granted(epoch, g) })
	}
	h.refuse(decided.Refusals)
}

func (h *host) refuse(refusals []sched.Refusal) {
	for _, r := range refusals {
		to := h.entries[r.ID.Entry]
		h.note(promise.Shed, r.ID, h.core.tiers[r.ID], "")
		h.deliver(to, func(s *session, epoch uint64) { s.refused(epoch, r) })
	}
}

func (h *host) deliver(to *daemon, fn func(*session, uint64)) {
	if to == nil {
		return
	}
	epoch := h.epoch
	h.daemon.world.convey(to, func() {
		h.daemon.send(&to.process, func() { fn(&to.session, epoch) })
	})
}
