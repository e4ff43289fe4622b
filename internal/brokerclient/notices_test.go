package brokerclient

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/internal/brokerwire"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// noticeClient is a client whose control daemon has sent one upstream.
type noticeClient struct {
	*Service
	t *testing.T
}

func newNoticeClient(t *testing.T) noticeClient {
	t.Helper()
	s := New(&settings.Settings{Routing: &settings.Routing{}}, zap.NewNop(), port.Holder{Name: "e"})
	s.view = &view{changed: make(chan struct{})}
	c := noticeClient{s, t}
	c.receiveUpstream(5)
	return c
}

// receiveUpstream receives the upstream with the start time of its process.
func (c noticeClient) receiveUpstream(born int64) {
	c.t.Helper()
	require.NoError(c.t, c.handle("a", &rpc.BrokerReply{RosterSet: true, Roster: []*rpc.RosterEntry{{Id: "u", Pool: "p", Address: "a", Slots: 6, Born: born}}}, false))
}

// offerRequest offers a request that may wait for a minute.
func (c noticeClient) offerRequest() *acquisition {
	at := time.Now().Add(time.Minute)
	return c.offer(port.BrokerOffer{Offer: broker.Offer{Pool: "p"}, LatencyTargetAt: at, DeadlineAt: at})
}

// localGrants runs a round of the local broker and returns how many requests it grants.
func (c noticeClient) localGrants() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.local.Decide(c.now())
	for _, g := range d.Grants {
		c.settleGrant(g, byEntry)
	}
	return len(d.Grants)
}

// TestLocalBrokerHearsThatUpstreamLeaves guards against an entry without a broker that goes
// on sending requests to an upstream which said that it leaves, and against one that leaves
// out its next process.
func TestLocalBrokerHearsThatUpstreamLeaves(t *testing.T) {
	c := newNoticeClient(t)
	a := c.offerRequest()
	require.Equal(t, 1, c.localGrants())
	require.Equal(t, int64(5), a.grant.Born)
	c.end(a, broker.End{Outcome: broker.Completed, TimeToFirstEvent: time.Millisecond, Leaving: true, Born: 5})
	c.offerRequest()
	require.Zero(t, c.localGrants())
	c.receiveUpstream(6)
	require.Equal(t, 1, c.localGrants())
}

// TestNoticeOutlivesBroker guards against the same for a request that the broker granted
// before it was lost.
func TestNoticeOutlivesBroker(t *testing.T) {
	c := newNoticeClient(t)
	require.NoError(t, c.handle("a", &rpc.BrokerReply{Leads: true}, false))
	a := c.offerRequest()
	grant := brokerwire.EncodeGrant(broker.Grant{ID: a.offer.ID, Upstream: "u", Address: "a", Born: 5})
	require.NoError(t, c.handle("a", &rpc.BrokerReply{Leads: true, Grants: []*rpc.WorkGrant{grant}}, false))
	c.end(a, broker.End{Outcome: broker.UpstreamError, RetryAfter: time.Minute, Born: 5})
	require.Equal(t, uint32(60_000), c.pending.Ends[0].RetryAfterMs)
	c.detach("a", errBrokerTimeout)
	c.offerRequest()
	require.Zero(t, c.localGrants())
}

// TestReturnedGrantIsNotCountedAsUse guards against a workspace that is charged twice for a
// request: the entry without a broker granted it an upstream that takes none, and then another
// one.
func TestReturnedGrantIsNotCountedAsUse(t *testing.T) {
	c := newNoticeClient(t)
	at := time.Now().Add(time.Minute)
	offer := port.BrokerOffer{Offer: broker.Offer{Pool: "p", Workspace: "w", QuotaCharge: 40}, LatencyTargetAt: at, DeadlineAt: at}
	returned := c.offer(offer)
	require.Equal(t, 1, c.localGrants())
	c.end(returned, broker.End{Outcome: broker.NotSent, Leaving: true, Born: 5})
	require.Empty(t, c.localUse)
	c.receiveUpstream(6)
	sent := c.offer(offer)
	require.Equal(t, 1, c.localGrants())
	c.end(sent, broker.End{Outcome: broker.Completed, TimeToFirstEvent: time.Millisecond})
	require.Equal(t, map[string]int64{"w": 40}, c.localUse)
}

// TestReturnedGrantOfBrokerKeepsLocalUse guards against tokens that are not reported to the
// next broker, since they are taken for those of a grant that the broker itself refunds.
func TestReturnedGrantOfBrokerKeepsLocalUse(t *testing.T) {
	c := newNoticeClient(t)
	c.localUse["w"] = 30
	at := time.Now().Add(time.Minute)
	a := c.offer(port.BrokerOffer{Offer: broker.Offer{Pool: "p", Workspace: "w", QuotaCharge: 40}, LatencyTargetAt: at, DeadlineAt: at})
	c.mu.Lock()
	c.settleGrant(broker.Grant{ID: a.offer.ID, Upstream: "u", Address: "a", Born: 5}, byBroker)
	c.mu.Unlock()
	c.end(a, broker.End{Outcome: broker.NotSent, Leaving: true, Born: 5})
	require.Equal(t, map[string]int64{"w": 30}, c.localUse)
}
