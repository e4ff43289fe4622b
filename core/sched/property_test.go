package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/verbenastep/verbenastep/core/limits"
)

// model checks a dispatcher against what it was told and what it decided.
type model struct {
	t       *rapid.T
	d       *Dispatcher
	now     time.Duration
	next    uint64
	waiting map[ID]Offer
	running map[ID]Grant
	slots   map[string]int
	ended   map[ID]bool
}

func (m *model) offer() {
	m.next++
	o := Offer{
		ID: ID{Entry: fmt.Sprintf("e%d", m.next%3), Number: m.next}, Workspace: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.t, "workspace"),
		Tier: rapid.IntRange(0, 2).Draw(m.t, "tier"), Weight: rapid.IntRange(1, 4).Draw(m.t, "weight"),
		PromptTokens: rapid.IntRange(0, 8000).Draw(m.t, "prompt"), MaxTokens: rapid.IntRange(0, 4000).Draw(m.t, "most"),
		Deadline: m.now + time.Duration(rapid.IntRange(1, 60).Draw(m.t, "patience"))*time.Second,
	}
	refusal, err := m.d.Offer(m.now, o)
	require.NoError(m.t, err)
	require.Nil(m.t, refusal)
	m.waiting[o.ID] = o
}

func (m *model) announce() {
	name := rapid.SampledFrom([]string{"u1", "u2", "u3"}).Draw(m.t, "upstream")
	m.slots[name] = rapid.IntRange(1, 6).Draw(m.t, "slots")
	a := Upstream{Name: name, Slots: m.slots[name], Lease: 20 * time.Second, Incarnation: 1}
	a.Load = Load{Running: rapid.IntRange(-5, 50).Draw(m.t, "reported"), Age: time.Duration(rapid.IntRange(-1, 9).Draw(m.t, "age")) * time.Second}
	require.NoError(m.t, m.d.Announce(m.now, a))
}

func (m *model) release() {
	for id, g := range m.running {
		r := Release{ID: id, Outcome: Outcome(rapid.IntRange(1, 4).Draw(m.t, "outcome")), Prefill: time.Second, Decode: 2 * time.Second, OutputTokens: rapid.IntRange(0, 4000).Draw(m.t, "output")}
		_, err := m.d.Release(m.now, r)
		require.NoError(m.t, err)
		_, err = m.d.Release(m.now, r)
		require.Error(m.t, err, "a second release of %s", g.Upstream)
		delete(m.running, id)
		return
	}
}

func (m *model) decide() {
	m.now += time.Duration(rapid.IntRange(0, 3000).Draw(m.t, "pause")) * time.Millisecond
	before := len(m.waiting)
	out := m.d.Decide(m.now)
	for _, g := range out.Grants {
		require.Contains(m.t, m.waiting, g.ID, "a grant of what does not wait")
		delete(m.waiting, g.ID)
		m.running[g.ID] = g
	}
	for _, r := range out.Refusals {
		require.Contains(m.t, m.waiting, r.ID)
		if r.Code == Overload {
			m.checkNoInversion(r)
		}
		delete(m.waiting, r.ID)
		m.ended[r.ID] = true
	}
	require.Equal(m.t, before, len(m.waiting)+len(out.Grants)+len(out.Refusals))
	m.checkSlots(out)
}

func (m *model) checkNoInversion(shed Refusal) {
	for id, o := range m.waiting {
		require.LessOrEqual(m.t, o.Tier, shed.Tier, "%v waits while %v is shed", id, shed.ID)
	}
	for id, g := range m.running {
		require.LessOrEqual(m.t, g.Tier, shed.Tier, "%v runs while %v is shed", id, shed.ID)
	}
}

func (m *model) checkSlots(out Decisions) {
	perUpstream := map[string]int{}
	for _, g := range m.running {
		perUpstream[g.Upstream]++
	}
	for _, g := range out.Grants {
		require.LessOrEqual(m.t, perUpstream[g.Upstream], m.slots[g.Upstream], "slots of %s", g.Upstream)
	}
	dump := m.d.Dump(m.now)
	require.Equal(m.t, len(m.waiting), dump.Queued)
	require.Equal(m.t, len(m.running), dump.Running)
	for _, u := range dump.Upstreams {
		require.Equal(m.t, perUpstream[u.Name], u.InFlight)
	}
}

func TestDispatcherKeepsItsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, d: New(Params{QueueLimit: 3}), waiting: map[ID]Offer{}, running: map[ID]Grant{}, slots: map[string]int{}, ended: map[ID]bool{}}
		m.announce()
		steps := rapid.SliceOfN(rapid.SampledFrom([]func(*model){(*model).offer, (*model).offer, (*model).announce, (*model).release, (*model).decide}), 1, 200).Draw(t, "steps")
		for _, step := range steps {
			step(m)
		}
	})
}

// TestDispatcherMoves kills the dispatcher at any point: grants on their way
// are lost, entries offer again, and no request runs twice.
func TestDispatcherMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, next := time.Duration(0), uint64(0)
		d := fresh(t, now)
		held := map[ID]Offer{}
		granted := map[ID]int{}
		for range rapid.IntRange(1, 40).Draw(t, "rounds") {
			now += time.Second
			for range rapid.IntRange(0, 5).Draw(t, "offers") {
				next++
				o := Offer{ID: ID{Entry: "e", Number: next}, Workspace: "w", Weight: 1, MaxTokens: 10, Deadline: now + time.Hour}
				held[o.ID] = o
				_, err := d.Offer(now, o)
				require.NoError(t, err)
			}
			received := rapid.Bool().Draw(t, "received")
			for _, g := range d.Decide(now).Grants {
				if !received {
					continue
				}
				require.Empty(t, held[g.ID].Running, "granted twice")
				granted[g.ID]++
				o := held[g.ID]
				o.Running = g.Upstream
				held[g.ID] = o
			}
			if received && !rapid.Bool().Draw(t, "moves") {
				continue
			}
			if rapid.Bool().Draw(t, "successor") {
				d = fresh(t, now)
			} else {
				d.LoseEntry(now, "e")
			}
			d.Resync(now, "e", offersOf(held))
		}
		for id, n := range granted {
			require.Equal(t, 1, n, "%v", id)
		}
		require.Equal(t, len(held), d.Dump(now).Queued+d.Dump(now).Running)
	})
}

func fresh(t require.TestingT, now time.Duration) *Dispatcher {
	d := New(Params{})
	require.NoError(t, d.Announce(now, Upstream{Name: "u", Slots: 3, Lease: time.Hour}))
	return d
}

func offersOf(held map[ID]Offer) []Offer {
	out := []Offer{}
	for _, o := range held {
		o.Admitted = true
		out = append(out, o)
	}
	return out
}

// TestConcurrencyLimitIsExact offers from many entries at once.
func TestConcurrencyLimitIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := fresh(t, 0)
		most := rapid.IntRange(1, 20).Draw(t, "limit")
		offers := rapid.IntRange(0, 60).Draw(t, "offers")
		refused := 0
		for i := range offers {
			refusal, err := d.Offer(0, Offer{ID: ID{Entry: fmt.Sprint(i % 9), Number: uint64(i)}, Workspace: "w", Weight: 1, MaxTokens: 9, Deadline: time.Hour, Limits: limits.Limits{Concurrency: int64(most)}})
			require.NoError(t, err)
			if refusal != nil {
				require.Equal(t, Limited, refusal.Code)
				refused++
			}
		}
		require.Equal(t, max(0, offers-most), refused)
	})
}

// TestStarvationIsBounded keeps one slot busy with a stream of short requests;
// a long one of the same workspace is granted within its aging bound.
func TestStarvationIsBounded(t *testing.T) {
	d := New(Params{})
	require.NoError(t, d.Announce(0, Upstream{Name: "u", Slots: 1, Lease: time.Hour}))
	file := Offer{ID: ID{Entry: "e", Number: 1}, Workspace: "w", Weight: 1, PromptTokens: 8000, MaxTokens: 4000, Deadline: time.Hour}
	_, err := d.Offer(0, file)
	require.NoError(t, err)
	bound := maxAging + 2*time.Second
	for now := time.Duration(0); now < bound; now += time.Second / 2 {
		_, err := d.Offer(now, Offer{ID: ID{Entry: "e", Number: 2 + uint64(now)}, Workspace: "w", Weight: 1, PromptTokens: 10, MaxTokens: 10, Deadline: time.Hour})
		require.NoError(t, err)
		for _, g := range d.Decide(now).Grants {
			if g.ID == file.ID {
				return
			}
			_, err := d.Release(now, Release{ID: g.ID, Outcome: Done, Decode: time.Second / 4, OutputTokens: 10})
			require.NoError(t, err)
		}
	}
	require.Fail(t, "the long request starved")
}
