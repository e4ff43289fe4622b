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
	// sessionTimeout ends a session on which nothing arrives.
	sessionTimeout    = 1200 * time.Millisecond
	heartbeatInterval = 300 * time.Millisecond
	// minSettleTime and maxSettleTime bound how long a new dispatcher waits for
	// the live entries to resend their offers before it decides.
	minSettleTime = 300 * time.Millisecond
	maxSettleTime = 1200 * time.Millisecond
	// promptTokens and maxTokens are the sizes of every request.
	promptTokens = 64
	maxTokens    = 20
	// requestTimeout is how long a caller waits for the whole answer.
	requestTimeout = 20 * time.Second
)

// pendingOffer is a request between its offer and its release; upstream is
// empty until a grant arrives.
type pendingOffer struct {
	attempt  *attempt
	upstream string
}

// session is the entry's side of scheduling. It follows the dispatcher's lease
// from daemon to daemon and resends the offers of waiting and running requests
// to each new holder.
type session struct {
	daemon        *daemon
	dispatcher    *daemon
	epoch         uint64
	lastHeard     time.Duration
	lastHeartbeat time.Duration
	nextID        uint64
	pending       map[uint64]*pendingOffer
}

func newSession(d *daemon) session {
	return session{daemon: d, pending: map[uint64]*pendingOffer{}}
}

// entryID identifies the entry to dispatchers; it changes when the daemon
// restarts.
func (s *session) entryID() string { return fmt.Sprintf("%s#%d", s.daemon.name, s.daemon.generation) }

// maintain opens a session with the lease holder, or sends a heartbeat on the
// current one.
func (s *session) maintain() {
	sim := s.daemon.sim
	l := sim.log.machine.Lease(leaseName)
	if l.Holder != "" && sim.log.hasLeader() && s.daemon.isReachable() && (l.Epoch != s.epoch || sim.now()-s.lastHeard > sessionTimeout) {
		s.dispatcher, s.epoch, s.lastHeard = sim.daemonAt(l.Holder), l.Epoch, sim.now()
		s.resync()
		return
	}
	if s.dispatcher != nil && sim.now()-s.lastHeartbeat >= heartbeatInterval {
		s.lastHeartbeat = sim.now()
		s.sendToHost(func(h *dispatchHost) { h.recordHeartbeat(s.entryID()) })
	}
}

// sendToHost sends a message to the dispatcher of the session's epoch.
func (s *session) sendToHost(fn func(*dispatchHost)) {
	if s.dispatcher == nil {
		return
	}
	to, epoch := s.dispatcher, s.epoch
	s.daemon.sim.sendOnLink(s.daemon, func() {
		s.daemon.send(&to.process, func() {
			if to.host != nil && to.host.epoch == epoch {
				fn(to.host)
			}
		})
	})
}

// resync sends all pending offers to the dispatcher.
func (s *session) resync() {
	offers := []sched.Offer{}
	for id, o := range s.pending {
		offers = append(offers, s.buildOffer(id, o))
	}
	slices.SortFunc(offers, func(a, b sched.Offer) int { return cmp.Compare(a.ID.Number, b.ID.Number) })
	from, entry := s.daemon, s.entryID()
	s.sendToHost(func(h *dispatchHost) { h.resync(from, entry, offers) })
}

func (s *session) buildOffer(id uint64, o *pendingOffer) sched.Offer {
	return sched.Offer{
		ID: sched.ID{Entry: s.entryID(), Number: id}, Workspace: workspaceName, Tier: o.attempt.tier, Weight: 1,
		PromptTokens: promptTokens, MaxTokens: maxTokens, Deadline: o.attempt.deadline, Fingerprint: fingerprint(o.attempt.key), RunningOn: o.upstream,
	}
}

// fingerprint returns the 64-bit FNV-1a hash of a key.
func fingerprint(key string) uint64 {
	sum := uint64(14695981039346656037)
	for _, b := range []byte(key) {
		sum = (sum ^ uint64(b)) * 1099511628211
	}
	return sum
}

// offer requests an upstream for an attempt.
func (s *session) offer(a *attempt) {
	s.nextID++
	a.offerNumber = s.nextID
	o := &pendingOffer{attempt: a}
	s.pending[a.offerNumber] = o
	offer := s.buildOffer(a.offerNumber, o)
	s.sendToHost(func(h *dispatchHost) { h.offer(offer) })
}

func (s *session) upstream(id uint64) string {
	if o, ok := s.pending[id]; ok {
		return o.upstream
	}
	return ""
}

func (s *session) release(a *attempt, outcome sched.Outcome) {
	id, entry := a.offerNumber, s.entryID()
	delete(s.pending, id)
	s.sendToHost(func(h *dispatchHost) {
		h.release(sched.Release{ID: sched.ID{Entry: entry, Number: id}, Outcome: outcome, OutputTokens: maxTokens})
	})
}

// handleGrant passes a grant to its attempt. A grant for an unknown offer is
// released unused.
func (s *session) handleGrant(epoch uint64, g sched.Grant) {
	if epoch != s.epoch {
		return
	}
	s.lastHeard = s.daemon.sim.now()
	o, ok := s.pending[g.ID.Number]
	if !ok || o.upstream != "" {
		if !ok {
			s.sendToHost(func(h *dispatchHost) { h.release(sched.Release{ID: g.ID, Outcome: sched.NotSent}) })
		}
		return
	}
	o.upstream = g.Upstream
	o.attempt.step(claims.Event{Kind: claims.GrantReceived, Upstream: g.Upstream, Address: g.Address})
}

