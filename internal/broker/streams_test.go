package broker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/broker"
)

// knowsStream reports whether a daemon remembers the version of a stream.
func (s *Service) knowsStream(stream uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.core.StreamVersion(s.now(), stream)
	return ok
}

// TestNextLeaderKnowsStreamsOfLostEntries guards against streams that nobody can resume since their
// entry and the leader were lost together: of entries of the leader, and of a follower.
func TestNextLeaderKnowsStreamsOfLostEntries(t *testing.T) {
	const stream, content = 77, 5
	for entryAt, name := range []string{"entry of the leader", "entry of a follower"} {
		t.Run(name, func(t *testing.T) {
			s, addresses, election := startControls(t, 3)
			election.elect(addresses[0])
			for _, follower := range s[1:] {
				require.Eventually(t, func() bool {
					follower.mu.Lock()
					defer follower.mu.Unlock()
					return follower.relay.up
				}, relayTestTimeout, relayTestPoll)
			}
			e := connect(t, addresses[entryAt], &rpc.BrokerAsk{Entry: "e", Relayable: true})
			e.eventually(func() bool { return e.last.Leads }, "the daemon grants or relays")
			o := testOffer(1)
			o.Stream, o.Fingerprint = stream, content
			e.send(&rpc.BrokerAsk{Complete: true, Offers: []*rpc.WorkOffer{o}})
			e.eventually(func() bool { return e.granted[1] }, "the stream begins")
			require.Eventually(t, func() bool { return s[1].knowsStream(stream) || s[2].knowsStream(stream) }, relayTestTimeout, relayTestPoll, "a follower remembers it")
			e.end()
			require.NoError(t, s[0].Stop(t.Context()))
			next := 2
			if s[2].knowsStream(stream) {
				next = 1
			}
			require.False(t, s[next].knowsStream(stream), "it has to be told")
			election.elect(addresses[next])
			require.Eventually(t, func() bool { return s[next].knowsStream(stream) }, relayTestTimeout, relayTestPoll)
		})
	}
}

// TestStreamsOutliveTheInterimBroker guards against streams that an interim broker granted and that
// nobody knows once a leader is found.
func TestStreamsOutliveTheInterimBroker(t *testing.T) {
	const stream = 77
	s, addresses, election := startControls(t, 2)
	e := connect(t, addresses[0], &rpc.BrokerAsk{Entry: "e", Relayable: true, Interim: true})
	e.eventually(func() bool { return e.last.Interim }, "an interim broker grants")
	o := testOffer(1)
	o.Stream = stream
	e.send(&rpc.BrokerAsk{Complete: true, Offers: []*rpc.WorkOffer{o}})
	e.eventually(func() bool { return e.granted[1] }, "the stream begins")
	e.end()
	election.elect(addresses[1])
	require.Eventually(t, func() bool { return s[1].knowsStream(stream) }, relayTestTimeout, relayTestPoll)
	require.True(t, s[0].knowsStream(stream))
}

// TestStreamsAreSentInParts guards against a message with all streams of a large deployment.
func TestStreamsAreSentInParts(t *testing.T) {
	s, _, _ := startControls(t, 1)
	waiting := s[0].core.Streams(0)
	for i := range maxReportedStreams + 1 {
		waiting = append(waiting, origin(uint64(i+1)))
	}
	notified := 0
	require.Len(t, s[0].takeStreams(&waiting, func() { notified++ }), maxReportedStreams)
	require.Equal(t, 1, notified)
	require.Len(t, s[0].takeStreams(&waiting, func() { notified++ }), 1)
	require.Equal(t, 1, notified)
	require.Empty(t, waiting)
}

func origin(stream uint64) broker.StreamOrigin {
	return broker.StreamOrigin{Stream: stream, SoftwareVersion: "v1", Until: time.Hour}
}
