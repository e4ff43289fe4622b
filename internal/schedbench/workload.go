package schedbench

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// blockTokens is the size of a prefix cache block, in tokens.
	blockTokens = 64
	// maxBlocks bounds the prefix blocks reported for one prompt.
	maxBlocks = 64
	// templateCount is the number of shared prefixes; their popularity follows
	// Zipf's law.
	templateCount = 200
	// zipfExponent is the exponent of the templates' popularity.
	zipfExponent = 1.1
)

// job is one request with its outcome. Times are virtual, since the run's start;
// a zero endedAt means that the job has not ended.
type job struct {
	id           uint64
	arrivedAt    time.Duration
	workspace    int
	tier         int
	kind         requestKind
	promptTokens int
	outputTokens int
	maxTokens    int
	blocks       []uint64
	deadline     time.Duration

	startedAt    time.Duration
	firstTokenAt time.Duration
	endedAt      time.Duration
	completed    bool
	refusalCode  string
	// prefillComputed counts prompt tokens processed by an engine, cachedTokens
	// those read from its prefix cache, and repeatedTokens those that it lacked
	// but another engine had cached when the job started.
	prefillComputed float64
	cachedTokens    int
	repeatedTokens  int
	stream          *stream
}

// arrivals generates a run's requests; rate is in requests a second.
type arrivals struct {
	site     site
	rate     float64
	duration time.Duration
	// heavyFactor multiplies the rate of the workspace with the index
	// heavyWorkspace; zero leaves it unchanged.
	heavyWorkspace int
	heavyFactor    float64
	// burstFactor multiplies all rates from burstStart to burstEnd; zero means no
	// burst.
	burstFactor float64
	burstStart  time.Duration
	burstEnd    time.Duration
	// lengthSpread is the standard deviation of the logarithm of a log-normal
	// factor on answer lengths; the factor's mean is 1.
	lengthSpread float64
	seed         uint64
}

// draw returns all jobs in order of arrival, numbered from 1.
func (a arrivals) draw() []*job {
	rng := rand.New(rand.NewPCG(a.seed, a.seed^0x9e3779b97f4a7c15))
	weights := cumulativeZipfWeights()
	out := []*job{}
	for w, spec := range a.site.workspaces {
		rate := a.rate * spec.share
		if w == a.heavyWorkspace && a.heavyFactor > 0 {
			rate *= a.heavyFactor
		}
		out = append(out, a.drawWorkspace(rng, w, rate, weights)...)
	}
	sortByArrival(out)
	for i, j := range out {
		j.id = uint64(i + 1)
	}
	return out
}

// drawWorkspace draws one workspace's arrivals as a Poisson process at the peak
// rate, thinned outside the burst.
func (a arrivals) drawWorkspace(rng *rand.Rand, w int, rate float64, weights []float64) []*job {
	peak := max(1, a.burstFactor)
	out := []*job{}
	for at := 0.0; ; {
		at += rng.ExpFloat64() / (rate * peak)
		now := time.Duration(at * float64(time.Second))
		if now >= a.duration {
			return out
		}
		inBurst := a.burstFactor > 0 && now >= a.burstStart && now < a.burstEnd
		if !inBurst && rng.Float64() > 1/peak {
			continue
		}
		out = append(out, a.drawJob(rng, w, now, weights))
	}
}

// drawJob draws one request of a workspace that arrives at a time.
func (a arrivals) drawJob(rng *rand.Rand, w int, now time.Duration, weights []float64) *job {
	t := a.site.workspaces[w].tier
	k := drawKind(rng, a.site.tiers[t].kindShares)
	s := requestShapes[k]
	j := &job{
		arrivedAt: now, workspace: w, tier: t, kind: k, maxTokens: s.maxTokens,
		promptTokens: s.promptTokens.draw(rng), outputTokens: s.outputTokens.draw(rng), deadline: now + a.site.tiers[t].goodputTime,
	}
	if a.lengthSpread > 0 {
		factor := math.Exp(a.lengthSpread*rng.NormFloat64() - a.lengthSpread*a.lengthSpread/2)
		j.outputTokens = max(1, min(j.maxTokens, int(float64(j.outputTokens)*factor)))
	}
	template := drawIndex(rng, weights)
	unique := rng.Uint64()
	for b := range min(maxBlocks, j.promptTokens/blockTokens) {
		if (b+1)*blockTokens <= s.sharedPrefix {
			j.blocks = append(j.blocks, uint64(k)<<56|uint64(template)<<16|uint64(b))
		} else {
			j.blocks = append(j.blocks, unique+uint64(b))
		}
	}
	return j
}

func (s tokenRange) draw(rng *rand.Rand) int {
	return s.low + rng.IntN(s.high-s.low+1)
}

func drawKind(rng *rand.Rand, shares [kindCount]float64) requestKind {
	x := rng.Float64()
	for k, share := range shares {
		if x < share {
			return requestKind(k)
		}
		x -= share
	}
	return lookup
}

// cumulativeZipfWeights returns the cumulative weights of the templates.
func cumulativeZipfWeights() []float64 {
	out := make([]float64, templateCount)
	sum := 0.0
	for i := range out {
		sum += 1 / math.Pow(float64(i+1), zipfExponent)
		out[i] = sum
	}
	return out
}

// drawIndex draws an index with a probability given by cumulative weights.
func drawIndex(rng *rand.Rand, cumulative []float64) int {
	x := rng.Float64() * cumulative[len(cumulative)-1]
	low, high := 0, len(cumulative)-1
	for low < high {
		middle := (low + high) / 2
		if cumulative[middle] < x {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}
