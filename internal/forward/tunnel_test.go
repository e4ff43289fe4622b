package forward

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/internal/egress"
	"github.com/verbenastep/verbenastep/internal/freeport"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/link"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// fixedService is a service without a task.
type fixedService string

func (s fixedService) Name() string                              { return string(s) }
func (fixedService) Needs() []string                             { return nil }
func (fixedService) Start(context.Context, *kernel.Kernel) error { return nil }
func (fixedService) Stop(context.Context) error                  { return nil }
func (fixedService) Health() error                               { return nil }
func (fixedService) Dump() any                                   { return nil }

// tunnelMembers are two entries.
type tunnelMembers struct {
	fixedService
	members []port.Member
}

func (m tunnelMembers) Live() []port.Member { return slices.Clone(m.members) }

func (m tunnelMembers) Find(name string) (port.Member, bool) {
	for _, x := range m.members {
		if x.Name == name {
			return x, true
		}
	}
	return port.Member{}, false
}

// anyUpstream knows all addresses.
type anyUpstream struct{ fixedService }

func (anyUpstream) HasUpstream(string) bool             { return true }
func (anyUpstream) OtherUpstreams(string, int) []string { return nil }

type tunnelMetrics struct {
	fixedService
	*prometheus.Registry
}

func (m tunnelMetrics) Registerer() prometheus.Registerer { return m.Registry }
func (m tunnelMetrics) Gatherer() prometheus.Gatherer     { return m.Registry }

var errNoPath = errors.New("no path")

// useTunnels makes the entry reach its upstreams through another entry only. It returns once the
// entry knows that.
func (r *testEntry) useTunnels(upstreams ...*scriptedUpstream) {
	peers, err := freeport.Addresses(2)
	require.NoError(r.t, err)
	list := []port.Member{}
	for i, p := range peers {
		list = append(list, port.Member{Name: fmt.Sprint(i), Peers: p, Callers: "callers", DataCentre: "a"})
	}
	for i, p := range peers {
		set := &settings.Settings{Name: fmt.Sprint(i), Addresses: settings.Addresses{Peers: p}, DataCentre: "a"}
		k, l, e := kernel.New(), link.New(set, zap.NewNop()), egress.New(set, zap.NewNop())
		for _, s := range []kernel.Service{
			l, tunnelMembers{port.NameMembers, list}, anyUpstream{port.NameBrokerClient}, tunnelMetrics{port.NameMetrics, prometheus.NewRegistry()}, e,
		} {
			require.NoError(r.t, k.Register(s))
		}
		if i == 0 {
			e.SetDirect(func(context.Context, string) (net.Conn, error) { return nil, errNoPath })
			r.service.conns.egress = e
		}
		require.NoError(r.t, k.Start(context.Background()))
		l.Serve()
		r.t.Cleanup(func() { _ = k.Stop(context.Background()) })
	}
	for _, u := range upstreams {
		for !r.service.conns.egress.IsPathLost(u.address()) {
			c, err := r.service.conns.egress.Dial(context.Background(), u.address())
			require.NoError(r.t, err)
			require.NoError(r.t, c.Close())
		}
	}
}

// TestCutResponseOverTunnelIsNoAnswer guards against a 200 with an empty or short body of an
// upstream behind another entry that stopped anywhere in its response.
func TestCutResponseOverTunnelIsNoAnswer(t *testing.T) {
	t.Parallel()
	for kind, text := range wholeResponses {
		for how, end := range map[string]func(net.Conn){"closed": closeInOrder, "reset": reset} {
			t.Run(kind+"/"+how, func(t *testing.T) {
				t.Parallel()
				u := newCuttingUpstream(t, end)
				r := newTestEntry(t)
				r.useTunnels(u.scriptedUpstream)
				full := fmt.Sprintf(text, "attempt-1")
				for n := 0; n < len(full); n += 5 {
					u.setPart(full[:n])
					r.brokerClient.addresses = append(r.brokerClient.addresses, u.address())
					requireNoAnswer(t, r.call("once", "b"), full[:n])
					require.NotContains(t, r.brokerClient.outcomes(), broker.Completed)
				}
			})
		}
	}
}

// TestCopyOfRefusalOverTunnelIsNoRefusal guards against a request that runs twice, or whose caller
// is told that it did not run, for an earlier refusal that comes once more through another entry.
func TestCopyOfRefusalOverTunnelIsNoRefusal(t *testing.T) {
	t.Parallel()
	for name, f := range refusals() {
		for when, again := range map[string]time.Duration{"before the answer": 0, "while idle": copyTime} {
			for _, route := range []string{"once", "stream"} {
				t.Run(name+"/"+when+"/"+route, func(t *testing.T) {
					t.Parallel()
					u := newCopyingUpstream()
					alter := copyOnce
					if again > 0 {
						alter = copyNever
					}
					first, other := newUpstream(t, u.refuse(f, again), u.run(alter)), newUpstream(t, u.run(copyNever))
					r := newTestEntry(t, first, other, first, other)
					r.useTunnels(first)
					require.Equal(t, "own", r.call("once", "b", "Id", "attempt-0").body)
					time.Sleep(2 * copyTime)
					requireAnsweredOnce(t, r.call(route, "b"), u, route)
				})
			}
		}
	}
}

// TestBrokenStreamOverTunnelEndsAsBrokenOff guards against an error's text in a stream, and against
// one that looks complete, where the upstreams are reached through another entry.
func TestBrokenStreamOverTunnelEndsAsBrokenOff(t *testing.T) {
	t.Parallel()
	for name, resumption := range badResumptions {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			second := newUpstream(t, resumption)
			r := newTestEntry(t, newUpstream(t, streamEvents(1, 2, false)), second, second)
			r.useTunnels(second)
			out := r.call("resumable", "b")
			require.Equal(t, http.StatusOK, out.status)
			require.Equal(t, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n", out.body)
			require.True(t, out.incomplete, "the stream looks complete")
		})
	}
}

// TestTunnelIsUsedAgain guards against a new tunnel for each request, and against tests of copies on
// tunnels that use none again.
func TestTunnelIsUsedAgain(t *testing.T) {
	t.Parallel()
	used, lock := map[net.Conn]bool{}, sync.Mutex{}
	u := newUpstream(t, func(c net.Conn, r *http.Request, body string) {
		lock.Lock()
		used[c] = true
		lock.Unlock()
		respondWith(http.StatusOK, "", "a")(c, r, body)
	})
	r := newTestEntry(t, u, u, u)
	r.useTunnels(u)
	for range 3 {
		require.Equal(t, "a", r.call("once", "b").body)
	}
	lock.Lock()
	defer lock.Unlock()
	require.Len(t, used, 1)
}
