package matrix

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// kinds lists the subject's kinds.
func kinds() []kind { return []kind{stream, call} }

// pair draws two different faults at two steps.
func pair(rng *rand.Rand) (kind, []blow) {
	all, at := faults(), steps()
	i := rng.IntN(len(all))
	j := (i + 1 + rng.IntN(len(all)-1)) % len(all)
	return kinds()[rng.IntN(2)], []blow{{all[i], at[rng.IntN(len(at))], 1}, {all[j], at[rng.IntN(len(at))], 1}}
}

// tally counts cells by outcome.
type tally struct {
	held, skipped, failed int
}

func (t *tally) add(v verdict) {
	switch {
	case v.skipped != "":
		t.skipped++
	case v.held():
		t.held++
	default:
		t.failed++
	}
}

// table writes verdicts as a table, a row for each fault and kind.
func table(columns []step, verdicts []verdict) string {
	b := strings.Builder{}
	b.WriteString("| fault | subject | bound |")
	for _, s := range columns {
		fmt.Fprintf(&b, " %s |", s)
	}
	b.WriteString("\n|---|---|---|" + strings.Repeat("---|", len(columns)) + "\n")
	for i, v := range verdicts {
		if i%len(columns) == 0 {
			fmt.Fprintf(&b, "| %s | %s | %.1f s |", v.fault, v.kind, v.allowed.Seconds())
		}
		fmt.Fprintf(&b, " %s |", v)
		if (i+1)%len(columns) == 0 {
			b.WriteString("\n")
		}
	}
	return b.String()
}
