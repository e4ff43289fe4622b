package schedbench

import (
	"fmt"
	"io"
	"strings"
)

const (
	// firstSeed is the seed of all runs.
	firstSeed = 20261203
	// Targets of the scheduling policy.
	targetTop       = 0.99
	targetNeighbour = 0.05
	targetGoodput   = 1.3
	targetWaste     = 0.5
	targetWait      = 3.0
	// heavyFactor is how many times its share the heavy workspace sends.
	heavyFactor = 20
	// burstFactor is the burst's height.
	burstFactor = 5
)

// Run plays all scenarios and writes the tables and the targets in Markdown.
func Run(out io.Writer) error {
	b := &report{}
	for _, s := range sites() {
		b.site(s)
	}
	b.targets()
	_, err := io.WriteString(out, b.text.String())
	return err
}

// report collects the text and the figures that the targets are judged by.
type report struct {
	text   strings.Builder
	checks []check
}

// check is one target beside what was measured.
type check struct {
	site   string
	what   string
	target string
	got    string
	met    bool
}

func (b *report) line(format string, args ...any) {
	fmt.Fprintf(&b.text, format+"\n", args...)
}

func (b *report) judge(s site, what, target, got string, met bool) {
	b.checks = append(b.checks, check{site: s.name, what: what, target: target, got: got, met: met})
}

func scenarios() []scenario {
	out := []scenario{}
	for _, load := range []float64{0.5, 0.9, 1.2, 2} {
		out = append(out, scenario{name: "even", load: load})
	}
	for _, load := range []float64{0.9, 1.2, 2} {
		out = append(out, scenario{name: "straggler", load: load, straggler: true})
	}
	return append(out, scenario{name: "burst", load: 0.5, burst: burstFactor})
}

func (b *report) site(s site) {
	rate := capacity(s, firstSeed, 0)
	b.line("### %s\n", s.name)
	b.line("Capacity: %.1f requests a second of the site's mix, seed %d.\n", rate, firstSeed)
	b.line("| scenario | load | policy | goodput/s | by tier, %% | lost prefill | repeated prefill | refused | lookup wait p99 ms | lookup service ms | inversions | late |")
	b.line("|---|---|---|---|---|---|---|---|---|---|---|---|")
	inversions := 0
	for _, c := range scenarios() {
		results := map[string]result{}
		for _, p := range policies() {
			r := play(s, c, p, rate, firstSeed)
			results[p.name] = r
			b.row(s, c, p.name, r)
		}
		inversions += results[ours].inversions
		b.compare(s, c, results)
	}
	inversions += b.heavy(s, rate)
	b.judge(s, "tier inversions in all runs", "0", fmt.Sprint(inversions), inversions == 0)
	b.topTier(s, rate)
	b.line("")
	b.lengths(s)
}

// lengths compares the order by predicted length with that by arrival, while
// lengths become harder to predict.
func (b *report) lengths(s site) {
	b.line("Order by predicted length against order by arrival, as answers' lengths spread (standard deviation of the logarithm). Loads are relative to the capacity at that spread:\n")
	b.line("| spread | load | order | goodput/s | by tier, %% | lookup wait p99 ms |")
	b.line("|---|---|---|---|---|---|")
	mine := policies()[len(policies())-1]
	for _, spread := range []float64{0, 0.5, 1, 1.5} {
		rate := capacity(s, firstSeed, spread)
		for _, load := range []float64{0.9, 1.2} {
			for _, p := range []named{mine, byArrival()} {
				r := play(s, scenario{load: load, spread: spread}, p, rate, firstSeed)
				b.line("| %.1f | %.1f | %s | %.2f | %s | %d |", spread, load, p.name, r.good, b.byTier(s, r), r.wait99.Milliseconds())
			}
		}
	}
	b.line("")
}

func (b *report) byTier(s site, r result) string {
	parts := []string{}
	for i, t := range r.tiers {
		parts = append(parts, fmt.Sprintf("%s %.1f", s.tiers[i].name, percent(t)))
	}
	return strings.Join(parts, ", ")
}

