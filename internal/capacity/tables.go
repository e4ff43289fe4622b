package capacity

import (
	"fmt"
	"sort"
	"strings"
)

// Markers in docs/CAPACITY.md between which tables are written.
const (
	markSlopes   = "slopes"
	markNeeds    = "needs"
	markTotals   = "totals"
	markFailures = "failures"
	markLatency  = "latency"
)

// MarkerError says that the page lacks a marker.
type MarkerError struct {
	Marker string
}

// Error names the remedy.
func (e *MarkerError) Error() string {
	return fmt.Sprintf("the page lacks the lines %q and %q; put them back", begin(e.Marker), end(e.Marker))
}

func begin(marker string) string { return "<!-- begin " + marker + " -->" }
func end(marker string) string   { return "<!-- end " + marker + " -->" }

// Render returns the page with its tables made from the points.
func Render(page string, points []Point) (string, error) {
	slopes := Fit(points)
	needs, err := Needs(slopes)
	if err != nil {
		return "", err
	}
	failures, err := Failures(slopes)
	if err != nil {
		return "", err
	}
	sections := []struct{ marker, body string }{
		{markSlopes, slopeTable(slopes)},
		{markNeeds, needTable(needs)},
		{markTotals, totalTable(needs)},
		{markFailures, failureTable(failures)},
		{markLatency, latencyTable(points)},
	}
	for _, s := range sections {
		page, err = replace(page, s.marker, s.body)
		if err != nil {
			return "", err
		}
	}
	return page, nil
}

func replace(page, marker, body string) (string, error) {
	before, rest, ok := strings.Cut(page, begin(marker))
	_, after, ok2 := strings.Cut(rest, end(marker))
	if !ok || !ok2 {
		return "", &MarkerError{Marker: marker}
	}
	return before + begin(marker) + "\n" + body + end(marker) + after, nil
}

func slopeTable(slopes map[string]Slope) string {
	names := make([]string, 0, len(slopes))
	for n := range slopes {
		names = append(names, n)
	}
	sort.Strings(names)
	b := strings.Builder{}
	b.WriteString("| series | over | base | per unit | residual | unit | sizes | largest |\n|---|---|---:|---:|---:|---|---:|---:|\n")
	for _, n := range names {
		s := slopes[n]
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s | %d | %s |\n", s.Series, s.Over, number(s.Base), number(s.PerUnit), number(s.Error), s.Unit, s.Points, number(s.Largest))
	}
	return b.String()
}

func needTable(needs []Need) string {
	b := strings.Builder{}
	b.WriteString("| role | counts as | mechanism | state | messages/s | wire B/s | core | reckoned from |\n|---|---|---|---:|---:|---:|---:|---|\n")
	for _, n := range needs {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s | %s |\n", n.Role, n.Class, n.Mechanism, bytesText(n.State), number(n.Messages), number(n.Wire), percent(n.Core), n.Note)
	}
	return b.String()
}

// totalTable sums control over the roles that every daemon has, and compares
// it with the budget.
func totalTable(needs []Need) string {
	total := Need{}
	for _, n := range needs {
		if n.Class != Control || n.SetAside {
			continue
		}
		total.State += n.State
		total.Wire += n.Wire
		total.Core += n.Core
	}
	b := strings.Builder{}
	b.WriteString("| what | need | budget | ratio | |\n|---|---:|---:|---:|---|\n")
	row := func(what, need, budget string, ratio float64) {
		mark := ""
		if ratio > 1 {
			mark = "**red**"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %.2f | %s |\n", what, need, budget, ratio, mark)
	}
	row("core for control, a daemon", percent(total.Core), percent(budgetCore), total.Core/budgetCore)
	row("memory for control, a daemon", bytesText(total.State), bytesText(budgetMemory), total.State/budgetMemory)
	row("wire for control, a daemon", number(total.Wire)+" B/s", number(budgetWire)+" B/s", total.Wire/budgetWire)
	row("instances set aside", fmt.Sprint(replicas), fmt.Sprint(setAside), replicas/float64(setAside))
	entry := needs[entryIndex(needs)]
	row("cores for an entry's requests", fmt.Sprintf("%.2f", entry.Core), fmt.Sprintf("%.2f", pathCores), entry.Core/pathCores)
	return b.String()
}

func entryIndex(needs []Need) int {
	for i, n := range needs {
		if n.Role == roleEntry {
			return i
		}
	}
	return 0
}

func percent(v float64) string {
	return number(v*100) + "%"
}

func bytesText(v float64) string {
	switch {
	case v >= 1<<30:
		return fmt.Sprintf("%.2f GiB", v/(1<<30))
	case v >= 1<<20:
		return fmt.Sprintf("%.2f MiB", v/(1<<20))
	case v >= 1<<10:
		return fmt.Sprintf("%.1f KiB", v/(1<<10))
	}
	return fmt.Sprintf("%.0f B", v)
}
