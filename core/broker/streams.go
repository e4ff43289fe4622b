package broker

import (
	"fmt"
	"maps"
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
)

// StreamOrigin is the software version of the upstream that began a stream. Events of
// different versions must not be joined in one stream.
type StreamOrigin struct {
	// Stream identifies the stream; see Offer.Stream.
	Stream          uint64
	SoftwareVersion string
	// Until is when the stream can't be resumed any more.
	Until time.Duration
}

// recordStream records the software version at which a request begins a stream.
func (b *Broker) recordStream(now time.Duration, req *request, version string) {
	if req.Stream != 0 && req.Resumes == 0 {
		b.LearnStreams(now, []StreamOrigin{{Stream: req.Stream, SoftwareVersion: version, Until: max(now, req.Deadline) + streamTTL}})
	}
}

// LearnStreams adds streams that another broker recorded, and removes expired ones.
func (b *Broker) LearnStreams(now time.Duration, list []StreamOrigin) {
	for _, o := range list {
		b.streams[o.Stream] = o
	}
	if now < b.nextStreamSweep {
		return
	}
	b.nextStreamSweep = now + streamSweepInterval
	maps.DeleteFunc(b.streams, func(_ uint64, o StreamOrigin) bool { return o.Until < now })
}

// Streams returns the streams that may still be resumed, in no particular order.
func (b *Broker) Streams(now time.Duration) []StreamOrigin {
	out := make([]StreamOrigin, 0, len(b.streams))
	for _, o := range b.streams {
		if o.Until >= now {
			out = append(out, o)
		}
	}
	return out
}

// StreamVersion returns the software version that began a stream, and false if it is not
// known.
func (b *Broker) StreamVersion(now time.Duration, stream uint64) (string, bool) {
	o, ok := b.streams[stream]
	return o.SoftwareVersion, ok && o.Until >= now
}

// bindVersion binds a request that resumes a stream to the software version that began it,
// if that is known or the pool has no other.
func (b *Broker) bindVersion(now time.Duration, p *pool, req *request) {
	if req.Resumes == 0 || req.VersionBound {
		return
	}
	if version, ok := b.StreamVersion(now, req.Resumes); ok {
		req.SoftwareVersion, req.VersionBound = version, true
	} else if version, ok := p.onlyVersion(); ok {
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
// is still unknown, or has no upstream, after maxVersionWait or its latency target. It
// returns true if it did.
func (b *Broker) refuseUnresumable(now time.Duration, p *pool, req *request) bool {
	if req.Resumes == 0 && !req.VersionBound {
		return false
	}
	b.bindVersion(now, p, req)
	if req.VersionBound && p.serves(req.SoftwareVersion) {
		return false
	}
	if now-req.arrived < maxVersionWait && now < req.LatencyTarget {
		return false
	}
	reason := "it is not known which software version began the stream"
	if req.VersionBound {
		reason = fmt.Sprintf("no upstream of software version %q, which began the stream, takes requests", req.SoftwareVersion)
	}
	b.refuse(req, VersionUnavailable, minRetryDelay, reason)
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
