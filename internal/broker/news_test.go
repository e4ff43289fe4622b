package broker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/core/roster"
	"github.com/verbenastep/verbenastep/internal/port"
)

// heard is a roster that the test sets.
type heard struct{ list []port.RosterEntry }

func (h *heard) Take(roster.Entry) error  { return nil }
func (h *heard) Leave(string) error       { return nil }
func (h *heard) All() []port.RosterEntry  { return h.list }
func (h *heard) Changed() <-chan struct{} { return nil }

func upstream(id string) port.RosterEntry {
	return port.RosterEntry{Entry: roster.Entry{ID: id, Pool: "p", Address: id, Slots: 2}}
}

// TestOnlyChangesAreTold keeps the bytes to an entry a matter of what changes.
func TestOnlyChangesAreTold(t *testing.T) {
	h := &heard{list: []port.RosterEntry{upstream("a"), upstream("b")}}
	x := &session{out: make(chan *rpc.BrokerReply, outboxSize), end: func() {}}
	s := &Service{core: broker.New(1), roster: h, told: map[string]*rpc.RosterEntry{}, sessions: map[string]*session{"e": x}}
	told := func() []string {
		s.tellNews()
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
