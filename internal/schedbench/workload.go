package schedbench

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// blockTokens is the prefix block's size.
	blockTokens = 64
	// maxBlocks bounds the blocks of one prompt.
	maxBlocks = 64
	// templates is how many shared prefixes there are, by Zipf's law.
	templates = 200
	// zipfExponent is that law's exponent.
	zipfExponent = 1.1
)

// job is one request and what became of it.
type job struct {
	id        uint64
	arrived   time.Duration
	workspace int
	tier      int
	kind      kind
	prompt    int
	output    int
	limit     int
	blocks    []uint64
	deadline  time.Duration

	started time.Duration
	first   time.Duration
	ended   time.Duration
	whole   bool
	refused string
	// computed is the prompt tokens that an engine computed, cached what it
	// did not need to, repeated what it computed though another held it.
	computed float64
	cached   int
	repeated int
	stream   *stream
}

// arrivals draws a run's requests: rate is in requests a second.
type arrivals struct {
	site   site
	rate   float64
	length time.Duration
	// factor multiplies the rate of one workspace.
	heavy  int
	factor float64
	// burst multiplies all rates for a while.
	burst      float64
	burstBegin time.Duration
	burstEnd   time.Duration
	// spread is the standard deviation of the logarithm by which answers'
	// lengths vary beyond their kind; the mean stays.
	spread float64
	seed   uint64
}

func (a arrivals) draw() []*job {
	rng := rand.New(rand.NewPCG(a.seed, a.seed^0x9e3779b97f4a7c15))
	weights := zipfWeights()
	out := []*job{}
	for w, spec := range a.site.workspaces {
		rate := a.rate * spec.share
		if w == a.heavy && a.factor > 0 {
			rate *= a.factor
		}
		out = append(out, a.drawWorkspace(rng, w, rate, weights)...)
	}
	sortJobs(out)
	for i, j := range out {
		j.id = uint64(i + 1)
	}
	return out
}

// drawWorkspace draws a Poisson process; bursts are thinned from a faster one.
func (a arrivals) drawWorkspace(rng *rand.Rand, w int, rate float64, weights []float64) []*job {
	peak := max(1, a.burst)
	out := []*job{}
	for at := 0.0; ; {
		at += rng.ExpFloat64() / (rate * peak)
		now := time.Duration(at * float64(time.Second))
		if now >= a.length {
			return out
		}
		inBurst := a.burst > 0 && now >= a.burstBegin && now < a.burstEnd
		if !inBurst && rng.Float64() > 1/peak {
			continue
		}
		out = append(out, a.drawJob(rng, w, now, weights))
	}
}

func (a arrivals) drawJob(rng *rand.Rand, w int, now time.Duration, weights []float64) *job {
	t := a.site.workspaces[w].tier
	k := drawKind(rng, a.site.tiers[t].mix)
	s := shapes[k]
	j := &job{
		arrived: now, workspace: w, tier: t, kind: k, limit: s.limit,
		prompt: s.prompt.draw(rng), output: s.output.draw(rng), deadline: now + a.site.tiers[t].goodput,
	}
	if a.spread > 0 {
		factor := math.Exp(a.spread*rng.NormFloat64() - a.spread*a.spread/2)
		j.output = max(1, min(j.limit, int(float64(j.output)*factor)))
	}
	template := drawIndex(rng, weights)
	unique := rng.Uint64()
	for b := range min(maxBlocks, j.prompt/blockTokens) {
		if (b+1)*blockTokens <= s.prefix {
			j.blocks = append(j.blocks, uint64(k)<<56|uint64(template)<<16|uint64(b))
		} else {
			j.blocks = append(j.blocks, unique+uint64(b))
		}
	}
	return j
}

func (s span) draw(rng *rand.Rand) int {
	return s.least + rng.IntN(s.most-s.least+1)
}

func drawKind(rng *rand.Rand, mix [kinds]float64) kind {
	x := rng.Float64()
	for k, share := range mix {
		if x < share {
			return kind(k)
		}
		x -= share
	}
	return lookup
}

// zipfWeights returns the cumulative weights of the templates.
func zipfWeights() []float64 {
	out := make([]float64, templates)
	sum := 0.0
	for i := range out {
		sum += 1 / math.Pow(float64(i+1), zipfExponent)
		out[i] = sum
	}
	return out
}

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
