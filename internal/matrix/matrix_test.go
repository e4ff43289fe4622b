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

var write = flag.String("write", "", "write the tables to `FILE`")

const (
	pairSeed = 1
	pairs    = 300
)

// page collects what -write writes.
var page = strings.Builder{}

func TestMain(m *testing.M) {
	flag.Parse()
	code := m.Run()
	if *write != "" {
		if err := os.WriteFile(*write, []byte(header+page.String()), 0o600); err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = 1
		}
	}
	os.Exit(code)
}

const header = `# Every fault at every step

Written by ` + "`go test ./internal/matrix -write ../../docs/FAULTS.md`" + `. Each cell is one run, on
virtual time, of the real decisions behind small fakes; see the package's comment for
what is real and what is not. A cell gives how the caller's request ended (whole,
not_run, unknown) and the time from the fault, or the last of them, until every caller
had its end. BROKE names a broken promise, LATE a time above the row's bound; a dash
says why a cell can't be.
`

// cell runs in a bubble of its own, on virtual time.
func cell(t *testing.T, k kind, blows ...blow) verdict {
	t.Helper()
	v := verdict{}
	synctest.Test(t, func(*testing.T) { v = runCell(k, 1, blows...) })
	return v
}

func check(t *testing.T, v verdict) {
	t.Helper()
	if !v.held() {
		t.Errorf("%s, %s, at %s: %s; bound %v; %v %v", v.fault, v.kind, v.step, v, v.bound, v.broken, v.hung)
	}
}

func TestFaultMatrix(t *testing.T) {
	for times, name := range []string{"once", "twice in a row"} {
		t.Run(name, func(t *testing.T) {
			all, sum := []verdict{}, tally{}
			for _, f := range faults() {
				for _, k := range kinds() {
					t.Run(f.name+" "+string(k), func(t *testing.T) {
						for _, s := range steps() {
							v := cell(t, k, blow{f, s, times + 1})
							check(t, v)
							sum.add(v)
							all = append(all, v)
						}
					})
				}
			}
			fmt.Fprintf(&page, "\n## A request, each fault %s\n\n%d cells held, %d failed, %d can't be.\n\n%s", name, sum.held, sum.failed, sum.skipped, table(steps(), all))
		})
	}
}

func TestFaultsInADrain(t *testing.T) {
	all, sum := []verdict{}, tally{}
	for _, f := range faults() {
		for _, k := range kinds() {
			t.Run(f.name+" "+string(k), func(t *testing.T) {
				for _, s := range drainSteps() {
					v := verdict{}
					synctest.Test(t, func(*testing.T) { v = runDrain(k, f, s) })
					check(t, v)
					sum.add(v)
					all = append(all, v)
				}
			})
		}
	}
	fmt.Fprintf(&page, "\n## A graceful shutdown of the dispatcher's daemon, requests coming in\n\n%d cells held, %d failed, %d can't be.\n\n%s", sum.held, sum.failed, sum.skipped, table(drainSteps(), all))
}

func TestFaultsInAnApply(t *testing.T) {
	for times, name := range []string{"once", "twice in a row"} {
		t.Run(name, func(t *testing.T) {
			all, sum := []verdict{}, tally{}
			for _, f := range siteFaults() {
				t.Run(f.name, func(t *testing.T) {
					for _, s := range applySteps() {
						v := verdict{}
						synctest.Test(t, func(*testing.T) { v = runApply(f, s, times+1) })
						check(t, v)
						sum.add(v)
						all = append(all, v)
					}
				})
			}
			fmt.Fprintf(&page, "\n## An apply of a configuration, each fault %s\n\n%d cells held, %d failed, %d can't be.\n\n%s", name, sum.held, sum.failed, sum.skipped, table(applySteps(), all))
		})
	}
}

func TestFaultPairs(t *testing.T) {
	rng := rand.New(rand.NewPCG(pairSeed, pairSeed))
	sum, failed := tally{}, strings.Builder{}
	for range pairs {
		k, blows := pair(rng)
		name := fmt.Sprintf("%s at %s and %s at %s, %s", blows[0].fault.name, blows[0].step, blows[1].fault.name, blows[1].step, k)
		t.Run(name, func(t *testing.T) {
			v := cell(t, k, blows...)
			check(t, v)
			sum.add(v)
			if !v.held() {
				fmt.Fprintf(&failed, "- %s: %s\n", name, v)
			}
		})
	}
	fmt.Fprintf(&page, "\n## Pairs of different faults\n\n%d pairs drawn with seed %d: %d held, %d failed, %d can't be, as the first changed the path.\n\n%s", pairs, pairSeed, sum.held, sum.failed, sum.skipped, failed.String())
}

const sessions = 500

func TestRandomSessions(t *testing.T) {
	broken, struck := 0, 0
	for seed := range uint64(sessions) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			v, what := verdict{}, []string(nil)
			synctest.Test(t, func(*testing.T) { v, what = runSession(kinds()[seed%2], seed) })
			struck += len(what)
			if len(v.broken) > 0 || len(v.hung) > 0 {
				broken++
				t.Errorf("%v: %v %v", what, v.broken, v.hung)
			}
		})
	}
	fmt.Fprintf(&page, "\n## Random sessions\n\n%d sessions, seeds from 0, with %d faults in all: %d broke a promise or left a caller without an end.\n", sessions, struck, broken)
}
