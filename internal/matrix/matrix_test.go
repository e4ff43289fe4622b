package matrix

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"testing/synctest"
)

var writePath = flag.String("write", "", "write the tables to `FILE`")

const (
	pairSeed  = 1
	pairCount = 300
)

// tablePage collects the tables that -write writes.
var tablePage = strings.Builder{}

func TestMain(m *testing.M) {
	flag.Parse()
	code := m.Run()
	if *writePath != "" {
		if err := os.WriteFile(*writePath, []byte(header+tablePage.String()+writtenByHand(*writePath)), 0o600); err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = 1
		}
	}
	os.Exit(code)
}

// reportsHeading begins the part of the page that is written by hand.
const reportsHeading = "\n## Reports of other operators\n"

// writtenByHand returns the part of an existing page that -write keeps.
func writtenByHand(path string) string {
	page, err := os.ReadFile(path)
	if err != nil {
		return ""
	}
	_, reports, found := strings.Cut(string(page), reportsHeading)
	if !found {
		return ""
	}
	return reportsHeading + reports
}

const header = `# Every fault at every step

Written by ` + "`go test ./internal/matrix -write ../../docs/FAULTS.md`" + `. Each cell is one run, on
virtual time, of the real decisions behind small fakes; see the package's comment for
what is real and what is not. A cell gives how the caller's request ended (whole,
not_run, unknown) and the time from the fault, or the last of them, until every caller
had its end. BROKE names a broken promise, LATE a time above the row's bound; a dash
says why a cell can't be.
`

// runCellVirtually runs a cell in a synctest bubble of its own, on virtual
// time.
func runCellVirtually(t *testing.T, k requestKind, injections ...injection) cellResult {
	t.Helper()
	v := cellResult{}
	synctest.Test(t, func(*testing.T) { v = runCell(k, 1, injections...) })
	return v
}

func requirePassed(t *testing.T, v cellResult) {
	t.Helper()
	if !v.passed() {
		t.Errorf("%s, %s request, at step %s: %s; bound %v; violations %v; callers without a result %v", v.fault, v.kind, v.step, v, v.bound, v.violations, v.unendedCallers)
	}
}

func TestFaultMatrix(t *testing.T) {
	for times, name := range []string{"once", "twice in a row"} {
		t.Run(name, func(t *testing.T) {
			all, counts := []cellResult{}, cellCounts{}
			for _, f := range faults() {
				for _, k := range requestKinds() {
					t.Run(f.name+" "+string(k), func(t *testing.T) {
						for _, s := range requestSteps() {
							v := runCellVirtually(t, k, injection{f, s, times + 1})
							requirePassed(t, v)
							counts.add(v)
							all = append(all, v)
						}
					})
				}
			}
			fmt.Fprintf(&tablePage, "\n## A request, each fault %s\n\n%d cells held, %d failed, %d can't be.\n\n%s", name, counts.held, counts.failed, counts.skipped, formatTable(requestSteps(), all))
		})
	}
}

func TestFaultsInADrain(t *testing.T) {
	all, counts := []cellResult{}, cellCounts{}
	for _, f := range faults() {
		for _, k := range requestKinds() {
			t.Run(f.name+" "+string(k), func(t *testing.T) {
				for _, s := range drainSteps() {
					v := cellResult{}
					synctest.Test(t, func(*testing.T) { v = runDrain(k, f, s) })
					requirePassed(t, v)
					counts.add(v)
					all = append(all, v)
				}
			})
		}
	}
	fmt.Fprintf(&tablePage, "\n## A graceful shutdown of the dispatcher's daemon, requests coming in\n\n%d cells held, %d failed, %d can't be.\n\n%s", counts.held, counts.failed, counts.skipped, formatTable(drainSteps(), all))
}

func TestFaultsInAnApply(t *testing.T) {
	for times, name := range []string{"once", "twice in a row"} {
		t.Run(name, func(t *testing.T) {
			all, counts := []cellResult{}, cellCounts{}
			for _, f := range applyFaults() {
				t.Run(f.name, func(t *testing.T) {
					for _, s := range applySteps() {
						v := cellResult{}
						synctest.Test(t, func(*testing.T) { v = runApply(f, s, times+1) })
						requirePassed(t, v)
						counts.add(v)
						all = append(all, v)
					}
				})
			}
			fmt.Fprintf(&tablePage, "\n## An apply of a configuration, each fault %s\n\n%d cells held, %d failed, %d can't be.\n\n%s", name, counts.held, counts.failed, counts.skipped, formatTable(applySteps(), all))
		})
	}
}

func TestFaultPairs(t *testing.T) {
	rng := rand.New(rand.NewPCG(pairSeed, pairSeed))
	counts, failed := cellCounts{}, strings.Builder{}
	for range pairCount {
		k, injections := randomPair(rng)
		name := fmt.Sprintf("%s at %s and %s at %s, %s", injections[0].fault.name, injections[0].step, injections[1].fault.name, injections[1].step, k)
		t.Run(name, func(t *testing.T) {
			v := runCellVirtually(t, k, injections...)
			requirePassed(t, v)
			counts.add(v)
			if !v.passed() {
				fmt.Fprintf(&failed, "- %s: %s\n", name, v)
			}
		})
	}
	fmt.Fprintf(&tablePage, "\n## Pairs of different faults\n\n%d pairs drawn with seed %d: %d held, %d failed, %d can't be, as the first changed the path.\n\n%s", pairCount, pairSeed, counts.held, counts.failed, counts.skipped, failed.String())
}

const sessionCount = 500

func TestRandomSessions(t *testing.T) {
	broken, injected := 0, 0
	for seed := range uint64(sessionCount) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			v, faults := cellResult{}, []string(nil)
			synctest.Test(t, func(*testing.T) { v, faults = runSession(requestKinds()[seed%2], seed) })
			injected += len(faults)
			if len(v.violations) > 0 || len(v.unendedCallers) > 0 {
				broken++
				t.Errorf("faults %v: violations %v; callers without a result %v", faults, v.violations, v.unendedCallers)
			}
		})
	}
	fmt.Fprintf(&tablePage, "\n## Random sessions\n\n%d sessions, seeds from 0, with %d faults in all: %d broke a promise or left a caller without an end.\n", sessionCount, injected, broken)
}
