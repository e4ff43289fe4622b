package broker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// versioned returns upstreams of a pool "p", one for each software version.
func versioned(slots int, versions ...string) []Upstream {
	out := []Upstream{}
	for i, v := range versions {
		out = append(out, Upstream{ID: string(rune('a'+i)) + "-" + v, Pool: "p", Address: "x", Slots: slots, SoftwareVersion: v})
	}
	return out
}

// newVersionBroker returns a broker with an upstream for each software version.
func newVersionBroker(slots int, versions ...string) *Broker {
	b := New(1)
	b.SetUpstreams(versioned(slots, versions...))
	b.Decide(0)
	return b
}

// resumption returns an offer that resumes a stream.
func resumption(n, stream uint64) Offer {
	o := newOffer(n)
	o.Resumes = stream
	return o
}

// beginStream grants an offer that begins a stream, avoiding all other versions, and returns
// the version.
func beginStream(t *testing.T, b *Broker, now time.Duration, n, stream uint64, avoid ...string) string {
	t.Helper()
	o := newOffer(n)
	o.Stream, o.Avoid, o.Deadline = stream, avoid, now+10*time.Second
	b.Offer(now, o)
	d := b.Decide(now)
	require.Len(t, d.Grants, 1)
	return d.Grants[0].SoftwareVersion
}

// TestResumedStreamKeepsItsVersion guards against a stream that goes on at an upstream of
// another software version than the one that began it.
func TestResumedStreamKeepsItsVersion(t *testing.T) {
	b := newVersionBroker(8, "v1", "v1", "v2", "v2")
	require.Equal(t, "v2", beginStream(t, b, 0, 1, 77, "a-v1", "b-v1"))
	b.End(time.Second, End{ID: ID{Entry: "e", Number: 1}, Outcome: ConnectionLost})
	for n := range uint64(10) {
		b.Offer(time.Second, resumption(10+n, 77))
	}
	d := b.Decide(time.Second)
	require.Len(t, d.Grants, 10)
	for _, g := range d.Grants {
		require.Equal(t, "v2", g.SoftwareVersion)
	}
}

// TestResumptionWaitsForItsVersion guards against a resumed stream that is given another
// version, or refused at once, while all upstreams of its version are full.
func TestResumptionWaitsForItsVersion(t *testing.T) {
	b := newVersionBroker(1, "v1", "v2")
	require.Equal(t, "v1", beginStream(t, b, 0, 1, 77, "b-v2"))
	b.Offer(0, resumption(2, 77))
	require.Empty(t, b.Decide(5*time.Second), "the only upstream of version v1 is full")
	b.End(6*time.Second, End{ID: ID{Entry: "e", Number: 1}, Outcome: Completed, TimeToFirstEvent: time.Second})
	require.Equal(t, []uint64{2}, grantNumbers(b.Decide(6*time.Second)))
}

// TestResumptionWithoutItsVersionIsRefused guards against a caller that waits for a version
// that no upstream has any more.
func TestResumptionWithoutItsVersionIsRefused(t *testing.T) {
	b := newVersionBroker(8, "v1", "v2")
	require.Equal(t, "v1", beginStream(t, b, 0, 1, 77, "b-v2"))
	leaving := versioned(8, "v1", "v2")
	leaving[0].Leaving = true
	b.SetUpstreams(leaving)
	b.Offer(time.Second, resumption(2, 77))
	require.Empty(t, b.Decide(time.Second+maxVersionWait/2), "an upstream of the version may start")
	d := b.Decide(time.Second + maxVersionWait)
	require.Empty(t, d.Grants)
	require.Len(t, d.Refusals, 1)
	require.Equal(t, VersionUnavailable, d.Refusals[0].Code)
	require.Positive(t, d.Refusals[0].RetryAfter)
}

// TestUnknownStreamIsNotResumedAtAnyVersion guards against a new broker, which does not know
// the streams of an earlier one, that resumes them anywhere. It waits for its entries.
func TestUnknownStreamIsNotResumedAtAnyVersion(t *testing.T) {
	b := newVersionBroker(8, "v1", "v2")
	b.Offer(0, resumption(1, 77))
	b.Offer(0, resumption(2, 78))
	require.Empty(t, b.Decide(maxVersionWait/2))
	b.LearnStreams(maxVersionWait/2, []StreamOrigin{{Stream: 78, SoftwareVersion: "v2", Until: time.Minute}})
	d := b.Decide(maxVersionWait/2 + time.Millisecond)
	require.Equal(t, []uint64{2}, grantNumbers(d))
	require.Equal(t, "v2", d.Grants[0].SoftwareVersion)
	d = b.Decide(maxVersionWait)
	require.Empty(t, d.Grants)
	require.Equal(t, VersionUnavailable, d.Refusals[0].Code)
}