func (s *session) handleRefusal(epoch uint64, r sched.Refusal) {
	o, ok := s.pending[r.ID.Number]
	if epoch != s.epoch || !ok || o.upstream != "" {
		return
	}
	delete(s.pending, r.ID.Number)
	o.attempt.step(claims.Event{Kind: claims.Refused})
}

// dispatchHost runs the dispatcher at the lease holder.
type dispatchHost struct {
	daemon          *daemon
	scheduler       *scheduler
	epoch           uint64
	leaseValidUntil time.Duration
	startedAt       time.Duration
	entries         map[string]*daemon
	lastHeard       map[string]time.Duration
}

func newDispatchHost(d *daemon, epoch uint64) *dispatchHost {
	h := &dispatchHost{daemon: d, scheduler: newScheduler(), epoch: epoch, startedAt: d.sim.now(), entries: map[string]*daemon{}, lastHeard: map[string]time.Duration{}}
	d.every(heartbeatInterval, h.maintainSessions)
	d.every(retryDelay, h.decide)
	return h
}

func (h *dispatchHost) isCurrent() bool { return h.daemon.host == h && h.daemon.holdsLease() }

// isSettled reports whether every live entry has resent its offers, or
// maxSettleTime has passed.
func (h *dispatchHost) isSettled() bool {
	age := h.daemon.sim.now() - h.startedAt
	if age < minSettleTime || age > maxSettleTime {
		return age > maxSettleTime
	}
	heard := map[*daemon]bool{}
	for _, d := range h.entries {
		heard[d] = true
	}
	return !slices.ContainsFunc(h.daemon.sim.daemons, func(d *daemon) bool { return d.isCountedLive() && !heard[d] })
}

func (h *dispatchHost) resync(from *daemon, entry string, offers []sched.Offer) {
	h.entries[entry] = from
	h.lastHeard[entry] = h.daemon.sim.now()
	refusals := h.scheduler.resync(h.daemon.sim.now(), entry, offers)
	for _, o := range offers {
		h.recordEvent(promise.Queue, o.ID, o.Tier, o.RunningOn)
	}
	h.sendRefusals(refusals)
	h.decide()
}

func (h *dispatchHost) recordHeartbeat(entry string) { h.lastHeard[entry] = h.daemon.sim.now() }

func (h *dispatchHost) offer(o sched.Offer) {
	h.recordHeartbeat(o.ID.Entry)
	h.recordEvent(promise.Queue, o.ID, o.Tier, "")
	h.sendRefusals(h.scheduler.offer(h.daemon.sim.now(), o))
	h.decide()
}

func (h *dispatchHost) release(r sched.Release) {
	h.recordHeartbeat(r.ID.Entry)
	h.recordEvent(promise.Release, r.ID, 0, "")
	h.scheduler.release(h.daemon.sim.now(), r)
	h.decide()
}

func (h *dispatchHost) recordEvent(k promise.Kind, id sched.ID, tier int, upstream string) {
	h.daemon.sim.recordEvent(promise.Event{Kind: k, Daemon: h.daemon.name, Offer: fmt.Sprintf("%s/%d", id.Entry, id.Number), Pool: poolName, Region: regionName, Tier: tier, Upstream: upstream, Epoch: h.epoch})
}

// maintainSessions sends heartbeats to the entries and drops those that have
// been silent for longer than sessionTimeout.
func (h *dispatchHost) maintainSessions() {
	if !h.isCurrent() {
		return
	}
	now := h.daemon.sim.now()
	for _, entry := range sortedKeys(h.entries) {
		to, epoch := h.entries[entry], h.epoch
		if now-h.lastHeard[entry] > sessionTimeout {
			delete(h.entries, entry)
			h.scheduler.loseEntry(now, entry)
			continue
		}
		h.daemon.send(&to.process, func() {
			if to.session.epoch == epoch {
				to.session.lastHeard = to.sim.now()
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

// decide sends the dispatcher's grants and refusals while the lease is valid.
func (h *dispatchHost) decide() {
	if !h.isCurrent() || !h.isSettled() {
		return
	}
	now := h.daemon.sim.now()
	for _, e := range h.daemon.sim.engines {
		if e.isReachable() && !e.isLeaving {
			h.scheduler.announce(now, e)
		}
	}
	decided := h.scheduler.decide(now)
	for _, g := range decided.Grants {
		to := h.entries[g.ID.Entry]
		h.recordEvent(promise.Grant, g.ID, h.scheduler.tiers[g.ID], g.Upstream)
		h.deliver(to, func(s *session, epoch uint64) { s.handleGrant(epoch, g) })
	}
	h.sendRefusals(decided.Refusals)
}

func (h *dispatchHost) sendRefusals(refusals []sched.Refusal) {
	for _, r := range refusals {
		to := h.entries[r.ID.Entry]
		h.recordEvent(promise.Shed, r.ID, h.scheduler.tiers[r.ID], "")
		h.deliver(to, func(s *session, epoch uint64) { s.handleRefusal(epoch, r) })
	}
}

func (h *dispatchHost) deliver(to *daemon, fn func(*session, uint64)) {
	if to == nil {
		return
	}
	epoch := h.epoch
	h.daemon.sim.sendOnLink(to, func() {
		h.daemon.send(&to.process, func() { fn(&to.session, epoch) })
	})
}
