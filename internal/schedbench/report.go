package schedbench

import (
	"fmt"
	"io"
	"strings"
)

const (
	// benchSeed is the seed of all runs.
	benchSeed = 20261203
	// Targets of the scheduling policy, as ratios. They are checked in
	// checkTopTier, runHeavyWorkspace (maxNeighbourLoss) and checkAgainstBaselines.
	minTopTierRatio  = 0.99
	maxNeighbourLoss = 0.05
	minGoodputRatio  = 1.3
	maxWasteRatio    = 0.5
	maxWaitRatio     = 3.0
	// heavyFactor multiplies the heavy workspace's usual arrival rate.
	heavyFactor = 20
	// burstFactor multiplies the arrival rate during a burst.
	burstFactor = 5
)

// Run simulates all scenarios at all sites and writes the tables and the
// targets in Markdown.
func Run(out io.Writer) error {
	b := &report{}
	for _, s := range sites() {
		b.runSite(s)
	}
	b.writeTargets()
	_, err := io.WriteString(out, b.text.String())
	return err
}

// report collects the text and the results of the target checks.
type report struct {
	text   strings.Builder
	checks []check
}

// check is one target with the measured value.
type check struct {
	site     string
	quantity string
	target   string
	measured string
	met      bool
}

func (b *report) writeLine(format string, args ...any) {
	fmt.Fprintf(&b.text, format+"\n", args...)
}

func (b *report) addCheck(s site, quantity, target, measured string, met bool) {
	b.checks = append(b.checks, check{site: s.name, quantity: quantity, target: target, measured: measured, met: met})
}

func scenarios() []scenario {
	out := []scenario{}
	for _, load := range []float64{0.5, 0.9, 1.2, 2} {
		out = append(out, scenario{name: "even", load: load})
	}
	for _, load := range []float64{0.9, 1.2, 2} {
		out = append(out, scenario{name: "straggler", load: load, straggler: true})
	}
	return append(out, scenario{name: "burst", load: 0.5, burstFactor: burstFactor})
}

func (b *report) runSite(s site) {
	rate := measureCapacity(s, benchSeed, 0)
	b.writeLine("### %s\n", s.name)
	b.writeLine("Capacity: %.1f requests a second of the site's mix, seed %d.\n", rate, benchSeed)
	b.writeLine("| scenario | load | policy | goodput/s | by tier, %% | lost prefill | repeated prefill | refused | lookup wait p99 ms | lookup service ms | inversions | late |")
	b.writeLine("|---|---|---|---|---|---|---|---|---|---|---|---|")
	inversions := 0
	for _, c := range scenarios() {
		results := map[string]runResult{}
		for _, p := range policies() {
			r := runScenario(s, c, p, rate, benchSeed)
			results[p.name] = r
			b.writeRow(s, c, p.name, r)
		}
		inversions += results[ownPolicy].inversions
		b.checkAgainstBaselines(s, c, results)
	}
	inversions += b.runHeavyWorkspace(s, rate)
	b.addCheck(s, "tier inversions in all runs", "0", fmt.Sprint(inversions), inversions == 0)
	b.checkTopTier(s, rate)
	b.writeLine("")
	b.writeOrderComparison(s)
}

// writeOrderComparison compares ordering by predicted length with ordering by
// arrival at increasing spreads of the answer lengths.
func (b *report) writeOrderComparison(s site) {
	b.writeLine("Order by predicted length against order by arrival, as answers' lengths spread (standard deviation of the logarithm). Loads are relative to the capacity at that spread:\n")
	b.writeLine("| spread | load | order | goodput/s | by tier, %% | lookup wait p99 ms |")
	b.writeLine("|---|---|---|---|---|---|")
	own := policies()[len(policies())-1]
	for _, spread := range []float64{0, 0.5, 1, 1.5} {
		rate := measureCapacity(s, benchSeed, spread)
		for _, load := range []float64{0.9, 1.2} {
			for _, p := range []namedPolicy{own, arrivalOrderPolicy()} {
				r := runScenario(s, scenario{load: load, lengthSpread: spread}, p, rate, benchSeed)
				b.writeLine("| %.1f | %.1f | %s | %.2f | %s | %d |", spread, load, p.name, r.goodput, b.formatTiers(s, r), r.lookupWaitP99.Milliseconds())
			}
		}
	}
	b.writeLine("")
}

func (b *report) formatTiers(s site, r runResult) string {
	parts := []string{}
	for i, t := range r.tiers {
		parts = append(parts, fmt.Sprintf("%s %.1f", s.tiers[i].name, percent(t)))
	}
	return strings.Join(parts, ", ")
}

