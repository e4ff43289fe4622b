package matrix

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// requestKinds returns the kinds of the subject request.
func requestKinds() []requestKind { return []requestKind{streamRequest, serviceCall} }

// randomPair returns two different faults, each at a random step, for a random
// kind of request.
func randomPair(rng *rand.Rand) (requestKind, []injection) {
	all, columns := faults(), requestSteps()
	i := rng.IntN(len(all))
	j := (i + 1 + rng.IntN(len(all)-1)) % len(all)
	return requestKinds()[rng.IntN(2)], []injection{{all[i], columns[rng.IntN(len(columns))], 1}, {all[j], columns[rng.IntN(len(columns))], 1}}
}

// cellCounts counts cells by result.
type cellCounts struct {
	held, skipped, failed int
}

func (t *cellCounts) add(v cellResult) {
	switch {
	case v.skipReason != "":
		t.skipped++
	case v.passed():
		t.held++
	default:
		t.failed++
	}
}

// formatTable returns the results as a Markdown table with a row for each fault
// and request kind.
func formatTable(columns []step, results []cellResult) string {
	b := strings.Builder{}
	b.WriteString("| fault | subject | bound |")
	for _, s := range columns {
		fmt.Fprintf(&b, " %s |", s)
	}
	b.WriteString("\n|---|---|---|" + strings.Repeat("---|", len(columns)) + "\n")
	for i, v := range results {
		if i%len(columns) == 0 {
			fmt.Fprintf(&b, "| %s | %s | %.1f s |", v.fault, v.kind, v.rowBound.Seconds())
		}
		fmt.Fprintf(&b, " %s |", v)
		if (i+1)%len(columns) == 0 {
			b.WriteString("\n")
		}
	}
	return b.String()
}
