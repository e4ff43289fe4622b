package broker

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// streamTTL is how long after its caller's deadline a stream is remembered. It covers
	// the error of deadlines that were sent between daemons.
	streamTTL = 5 * time.Second
	// streamSweepInterval is the shortest time between two removals of expired streams.
	streamSweepInterval = time.Second
	// maxVersionWait is how long a request that resumes a stream waits until it is known
	// which software version began the stream, and for an upstream of that version. A new
	// broker hears of its entries' streams within this time.
	maxVersionWait = time.Second
	// versionMemory is how long a software version counts as serving after its last
	// upstream has left: as long as streams that it began may be resumed.
	versionMemory = time.Minute
	// untrustedRetryDelay is the retry delay of a resumption that a broker refuses because it
	// does not know enough of the past: another one has usually begun by then.
	untrustedRetryDelay = time.Second
	// never is a time that is not reached.
	never = time.Duration(math.MaxInt64)
)

// StreamOrigin is a software version at which a stream began. Events of different versions
// must not be joined in one stream.
type StreamOrigin struct {
	// Stream identifies the stream, see Offer.Stream; or, if Content is set, all streams of
	// requests with one content, see ContentStream.
	Stream          uint64
	Content         bool
	SoftwareVersion string
	// Until is when the stream can't be resumed any more.
	Until time.Duration
}

// streamRecord is what a broker knows of the beginning of a stream. Several versions mean that
// those who remember it disagree, or that requests with one content began at each of them.
type streamRecord struct {
	content  bool
	versions []string
	until    time.Duration
}

// ContentStream identifies the streams of requests with one content, for callers that resume a
// stream without naming the request that began it. It is zero without a fingerprint.
func ContentStream(fingerprint, session uint64) uint64 {
	if fingerprint == 0 {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, fingerprint), session)) // Write of a hash never fails
	return h.Sum64()
}

// TrustVersionsFrom tells the broker from when on it knows of all upstreams that served lately
// and of all streams that others remember. From then on it resumes a stream that nobody knows
// at the pool's only version, and one without a name by its content. Without a call it never
// does: a broker that has just begun, or serves a part of the entries only, knows the versions
// that serve now, which may not have begun the stream.
func (b *Broker) TrustVersionsFrom(at time.Duration) { b.versionsTrustedFrom = at }

// recordStream records the software version at which a request begins or resumes a stream, and
// returns what it recorded. An earlier attempt of the request brought no event, or ran at the
// same version.
func (b *Broker) recordStream(now time.Duration, req *request, version string) []StreamOrigin {
	if req.Stream == 0 {
		return nil
	}
	until := max(now, req.Deadline) + streamTTL
	origins := []StreamOrigin{{Stream: req.Stream, SoftwareVersion: version, Until: until}}
	if content := ContentStream(req.Fingerprint, req.Session); content != 0 {
		origins = append(origins, StreamOrigin{Stream: content, Content: true, SoftwareVersion: version, Until: until})
	}
	delete(b.streams, req.Stream)
	b.LearnStreams(now, origins)
	return origins
}

// LearnStreams adds streams that another daemon recorded. What it says of a stream may be older
// than what is known: if they differ, the version is not certain.
func (b *Broker) LearnStreams(now time.Duration, list []StreamOrigin) {
	for _, o := range list {
		b.addOrigin(now, o)
	}
	if now < b.nextStreamSweep {
		return
	}
	b.nextStreamSweep = now + streamSweepInterval
	maps.DeleteFunc(b.streams, func(_ uint64, r streamRecord) bool { return r.until < now })
}

// addOrigin adds a version to the record of a stream.
func (b *Broker) addOrigin(now time.Duration, o StreamOrigin) {
	r := streamRecord{content: o.Content}
	if b.knowsStream(now, o.Stream) {
		r = b.streams[o.Stream]
	}
	if !slices.Contains(r.versions, o.SoftwareVersion) {
		r.versions = append(r.versions, o.SoftwareVersion)
	}
	r.until = max(r.until, o.Until)
	b.streams[o.Stream] = r
}

// knowsStream reports whether the beginning of a stream is remembered, be its version certain or
// not.
func (b *Broker) knowsStream(now time.Duration, stream uint64) bool {
	r, ok := b.streams[stream]
	return ok && r.until >= now
}

