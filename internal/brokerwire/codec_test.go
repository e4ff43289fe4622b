package brokerwire

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/core/roster"
	"github.com/verbenastep/verbenastep/internal/port"
)

// TestEndCarriesNotices guards against a broker that does not hear what an upstream said of
// further requests, or ascribes it to another process.
func TestEndCarriesNotices(t *testing.T) {
	end := broker.End{ID: broker.ID{Entry: "e", Number: 4}, Outcome: broker.UpstreamError, Leaving: true, RetryAfter: 1500 * time.Millisecond, Born: 1796337205000}
	require.Equal(t, end, DecodeEnd("e", EncodeEnd(end)))
}

// TestOfferAndEndCarryWhatCrashesAreHeldAgainst guards against a broker that can't tell
// which part of a prompt crashes upstreams.
func TestOfferAndEndCarryWhatCrashesAreHeldAgainst(t *testing.T) {
	offer := DecodeOffer(0, "e", EncodeOffer(0, broker.Offer{Fingerprint: 7, SharedParts: []uint64{8, 9}}))
	require.Equal(t, uint64(7), offer.Fingerprint)
	require.Equal(t, []uint64{8, 9}, offer.SharedParts)
	end := broker.End{ID: broker.ID{Entry: "e", Number: 4}, Outcome: broker.ConnectionLost, AnswerBegun: true}
	require.Equal(t, end, DecodeEnd("e", EncodeEnd(end)))
}

// TestGrantCarriesStartTime guards against an entry that takes a restarted upstream for the
// process that said it leaves.
func TestGrantCarriesStartTime(t *testing.T) {
	grant := broker.Grant{ID: broker.ID{Entry: "e", Number: 4}, Upstream: "u", Address: "a", Born: 1796337205000}
	require.Equal(t, grant, DecodeGrant("e", EncodeGrant(grant)))
}

// TestUpstreamCarriesStartTime guards against the same in the broker and in the local broker
// of an entry.
func TestUpstreamCarriesStartTime(t *testing.T) {
	entry, _ := DecodeUpstream(EncodeUpstream(port.RosterEntry{Entry: roster.Entry{ID: "u", Born: 1796337205000}}, broker.Estimates{}))
	require.Equal(t, int64(1796337205000), entry.Born)
	require.Equal(t, int64(1796337205000), Upstreams([]port.RosterEntry{entry}, nil)[0].Born)
}

// TestSlowStartIsSent guards against a new broker that fills an upstream which the last one opened
// slowly.
func TestSlowStartIsSent(t *testing.T) {
	_, learned := DecodeUpstream(EncodeUpstream(port.RosterEntry{Entry: roster.Entry{ID: "u"}}, broker.Estimates{Window: 3}))
	require.Equal(t, 3, learned.Window)
}

// TestOfferCarriesWhenTheCallerGivesUp guards against a broker that refuses requests whose
// callers would wait, and against one that takes a missing time for the present.
func TestOfferCarriesWhenTheCallerGivesUp(t *testing.T) {
	sent := EncodeOffer(time.Second, broker.Offer{AbandonAt: 4 * time.Second})
	require.Equal(t, 8*time.Second, DecodeOffer(5*time.Second, "e", sent).AbandonAt)
	sent.AbandonMs = 0
	require.Zero(t, DecodeOffer(5*time.Second, "e", sent).AbandonAt)
}
