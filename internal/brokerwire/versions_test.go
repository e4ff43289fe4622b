package brokerwire

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/core/roster"
	"github.com/verbenastep/verbenastep/internal/port"
)

// TestSoftwareVersionIsSent guards against entries and a broker that do not know the software
// version of an upstream.
func TestSoftwareVersionIsSent(t *testing.T) {
	e := port.RosterEntry{Entry: roster.Entry{ID: "a", SoftwareVersion: "v1.2"}}
	decoded, _ := DecodeUpstream(EncodeUpstream(e, broker.Estimates{}))
	require.Equal(t, "v1.2", decoded.SoftwareVersion)
	require.Equal(t, "v1.2", Upstreams([]port.RosterEntry{decoded}, nil)[0].SoftwareVersion)
	require.Equal(t, "v1.2", DecodeGrant("entry", EncodeGrant(broker.Grant{SoftwareVersion: "v1.2"})).SoftwareVersion)
}

// TestStreamVersionsAreSent guards against a broker that does not know which stream a request
// begins or resumes, and which software version it must run at.
func TestStreamVersionsAreSent(t *testing.T) {
	offer := broker.Offer{ID: broker.ID{Entry: "e", Number: 4}, Stream: 1 << 63, Resumes: 78, SoftwareVersion: "v1.2", VersionBound: true}
	got := DecodeOffer(0, "e", EncodeOffer(0, offer))
	require.Equal(t, []any{offer.Stream, offer.Resumes, "v1.2", true}, []any{got.Stream, got.Resumes, got.SoftwareVersion, got.VersionBound})
	streams := []broker.StreamOrigin{{Stream: 77, SoftwareVersion: "v2", Until: 9 * time.Second}}
	require.Equal(t, []broker.StreamOrigin{{Stream: 77, SoftwareVersion: "v2", Until: 13 * time.Second}}, DecodeStreams(5*time.Second, EncodeStreams(time.Second, streams)))
}

// TestVersionsOfGoneUpstreamsAreKept guards against a broker that resumes a stream of unknown
// version at the only version left, though another one has just gone.
func TestVersionsOfGoneUpstreamsAreKept(t *testing.T) {
	list := []port.RosterEntry{
		{Entry: roster.Entry{ID: "a", SoftwareVersion: "v1", Gone: true}, Age: goneVersionAge / 2},
		{Entry: roster.Entry{ID: "b", SoftwareVersion: "v0", Gone: true}, Age: 2 * goneVersionAge},
	}
	got := Upstreams(list, nil)
	require.Len(t, got, 1)
	require.True(t, got[0].Gone)
	require.Equal(t, "v1", got[0].SoftwareVersion)
}
