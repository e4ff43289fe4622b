package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/verbenastep/verbenastep/core/limits"
)

// dispatcherModel checks a dispatcher's decisions against the offers,
// announcements and releases that it was given.
type dispatcherModel struct {
	t          *rapid.T
	d          *Dispatcher
	now        time.Duration
	nextNumber uint64
	queued     map[ID]Offer
	running    map[ID]Grant
	slots      map[string]int
	ended      map[ID]bool
}

func (m *dispatcherModel) offer() {
	m.nextNumber++
	o := Offer{
		ID: ID{Entry: fmt.Sprintf("e%d", m.nextNumber%3), Number: m.nextNumber}, Workspace: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.t, "workspace"),
		Tier: rapid.IntRange(0, 2).Draw(m.t, "tier"), Weight: rapid.IntRange(1, 4).Draw(m.t, "weight"),
		PromptTokens: rapid.IntRange(0, 8000).Draw(m.t, "prompt"), MaxTokens: rapid.IntRange(0, 4000).Draw(m.t, "max tokens"),
		Deadline: m.now + time.Duration(rapid.IntRange(1, 60).Draw(m.t, "patience"))*time.Second,
	}
	refusal, err := m.d.Offer(m.now, o)
	require.NoError(m.t, err)
	require.Nil(m.t, refusal)
	m.queued[o.ID] = o
}

func (m *dispatcherModel) announce() {
	name := rapid.SampledFrom([]string{"u1", "u2", "u3"}).Draw(m.t, "upstream")
	m.slots[name] = rapid.IntRange(1, 6).Draw(m.t, "slots")
	a := Upstream{Name: name, Slots: m.slots[name], Lease: 20 * time.Second, Incarnation: 1}
	a.Load = Load{Running: rapid.IntRange(-5, 50).Draw(m.t, "reported"), Age: time.Duration(rapid.IntRange(-1, 9).Draw(m.t, "age")) * time.Second}
	require.NoError(m.t, m.d.Announce(m.now, a))
}

func (m *dispatcherModel) release() {
	for id, g := range m.running {
		r := Release{ID: id, Outcome: Outcome(rapid.IntRange(1, 4).Draw(m.t, "outcome")), Prefill: time.Second, Decode: 2 * time.Second, OutputTokens: rapid.IntRange(0, 4000).Draw(m.t, "output")}
		_, err := m.d.Release(m.now, r)
		require.NoError(m.t, err)
		_, err = m.d.Release(m.now, r)
		require.Error(m.t, err, "the second release of a grant on %s must fail", g.Upstream)
		delete(m.running, id)
		return
	}
}

func (m *dispatcherModel) decide() {
	m.now += time.Duration(rapid.IntRange(0, 3000).Draw(m.t, "pause")) * time.Millisecond
	before := len(m.queued)
	out := m.d.Decide(m.now)
	for _, g := range out.Grants {
		require.Contains(m.t, m.queued, g.ID, "granted a request that is not queued")
		delete(m.queued, g.ID)
		m.running[g.ID] = g
	}
	for _, r := range out.Refusals {
		require.Contains(m.t, m.queued, r.ID)
		if r.Code == Overloaded {
			m.checkNoInversion(r)
		}
		delete(m.queued, r.ID)
		m.ended[r.ID] = true
	}
	require.Equal(m.t, before, len(m.queued)+len(out.Grants)+len(out.Refusals))
	m.checkSlots(out)
}

func (m *dispatcherModel) checkNoInversion(shed Refusal) {
	for id, o := range m.queued {
		require.LessOrEqual(m.t, o.Tier, shed.Tier, "%v of a lower tier is queued while %v is shed", id, shed.ID)
	}
	for id, g := range m.running {
		require.LessOrEqual(m.t, g.Tier, shed.Tier, "%v of a lower tier runs while %v is shed", id, shed.ID)
	}
}

func (m *dispatcherModel) checkSlots(out Decisions) {
	perUpstream := map[string]int{}
	for _, g := range m.running {
		perUpstream[g.Upstream]++
	}
	for _, g := range out.Grants {
		require.LessOrEqual(m.t, perUpstream[g.Upstream], m.slots[g.Upstream], "grants on %s exceed its slots", g.Upstream)
	}
	dump := m.d.Dump(m.now)
	require.Equal(m.t, len(m.queued), dump.Queued)
	require.Equal(m.t, len(m.running), dump.Running)
	for _, u := range dump.Upstreams {
		require.Equal(m.t, perUpstream[u.Name], u.InFlight)
	}
}

func TestDispatcherKeepsItsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &dispatcherModel{t: t, d: New(Params{QueueLimit: 3}), queued: map[ID]Offer{}, running: map[ID]Grant{}, slots: map[string]int{}, ended: map[ID]bool{}}
		m.announce()
		steps := rapid.SliceOfN(rapid.SampledFrom([]func(*dispatcherModel){(*dispatcherModel).offer, (*dispatcherModel).offer, (*dispatcherModel).announce, (*dispatcherModel).release, (*dispatcherModel).decide}), 1, 200).Draw(t, "steps")
		for _, step := range steps {
			step(m)
		}
	})
}

// TestDispatcherMoves breaks sessions and replaces the dispatcher at arbitrary
// points: grants in transit are lost, the entry offers its requests again, and
// no request may be granted twice or get lost.
func TestDispatcherMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, next := time.Duration(0), uint64(0)
		d := newTestDispatcher(t, now)
		offers := map[ID]Offer{}
		granted := map[ID]int{}
		for range rapid.IntRange(1, 40).Draw(t, "rounds") {
			now += time.Second
			for range rapid.IntRange(0, 5).Draw(t, "offers") {
				next++
				o := Offer{ID: ID{Entry: "e", Number: next}, Workspace: "w", Weight: 1, MaxTokens: 10, Deadline: now + time.Hour}
				offers[o.ID] = o
				_, err := d.Offer(now, o)
				require.NoError(t, err)
			}
			received := rapid.Bool().Draw(t, "received")
			for _, g := range d.Decide(now).Grants {
				if !received {
					continue
				}
				require.Empty(t, offers[g.ID].RunningOn, "granted twice")
				granted[g.ID]++
				o := offers[g.ID]
				o.RunningOn = g.Upstream
				offers[g.ID] = o
			}
			if received && !rapid.Bool().Draw(t, "reconnects") {
				continue
			}
			if rapid.Bool().Draw(t, "successor") {
				d = newTestDispatcher(t, now)
			} else {
				d.LoseEntry(now, "e")
			}
			d.Resync(now, "e", pendingOffers(offers))
		}
		for id, n := range granted {
			require.Equal(t, 1, n, "%v", id)
		}
		require.Equal(t, len(offers), d.Dump(now).Queued+d.Dump(now).Running)
	})
}

func newTestDispatcher(t require.TestingT, now time.Duration) *Dispatcher {
	d := New(Params{})
	require.NoError(t, d.Announce(now, Upstream{Name: "u", Slots: 3, Lease: time.Hour}))
	return d
}

func pendingOffers(offers map[ID]Offer) []Offer {
	out := []Offer{}
	for _, o := range offers {
		o.Admitted = true
		out = append(out, o)
	}
	return out
}

// TestConcurrencyLimitIsExact offers requests of one workspace through several
// entries: exactly those above the limit are refused.
func TestConcurrencyLimitIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newTestDispatcher(t, 0)
		limit := rapid.IntRange(1, 20).Draw(t, "limit")
		offers := rapid.IntRange(0, 60).Draw(t, "offers")
		refused := 0
		for i := range offers {
			refusal, err := d.Offer(0, Offer{ID: ID{Entry: fmt.Sprint(i % 9), Number: uint64(i)}, Workspace: "w", Weight: 1, MaxTokens: 9, Deadline: time.Hour, Limits: limits.Limits{Concurrency: int64(limit)}})
			require.NoError(t, err)
			if refusal != nil {
				require.Equal(t, LimitExceeded, refusal.Code)
				refused++
			}
		}
		require.Equal(t, max(0, offers-limit), refused)
	})
}

// TestStarvationIsBounded guards against starvation of long requests: short
// requests of the same workspace arrive continuously at a single slot, and the
// long one must be granted within its aging bound.
func TestStarvationIsBounded(t *testing.T) {
	d := New(Params{})
	require.NoError(t, d.Announce(0, Upstream{Name: "u", Slots: 1, Lease: time.Hour}))
	longOffer := Offer{ID: ID{Entry: "e", Number: 1}, Workspace: "w", Weight: 1, PromptTokens: 8000, MaxTokens: 4000, Deadline: time.Hour}
	_, err := d.Offer(0, longOffer)
	require.NoError(t, err)
	bound := maxAging + 2*time.Second
	for now := time.Duration(0); now < bound; now += time.Second / 2 {
		_, err := d.Offer(now, Offer{ID: ID{Entry: "e", Number: 2 + uint64(now)}, Workspace: "w", Weight: 1, PromptTokens: 10, MaxTokens: 10, Deadline: time.Hour})
		require.NoError(t, err)
		for _, g := range d.Decide(now).Grants {
			if g.ID == longOffer.ID {
				return
			}
			_, err := d.Release(now, Release{ID: g.ID, Outcome: Completed, Decode: time.Second / 4, OutputTokens: 10})
			require.NoError(t, err)
		}
	}
	require.Fail(t, "the long request was not granted within its aging bound")
}
