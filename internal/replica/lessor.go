package replica

import (
	"slices"
	"strings"
	"time"

	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/port"
)

// leaseExpiryTimeout is the time since the last renewal after which the leader
// expires a lease. It is a third longer than the time for which the holder may
// act on the lease.
const leaseExpiryTimeout = port.LeaseTTL * 4 / 3

// lessor tracks on the leader when leases were renewed. Renewal times are not
// replicated, so a new leader treats all leases as renewed when its term began.
type lessor struct {
	term      uint64
	startedAt time.Duration
	renewedAt map[string]time.Duration
	// pendingExpires and pendingAcquires count the uncommitted commands of this
	// term by lease. While an Expire is pending, renewals go through the log,
	// so that they are ordered after it. While an Acquire is pending, the lease
	// does not expire, because the Expire would follow the Acquire in the log
	// and end the lease that the holder was just granted.
	pendingExpires  map[string]int
	pendingAcquires map[string]int
}

// reset discards all state at the start of a term.
func (l *lessor) reset(now time.Duration, term uint64) {
	*l = lessor{term: term, startedAt: now, renewedAt: map[string]time.Duration{}, pendingExpires: map[string]int{}, pendingAcquires: map[string]int{}}
}

// renew renews the lease if its current holder asks. It returns false if the
// command has to go through the log.
func (l *lessor) renew(m *state.Machine, a *state.Acquire, now time.Duration) bool {
	if l.pendingExpires[a.Name] > 0 || a.Holder == "" || m.Lease(a.Name).Holder != a.Holder {
		return false
	}
	l.renewedAt[a.Name] = now
	return true
}

// addPending adjusts the counts of pending commands; proposals of other terms
// are ignored.
func (l *lessor) addPending(p *proposal, by int) {
	if p.term != l.term || l.renewedAt == nil {
		return
	}
	if c := p.command.Expire; c != nil {
		l.pendingExpires[c.Name] += by
	}
	if c := p.command.Acquire; c != nil {
		l.pendingAcquires[c.Name] += by
	}
}

// proposalStarted counts a proposal as pending.
func (l *lessor) proposalStarted(p *proposal) { l.addPending(p, 1) }

// proposalEnded removes a proposal from the count once it is applied or can no
// longer be.
func (l *lessor) proposalEnded(p *proposal) { l.addPending(p, -1) }

// recordRenewal stores the renewal time of an applied Acquire.
func (l *lessor) recordRenewal(c state.Command, r state.Result, now time.Duration) {
	if c.Acquire != nil && r.Status == state.OK && l.renewedAt != nil {
		l.renewedAt[c.Acquire.Name] = now
	}
}

// expiredLeases returns the leases not renewed for longer than the timeout,
// sorted by name.
func (l *lessor) expiredLeases(m *state.Machine, now time.Duration, timeout time.Duration) []state.Lease {
	out := []state.Lease{}
	for name, lease := range m.Leases() {
		last := max(l.startedAt, l.renewedAt[name])
		idle := l.pendingExpires[name] == 0 && l.pendingAcquires[name] == 0
		if lease.Holder != "" && idle && now-last > timeout {
			out = append(out, lease)
		}
	}
	slices.SortFunc(out, func(a, b state.Lease) int { return strings.Compare(a.Name, b.Name) })
	return out
}
