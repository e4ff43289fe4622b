package view

import (
	"slices"
	"time"
)

const (
	// maxSilence is the time without a message after which other replicas are asked. It covers
	// two keepalive intervals. The silent replica is watched on meanwhile: the retransmission of
	// a lost packet may take longer.
	maxSilence = 600 * time.Millisecond
	// waveInterval is the time between two waves of replicas that are asked. A live replica
	// answers within it unless a leader is being elected.
	waveInterval = 250 * time.Millisecond
	// firstWave is the number of replicas that are asked first once the source is silent. Each
	// wave is twice as large as the one before, so that the time until a live replica is asked
	// grows with the logarithm of the number of replicas that are gone.
	firstWave = 2
)

// failover decides which replicas to watch: one, the source, while it sends, and further ones
// in waves while it is silent or there is none. Times are durations on the caller's clock.
type failover struct {
	// source is the address of the replica whose messages count; empty if there is none.
	// heardAt is when the source last sent.
	source  string
	heardAt time.Duration
	// open holds the replicas with a watch, asked those that were asked since the source was
	// last heard.
	open  map[string]bool
	asked map[string]bool
	// wave is the size of the next wave, due at nextWave.
	wave     int
	nextWave time.Duration
}

func newFailover() *failover {
	// The first watch is that of the nearest replica alone.
	return &failover{open: map[string]bool{}, asked: map[string]bool{}, wave: 1}
}

// isSilent reports whether no replica has sent for maxSilence.
func (f *failover) isSilent(now time.Duration) bool {
	return f.source == "" || now-f.heardAt >= maxSilence
}

// next returns the replicas to begin to watch and the delay until the next call. ranked lists
// the addresses of all replicas, the best first.
func (f *failover) next(now time.Duration, ranked []string) (begin []string, delay time.Duration) {
	if !f.isSilent(now) {
		return nil, f.heardAt + maxSilence - now
	}
	if now < f.nextWave {
		return nil, f.nextWave - now
	}
	if !slices.ContainsFunc(ranked, f.isCandidate) {
		// All were asked: begin again.
		f.asked, f.wave = map[string]bool{}, firstWave
	}
	for _, address := range ranked {
		if len(begin) < f.wave && f.isCandidate(address) {
			begin = append(begin, address)
			f.open[address], f.asked[address] = true, true
		}
	}
	f.wave *= 2
	f.nextWave = now + waveInterval
	return begin, waveInterval
}

func (f *failover) isCandidate(address string) bool { return !f.open[address] && !f.asked[address] }

// heard records a message of a replica. The first one that sends while the source is silent
// becomes the source. It returns the other replicas, whose watches end.
func (f *failover) heard(now time.Duration, address string) (end []string) {
	if address != f.source && !f.isSilent(now) {
		return nil
	}
	f.source, f.heardAt = address, now
	for other := range f.open {
		if other != address {
			end = append(end, other)
		}
	}
	f.asked, f.wave, f.nextWave = map[string]bool{}, firstWave, 0
	return end
}

// ended records the end of a replica's watch.
func (f *failover) ended(now time.Duration, address string) {
	delete(f.open, address)
	if f.source == address {
		// A replica whose messages can't be applied is not asked again and again.
		f.source, f.nextWave = "", now+retryDelay
	}
}
