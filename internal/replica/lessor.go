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
	since   time.Time
	renewed map[string]time.Time
	// expiring counts Expire commands on their way by lease: meanwhile
	// renewals go through the log, behind them.
	expiring map[string]int
}

func (l *lessor) reset(now time.Time) {
	*l = lessor{since: now, renewed: map[string]time.Time{}, expiring: map[string]int{}}
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

func (l *lessor) began(c state.Command) {
	if c.Expire != nil && l.expiring != nil {
		l.expiring[c.Expire.Name]++
	}
}

func (l *lessor) ended(c state.Command) {
	if c.Expire != nil && l.expiring[c.Expire.Name] > 0 {
		l.expiring[c.Expire.Name]--
	}
}

func (l *lessor) applied(c state.Command, r state.Result, now time.Time) {
	l.ended(c)
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
		if lease.Holder != "" && l.expiring[name] == 0 && now.Sub(last) > after {
			out = append(out, lease)
		}
	}
	slices.SortFunc(out, func(a, b state.Lease) int { return strings.Compare(a.Name, b.Name) })
	return out
}
