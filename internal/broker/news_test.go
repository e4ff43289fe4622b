package broker

import (
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/core/roster"
	"github.com/verbenastep/verbenastep/core/routes"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// heard is a roster that the test sets.
type heard struct{ list []port.RosterEntry }

func (h *heard) RecordHeartbeat(roster.Entry) error { return nil }
func (h *heard) Leave(string) error                 { return nil }
func (h *heard) All() []port.RosterEntry            { return h.list }
func (h *heard) Changed() <-chan struct{}           { return nil }

func upstream(id string) port.RosterEntry {
	return port.RosterEntry{Entry: roster.Entry{ID: id, Pool: "p", Address: id, Slots: 2}}
}

// TestOnlyChangesAreTold keeps the bytes to an entry a matter of what changes.
func TestOnlyChangesAreTold(t *testing.T) {
	h := &heard{list: []port.RosterEntry{upstream("a"), upstream("b")}}
	x := &session{out: make(chan *rpc.BrokerReply, outboxSize), end: func() {}, told: true}
	s := &Service{core: broker.New(1), roster: h, told: map[string]*rpc.RosterEntry{}, toldAt: map[string]time.Time{}, sessions: map[string]*session{"e": x}}
	told := func() []string {
		s.tellNews(h.list)
		select {
		case r := <-x.out:
			out := []string{}
			for _, e := range r.Roster {
				out = append(out, e.Id)
			}
			return out
		default:
			return nil
		}
	}
	require.Equal(t, []string{"a", "b"}, told())
	h.list[0].Sequence, h.list[0].Age = 9, time.Second
	require.Nil(t, told(), "a heartbeat is no news")
	h.list[1].Leaving = true
	require.Equal(t, []string{"b"}, told())
	h.list = h.list[:1]
	require.Equal(t, []string{"b"}, told(), "one that is forgotten is gone")
	require.Nil(t, told())
}

// TestRosterIsToldInParts keeps the memory that a session takes small however
// large the roster is, and the parts few enough for its queue.
func TestRosterIsToldInParts(t *testing.T) {
	const upstreams = 10_000 // the target's
	x := &session{out: make(chan *rpc.BrokerReply, outboxSize), end: func() { require.Fail(t, "the session's queue is too short") }}
	s := &Service{core: broker.New(1), told: map[string]*rpc.RosterEntry{}, toldAt: map[string]time.Time{}, sessions: map[string]*session{"e": x}}
	list := []port.RosterEntry{}
	for i := range upstreams {
		list = append(list, upstream(fmt.Sprintf("i-%08x", i)))
	}
	s.tellNews(list)
	require.Empty(t, x.out, "news are for entries that have the roster")
	s.tellRoster(x)
	s.tellRoster(x)
	seen, first := map[string]bool{}, true
	for len(x.out) > 0 {
		r := <-x.out
		require.Equal(t, first, r.RosterSet)
		require.LessOrEqual(t, proto.Size(r), 64<<10)
		for _, e := range r.Roster {
			seen[e.Id] = true
		}
		first = false
	}
	require.Len(t, seen, upstreams)
}

// TestWholeRostersTakeTurns bounds what a daemon spends on entries that all come
// at once, as after a start of the whole fleet.
func TestWholeRostersTakeTurns(t *testing.T) {
	const upstreams, entries = 3000, 300
	s := &Service{core: broker.New(1), told: map[string]*rpc.RosterEntry{}, toldAt: map[string]time.Time{}, sessions: map[string]*session{}}
	list := []port.RosterEntry{}
	for i := range upstreams {
		list = append(list, upstream(fmt.Sprintf("i-%08x", i)))
	}
	s.tellNews(list)
	told := 0
	for range entries {
		x := &session{out: make(chan *rpc.BrokerReply, outboxSize), end: func() {}}
		s.tellRoster(x)
		if x.told {
			told++
		}
	}
	require.Equal(t, 1, told)
	x := &session{out: make(chan *rpc.BrokerReply, outboxSize), end: func() {}}
	require.Eventually(t, func() bool {
		s.tellRoster(x)
		return x.whole
	}, 10*upstreams*wholePause, time.Millisecond)
	known := &session{out: make(chan *rpc.BrokerReply, outboxSize), end: func() {}, since: time.Now()}
	s.tellRoster(known)
	require.True(t, known.told, "what has changed since needs no turn")
	require.False(t, known.whole)
}

// TestEntryThatIsSentToTheLeaderGetsNoRoster spares it on the way there, and
// gives it to one that stays.
func TestEntryThatIsSentToTheLeaderGetsNoRoster(t *testing.T) {
	h := &heard{list: []port.RosterEntry{upstream("a")}}
	s := newFollower(t, h, "leader")
	x := &session{out: make(chan *rpc.BrokerReply, outboxSize), end: func() {}}
	s.join(&rpc.BrokerAsk{Entry: "e"}, x)
	r := <-x.out
	require.Equal(t, "leader", r.Leader)
	require.False(t, r.RosterSet)
	s.take("e", x, &rpc.BrokerAsk{})
	require.True(t, (<-x.out).RosterSet)

	s = newFollower(t, h, "")
	x = &session{out: make(chan *rpc.BrokerReply, outboxSize), end: func() {}}
	s.join(&rpc.BrokerAsk{Entry: "e"}, x)
	require.True(t, (<-x.out).RosterSet, "nobody leads: the entry decides by itself")
}

// TestEntryFromALeaderIsToldWhatChangedSince spares the daemons most of the
// roster while entries look for a leader, and gives all of it once there is one.
func TestEntryFromALeaderIsToldWhatChangedSince(t *testing.T) {
	h := &heard{list: []port.RosterEntry{upstream("old"), upstream("left")}}
	s := newFollower(t, h, "")
	s.refresh(true)
	for id := range s.told {
		s.toldAt[id] = time.Now().Add(-time.Minute)
	}
	h.list[1].Gone, h.list[1].Leaving = true, true
	h.list = append(h.list, upstream("new"))
	s.refresh(true)
	join := func(age time.Duration) (*session, []string) {
		x := &session{out: make(chan *rpc.BrokerReply, outboxSize), end: func() {}}
		s.join(&rpc.BrokerAsk{Entry: "e", RosterAgeMs: uint32(age.Milliseconds())}, x)
		r := <-x.out
		ids := []string{}
		for _, e := range r.Roster {
			ids = append(ids, e.Id)
		}
		return x, ids
	}
	x, ids := join(3 * time.Second)
	require.ElementsMatch(t, []string{"left", "new"}, ids)
	_, ids = join(0)
	require.ElementsMatch(t, []string{"old", "new"}, ids, "it has none")
	s.nextWhole = time.Time{}
	_, ids = join(2 * rosterLife)
	require.ElementsMatch(t, []string{"old", "new"}, ids, "too old")
	s.leads = true
	s.nextWhole = time.Time{}
	s.tellRoster(x)
	r := <-x.out
	require.True(t, r.RosterSet)
	require.Len(t, r.Roster, 2)
}

// newFollower returns the service of a daemon that does not lead.
func newFollower(t *testing.T, h *heard, leader string) *Service {
	t.Helper()
	s := New(&settings.Settings{Routing: &settings.Routing{}}, zap.NewNop())
	meters, err := newMetrics(prometheus.NewRegistry())
	require.NoError(t, err)
	s.meters, s.roster, s.view, s.leader = meters, h, noTable{}, follows(leader)
	return s
}

type noTable struct{}

func (noTable) Routes() *routes.Index    { return nil }
func (noTable) Leader() port.Leader      { return port.Leader{} }
func (noTable) Changed() <-chan struct{} { return nil }

type follows string

func (f follows) Leadership() (leads bool, leader port.Leader) {
	return false, port.Leader{Address: string(f)}
}