// TestUnknownStreamIsResumedAtTheOnlyVersion guards against resumed streams that are refused
// where no two versions serve. A version whose upstreams have just left counts, and a broker
// that has just begun does not know the versions of the past.
func TestUnknownStreamIsResumedAtTheOnlyVersion(t *testing.T) {
	b := newVersionBroker(8, "v1", "v1")
	b.Offer(0, resumption(1, 77))
	require.Empty(t, b.Decide(maxVersionWait/2).Grants)
	d := b.Decide(maxVersionWait)
	require.Empty(t, d.Grants)
	require.Equal(t, VersionUnavailable, d.Refusals[0].Code)
	require.Equal(t, untrustedRetryDelay, d.Refusals[0].RetryAfter)
	b.TrustVersionsFrom(3 * time.Second)
	b.Offer(maxVersionWait, resumption(2, 77))
	d = b.Decide(2 * maxVersionWait)
	require.Empty(t, d.Grants)
	require.GreaterOrEqual(t, d.Refusals[0].RetryAfter, 3*time.Second-2*maxVersionWait, "it is served when it returns")
	b.Offer(3*time.Second, resumption(3, 77))
	require.Len(t, b.Decide(3*time.Second).Grants, 1)
	for name, list := range map[string][]Upstream{
		"left":       versioned(8, "v2"),
		"known gone": append(versioned(8, "v2"), Upstream{ID: "z", Pool: "p", Gone: true, SoftwareVersion: "v1"}),
	} {
		b := New(1)
		if name == "left" {
			b = newVersionBroker(8, "v1")
		}
		b.TrustVersionsFrom(0)
		b.SetUpstreams(list)
		b.Decide(time.Second)
		b.Offer(time.Second, resumption(1, 77))
		d := b.Decide(time.Second + maxVersionWait)
		require.Empty(t, d.Grants, name)
		require.Len(t, d.Refusals, 1, name)
		later := 2*time.Second + versionMemory
		b.Decide(later)
		b.Offer(later, resumption(2, 78))
		require.Len(t, b.Decide(later).Grants, 1, name)
	}
}

// TestNewBrokerLearnsStreamVersions guards against streams that can't be resumed after a
// change of brokers: the new one learns them from the entries' running requests and from
// what the entries remember. An upstream may have started again with another version.
func TestNewBrokerLearnsStreamVersions(t *testing.T) {
	old := newVersionBroker(8, "v1", "v2")
	require.Equal(t, "v1", beginStream(t, old, 0, 1, 77, "b-v2"))
	next := newVersionBroker(8, "v1", "v2")
	next.LearnStreams(0, old.Streams(0))
	running := newOffer(2)
	running.Stream, running.Running, running.SoftwareVersion, running.VersionBound = 78, "b-v2", "v1", true
	next.Offer(0, running)
	for stream, want := range map[uint64]string{77: "v1", 78: "v1"} {
		got, ok := next.StreamVersion(0, stream)
		require.True(t, ok)
		require.Equal(t, want, got)
	}
}

// TestResumedStreamGoesBeforeNewRequests guards against streams that are never resumed under
// load: new requests of higher ranks took each slot of the few upstreams of their version.
func TestResumedStreamGoesBeforeNewRequests(t *testing.T) {
	b := newVersionBroker(1, "v1")
	require.Equal(t, "v1", beginStream(t, b, 0, 1, 77))
	b.Offer(time.Second, newOffer(2))
	late := resumption(3, 77)
	late.Rank = 5
	b.Offer(2*time.Second, late)
	b.End(3*time.Second, End{ID: ID{Entry: "e", Number: 1}, Outcome: Completed, TimeToFirstEvent: time.Second})
	require.Equal(t, uint64(3), grantNumbers(b.Decide(3 * time.Second))[0])
}

// TestStreamsAreForgotten guards against a broker whose memory grows with each stream.
func TestStreamsAreForgotten(t *testing.T) {
	b := newVersionBroker(8, "v1")
	now := time.Duration(0)
	for n := range uint64(1000) {
		beginStream(t, b, now, n, n+1)
		b.End(now, End{ID: ID{Entry: "e", Number: n}, Outcome: Completed, TimeToFirstEvent: time.Millisecond})
		now += 100 * time.Millisecond
	}
	remembered := int((10*time.Second + streamTTL + streamSweepInterval) / (100 * time.Millisecond))
	require.LessOrEqual(t, len(b.streams), remembered+1)
	require.Contains(t, b.streams, uint64(1000))
}
