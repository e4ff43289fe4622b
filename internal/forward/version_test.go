package forward

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/broker"
)

// offersOf plays a request at upstreams that are granted in turn, and returns its offers.
func offersOf(t *testing.T, versions []string, route string, upstreams []*scriptedUpstream, headers ...string) []broker.Offer {
	t.Helper()
	r := newTestEntry(t)
	b := &scriptedBroker{versions: versions, acquire: func(_ context.Context, n int) (string, error) {
		if n > len(upstreams) {
			return "", overloaded()
		}
		return upstreams[n-1].address(), nil
	}}
	r.service.brokerClient = b
	r.call(route, "b", headers...)
	b.mu.Lock()
	defer b.mu.Unlock()
	out := []broker.Offer{}
	for _, o := range b.offers {
		out = append(out, o.Offer)
	}
	return out
}

// TestStreamGoesOnAtItsSoftwareVersion guards against a response that holds events of two
// software versions, after a break or a silence of the first upstream.
func TestStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	t.Parallel()
	for name, first := range map[string]script{
		"broken":                   streamEvents(1, 3, false),
		"silent":                   streamWithSilence(2, 5, streamSilence),
		"silent before the stream": streamWithSilence(0, 5, responseSilence),
	} {
		offers := offersOf(t, []string{"v1"}, "resumable", []*scriptedUpstream{newUpstream(t, first)})
		require.Greater(t, len(offers), 1, name)
		require.False(t, offers[0].VersionBound, name)
		for _, o := range offers[1:] {
			require.True(t, o.VersionBound, name)
			require.Equal(t, "v1", o.SoftwareVersion, name)
			if name == "silent before the stream" {
				require.Zero(t, o.Resumes, "the stream has not begun")
			} else {
				require.Equal(t, offers[0].Stream, o.Resumes, name)
			}
		}
	}
}

// TestStreamThatHasNotBegunMayChangeVersion guards against a request that is kept to the
// version of an upstream that brought nothing.
func TestStreamThatHasNotBegunMayChangeVersion(t *testing.T) {
	t.Parallel()
	offers := offersOf(t, []string{"v1"}, "resumable", []*scriptedUpstream{newUpstream(t, closeConnection)})
	require.Len(t, offers, 2)
	require.False(t, offers[1].VersionBound)
}

// TestOffersNameTheStream guards against a stream that can't be recognised when its caller
// resumes it at another entry: the offer of the request that began it and that of the one
// that resumes it must name the same stream. So must that of a caller that resumes the
// resumption, or does not name the request.
func TestOffersNameTheStream(t *testing.T) {
	t.Parallel()
	upstreams := []*scriptedUpstream{newUpstream(t, streamEvents(1, 5, true))}
	begun := offersOf(t, nil, "resumable", upstreams, "Id", "first")[0]
	require.NotZero(t, begun.Stream)
	require.Zero(t, begun.Resumes)
	resumed := offersOf(t, nil, "resumable", upstreams, "Id", "second", "Resumed", "first", "Last", "2")[0]
	require.Equal(t, begun.Stream, resumed.Resumes)
	require.False(t, resumed.ResumesContent)
	third := offersOf(t, nil, "resumable", upstreams, "Id", "third", "Resumed", "second", "Last", "4")[0]
	require.NotZero(t, resumed.Stream)
	require.Equal(t, resumed.Stream, third.Resumes)
	unnamed := offersOf(t, nil, "resumable", upstreams, "Id", "other", "Last", "2")[0]
	require.True(t, unnamed.ResumesContent)
	require.NotZero(t, unnamed.Resumes)
	require.Equal(t, broker.ContentStream(begun.Fingerprint, begun.Session), unnamed.Resumes)
	again := offersOf(t, nil, "resumable", upstreams, "Id", "second", "Resumed", "first")[0]
	require.Zero(t, again.Resumes, "a caller without any event begins anew")
	require.NotZero(t, again.Stream)
	for _, route := range []string{"stream", "idempotent"} {
		other := offersOf(t, nil, route, upstreams, "Id", "first")[0]
		require.Zero(t, other.Stream, "nobody may resume it")
	}
}
