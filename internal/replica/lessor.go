package replica

import (
	"slices"
	"strings"
	"time"

	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/port"
)

// expireAfter is when the leader ends a lease that was not renewed: a third
// more than its holder may count on.
const expireAfter = port.LeaseTTL * 4 / 3

// lessor knows, on the leader, when leases were renewed. A new leader does not
// know: it extends all of them.
type lessor struct {
	term    uint64
	since   time.Time
	renewed map[string]time.Time
	// expiring and acquiring count this term's commands on their way, by lease.
	// While a lease may be about to expire, renewals go through the log, behind
	// the Expire; while a renewal is in the log, the lease does not lapse, or
	// the Expire behind it would end what the holder was just granted.
	expiring  map[string]int
	acquiring map[string]int
}

func (l *lessor) reset(now time.Time, term uint64) {
	*l = lessor{term: term, since: now, renewed: map[string]time.Time{}, expiring: map[string]int{}, acquiring: map[string]int{}}
}

// renew extends the lease of its present holder; it returns false where the
// log must decide.
func (l *lessor) renew(m *state.Machine, a *state.Acquire, now time.Time) bool {
	if l.expiring[a.Name] > 0 || a.Holder == "" || m.Lease(a.Name).Holder != a.Holder {
		return false
	}
	l.renewed[a.Name] = now
	return true
}

// count adds to the commands on their way.
func (l *lessor) count(p *proposal, by int) {
	if p.term != l.term || l.renewed == nil {
		return
	}
	if c := p.command.Expire; c != nil {
		l.expiring[c.Name] += by
	}
	if c := p.command.Acquire; c != nil {
		l.acquiring[c.Name] += by
	}
}

// began notes a command that goes into the log, ended one that is applied or
// never will be.
func (l *lessor) began(p *proposal) { l.count(p, 1) }
func (l *lessor) ended(p *proposal) { l.count(p, -1) }

func (l *lessor) applied(c state.Command, r state.Result, now time.Time) {
	if c.Acquire != nil && r.Status == state.OK && l.renewed != nil {
		l.renewed[c.Acquire.Name] = now
	}
}

// lapsed lists the leases to end.
func (l *lessor) lapsed(m *state.Machine, now time.Time, after time.Duration) []state.Lease {
	out := []state.Lease{}
	for name, lease := range m.Leases() {
		last := l.since
		if at := l.renewed[name]; at.After(last) {
			last = at
		}
		idle := l.expiring[name] == 0 && l.acquiring[name] == 0
		if lease.Holder != "" && idle && now.Sub(last) > after {
			out = append(out, lease)
		}
	}
	slices.SortFunc(out, func(a, b state.Lease) int { return strings.Compare(a.Name, b.Name) })
	return out
}