func (b *report) row(s site, c scenario, policy string, r result) {
	b.line("| %s | %.1f | %s | %.2f | %s | %.0fk | %.0fk | %d | %d | %d | %d | %d |", c.name, c.load, policy, r.good,
		b.byTier(s, r), r.lost/1000, r.repeated/1000, r.shed, r.wait99.Milliseconds(), r.service.Milliseconds(), r.inversions, r.lateInversions)
}

func percent(t tierResult) float64 {
	if t.offered == 0 {
		return 0
	}
	return 100 * float64(t.good) / float64(t.offered)
}

// compare judges one scenario against the best baseline.
func (b *report) compare(s site, c scenario, results map[string]result) {
	mine := results[ours]
	bestGood, leastWaste := 0.0, -1.0
	for name, r := range results {
		if name == ours {
			continue
		}
		bestGood = max(bestGood, r.good)
		if leastWaste < 0 || r.wasted() < leastWaste {
			leastWaste = r.wasted()
		}
	}
	where := fmt.Sprintf("%s at %.1f", c.name, c.load)
	if c.straggler {
		ratio := mine.good / bestGood
		ceiling := mine.offered / bestGood
		b.judge(s, "goodput over the best baseline's, "+where, "at least 1.30", fmt.Sprintf("%.2f (ceiling %.2f)", ratio, ceiling), ratio >= targetGoodput)
	}
	if c.load >= 0.9 {
		ratio := mine.wasted() / leastWaste
		b.judge(s, "wasted prefill over the best baseline's, "+where, "at most 0.50", fmt.Sprintf("%.2f", ratio), ratio <= targetWaste)
	}
	if c.load == 0.9 {
		ratio := float64(mine.wait99) / float64(mine.service)
		b.judge(s, "lookups' p99 wait over their service time, "+where, "at most 3.00", fmt.Sprintf("%.2f", ratio), ratio <= targetWait)
	}
}

// topTier compares the highest tier at twice the capacity with no load.
func (b *report) topTier(s site, rate float64) {
	p := policies()[len(policies())-1]
	idle := play(s, scenario{load: 0.1}, p, rate, firstSeed)
	busy := play(s, scenario{load: 2}, p, rate, firstSeed)
	ratio := percent(busy.tiers[0]) / percent(idle.tiers[0])
	b.judge(s, "highest tier's goodput at 2.0 over that unloaded (load 0.1)", "at least 0.99", fmt.Sprintf("%.3f", ratio), ratio >= targetTop)
}

// heavy has one workspace send many times its share at a load of 0.9 besides.
func (b *report) heavy(s site, rate float64) int {
	p := policies()[len(policies())-1]
	calm := scenario{name: "share", load: 0.9}
	loud := scenario{name: "20 times its share", load: 0.9, heavy: heavyFactor}
	before := play(s, calm, p, rate, firstSeed)
	after := play(s, loud, p, rate, firstSeed)
	b.row(s, loud, ours, after)
	tier := s.workspaces[s.heavy].tier
	for w, spec := range s.workspaces {
		if w == s.heavy || spec.tier != tier {
			continue
		}
		loss := 1 - percent(after.workspaces[w])/percent(before.workspaces[w])
		b.judge(s, fmt.Sprintf("goodput that %s loses beside %s at 20 times its share", spec.name, s.workspaces[s.heavy].name),
			"at most 5%", fmt.Sprintf("%.1f%%", 100*loss), loss <= targetNeighbour)
	}
	return after.inversions
}

func (b *report) targets() {
	b.line("### Targets\n")
	b.line("| site | what | target | measured | |")
	b.line("|---|---|---|---|---|")
	for _, c := range b.checks {
		verdict := "not met"
		if c.met {
			verdict = "met"
		}
		b.line("| %s | %s | %s | %s | %s |", c.site, c.what, c.target, c.got, verdict)
	}
}