func (b *report) writeRow(s site, c scenario, policy string, r runResult) {
	b.writeLine("| %s | %.1f | %s | %.2f | %s | %.0fk | %.0fk | %d | %d | %d | %d | %d |", c.name, c.load, policy, r.goodput,
		b.formatTiers(s, r), r.lostPrefill/1000, r.repeatedPrefill/1000, r.refused, r.lookupWaitP99.Milliseconds(), r.lookupService.Milliseconds(), r.inversions, r.deadlineInversions)
}

// percent returns the share of jobs completed in time, in percent.
func percent(t goodputCount) float64 {
	if t.offered == 0 {
		return 0
	}
	return 100 * float64(t.inTime) / float64(t.offered)
}

// checkAgainstBaselines checks one scenario's goodput and wasted prefill against
// the best baseline, and the lookups' wait against their service time.
func (b *report) checkAgainstBaselines(s site, c scenario, results map[string]runResult) {
	own := results[ownPolicy]
	bestGoodput, leastWaste := 0.0, -1.0
	for name, r := range results {
		if name == ownPolicy {
			continue
		}
		bestGoodput = max(bestGoodput, r.goodput)
		if leastWaste < 0 || r.wastedPrefill() < leastWaste {
			leastWaste = r.wastedPrefill()
		}
	}
	circumstances := fmt.Sprintf("%s at %.1f", c.name, c.load)
	if c.straggler {
		ratio := own.goodput / bestGoodput
		ceiling := own.offeredRate / bestGoodput
		b.addCheck(s, "goodput over the best baseline's, "+circumstances, "at least 1.30", fmt.Sprintf("%.2f (ceiling %.2f)", ratio, ceiling), ratio >= minGoodputRatio)
	}
	if c.load >= 0.9 {
		ratio := own.wastedPrefill() / leastWaste
		b.addCheck(s, "wasted prefill over the best baseline's, "+circumstances, "at most 0.50", fmt.Sprintf("%.2f", ratio), ratio <= maxWasteRatio)
	}
	if c.load == 0.9 {
		ratio := float64(own.lookupWaitP99) / float64(own.lookupService)
		b.addCheck(s, "lookups' p99 wait over their service time, "+circumstances, "at most 3.00", fmt.Sprintf("%.2f", ratio), ratio <= maxWaitRatio)
	}
}

// checkTopTier compares the highest tier's goodput at twice the capacity with
// that at a load of 0.1.
func (b *report) checkTopTier(s site, rate float64) {
	p := policies()[len(policies())-1]
	idle := runScenario(s, scenario{load: 0.1}, p, rate, benchSeed)
	busy := runScenario(s, scenario{load: 2}, p, rate, benchSeed)
	ratio := percent(busy.tiers[0]) / percent(idle.tiers[0])
	b.addCheck(s, "highest tier's goodput at 2.0 over that unloaded (load 0.1)", "at least 0.99", fmt.Sprintf("%.3f", ratio), ratio >= minTopTierRatio)
}

// runHeavyWorkspace runs a load of 0.9 in which one workspace sends heavyFactor
// times its share, checks what other workspaces of its tier lose, and returns
// the tier inversions.
func (b *report) runHeavyWorkspace(s site, rate float64) int {
	p := policies()[len(policies())-1]
	usual := scenario{name: "share", load: 0.9}
	heavy := scenario{name: "20 times its share", load: 0.9, heavyFactor: heavyFactor}
	before := runScenario(s, usual, p, rate, benchSeed)
	after := runScenario(s, heavy, p, rate, benchSeed)
	b.writeRow(s, heavy, ownPolicy, after)
	tier := s.workspaces[s.heavyWorkspace].tier
	for w, spec := range s.workspaces {
		if w == s.heavyWorkspace || spec.tier != tier {
			continue
		}
		loss := 1 - percent(after.workspaces[w])/percent(before.workspaces[w])
		b.addCheck(s, fmt.Sprintf("goodput that %s loses beside %s at 20 times its share", spec.name, s.workspaces[s.heavyWorkspace].name),
			"at most 5%", fmt.Sprintf("%.1f%%", 100*loss), loss <= maxNeighbourLoss)
	}
	return after.inversions
}

func (b *report) writeTargets() {
	b.writeLine("### Targets\n")
	b.writeLine("| site | what | target | measured | |")
	b.writeLine("|---|---|---|---|---|")
	for _, c := range b.checks {
		verdict := "not met"
		if c.met {
			verdict = "met"
		}
		b.writeLine("| %s | %s | %s | %s | %s |", c.site, c.quantity, c.target, c.measured, verdict)
	}
}