// Streams returns the streams that may still be resumed, in no particular order; those whose
// version is not certain with each one.
func (b *Broker) Streams(now time.Duration) []StreamOrigin {
	out := make([]StreamOrigin, 0, len(b.streams))
	for stream, r := range b.streams {
		if r.until < now {
			continue
		}
		for _, version := range r.versions {
			out = append(out, StreamOrigin{Stream: stream, Content: r.content, SoftwareVersion: version, Until: r.until})
		}
	}
	return out
}

// StreamVersion returns the software version that began a stream, and false if it is not
// known for certain.
func (b *Broker) StreamVersion(now time.Duration, stream uint64) (string, bool) {
	versions := b.streams[stream].versions
	if !b.knowsStream(now, stream) || len(versions) != 1 {
		return "", false
	}
	return versions[0], true
}

// bindVersion binds a request that resumes a stream to the software version that began it,
// if that is known, or if nobody knows the stream and the pool has had no other version.
func (b *Broker) bindVersion(now time.Duration, p *pool, req *request) {
	if req.Resumes == 0 || req.VersionBound {
		return
	}
	version, ok := b.StreamVersion(now, req.Resumes)
	switch {
	case ok && !req.ResumesContent:
	case now < b.versionsTrustedFrom:
		ok = false
	case !b.knowsStream(now, req.Resumes):
		version, ok = p.onlyVersion()
	}
	if ok {
		req.SoftwareVersion, req.VersionBound = version, true
	}
}

// isVersionAllowed reports whether a request may run at a software version.
func (r *request) isVersionAllowed(version string) bool {
	if r.VersionBound {
		return version == r.SoftwareVersion
	}
	return r.Resumes == 0
}

// refuseUnresumable refuses a waiting request that resumes a stream if its software version
// is still unknown, or has no upstream, after maxVersionWait. It returns true if it did.
func (b *Broker) refuseUnresumable(now time.Duration, p *pool, req *request) bool {
	if req.Resumes == 0 && !req.VersionBound {
		return false
	}
	b.bindVersion(now, p, req)
	if req.VersionBound && p.serves(req.SoftwareVersion) {
		return false
	}
	if now-req.arrived < maxVersionWait {
		return false
	}
	reason, retryDelay := "it is not known which software version began the stream", minRetryDelay
	switch {
	case req.VersionBound:
		reason = fmt.Sprintf("no upstream of software version %q, which began the stream, takes requests", req.SoftwareVersion)
	case b.versionsTrustedFrom == never:
		retryDelay = untrustedRetryDelay
	case now < b.versionsTrustedFrom:
		retryDelay = b.versionsTrustedFrom - now + minRetryDelay
	}
	b.refuse(req, VersionUnavailable, retryDelay, reason)
	return true
}

// serves reports whether an upstream of a software version takes requests.
func (p *pool) serves(version string) bool {
	for _, u := range p.order {
		if u.SoftwareVersion == version && !u.isLeaving() && p.versions.allows(version, true) {
			return true
		}
	}
	return false
}

// onlyVersion returns the software version of all upstreams that serve the pool or have done
// so within versionMemory, and false if there are several or none.
func (p *pool) onlyVersion() (string, bool) {
	found := make(map[string]bool, 1)
	for _, version := range p.softwareVersions() {
		found[version] = true
	}
	for version := range p.pastVersions {
		found[version] = true
	}
	if len(found) != 1 {
		return "", false
	}
	for version := range found {
		return version, true
	}
	return "", false
}

// softwareVersions returns the software version of each upstream.
func (p *pool) softwareVersions() []string {
	out := make([]string, 0, len(p.order))
	for _, u := range p.order {
		out = append(out, u.SoftwareVersion)
	}
	return out
}

// keepVersions records software versions that have served until now. Their time is set by
// the next round.
func (p *pool) keepVersions(versions []string) {
	for _, version := range versions {
		p.pastVersions[version] = 0
	}
}

// expireVersions removes past versions whose streams can't be resumed any more.
func (p *pool) expireVersions(now time.Duration) {
	for version, since := range p.pastVersions {
		switch {
		case since == 0:
			p.pastVersions[version] = now
		case now-since > versionMemory:
			delete(p.pastVersions, version)
		}
	}
}
