package capacity

import (
	"fmt"
	"sort"
	"strings"
)

// Names of the sections of docs/CAPACITY.md that hold generated tables.
const (
	markerSlopes       = "slopes"
	markerRequirements = "needs"
	markerTotals       = "totals"
	markerFailures     = "failures"
	markerLatency      = "latency"
)

// MarkerError reports a page that lacks the markers of a section.
type MarkerError struct {
	Marker string
}

// Error returns the fault with its remedy.
func (e *MarkerError) Error() string {
	return fmt.Sprintf("the page lacks the lines %q and %q; put them back", beginMarker(e.Marker), endMarker(e.Marker))
}

func beginMarker(marker string) string { return "<!-- begin " + marker + " -->" }
func endMarker(marker string) string   { return "<!-- end " + marker + " -->" }

// Render returns the page with its tables generated from the points. It returns
// a *SlopeError for a missing series and a *MarkerError for a missing section.
func Render(page string, points []Point) (string, error) {
	slopes := Fit(points)
	requirements, err := Requirements(slopes)
	if err != nil {
		return "", err
	}
	failures, err := Failures(slopes)
	if err != nil {
		return "", err
	}
	sections := []struct{ marker, body string }{
		{markerSlopes, slopeTable(slopes)},
		{markerRequirements, requirementTable(requirements)},
		{markerTotals, totalTable(requirements)},
		{markerFailures, failureTable(failures)},
		{markerLatency, latencyTable(points)},
	}
	for _, s := range sections {
		page, err = replaceSection(page, s.marker, s.body)
		if err != nil {
			return "", err
		}
	}
	return page, nil
}

// replaceSection replaces the text between a section's markers.
func replaceSection(page, marker, body string) (string, error) {
	before, rest, ok := strings.Cut(page, beginMarker(marker))
	_, after, ok2 := strings.Cut(rest, endMarker(marker))
	if !ok || !ok2 {
		return "", &MarkerError{Marker: marker}
	}
	return before + beginMarker(marker) + "\n" + body + endMarker(marker) + after, nil
}

// slopeTable formats the fitted slopes as a Markdown table, sorted by series.
func slopeTable(slopes map[string]Slope) string {
	names := make([]string, 0, len(slopes))
	for name := range slopes {
		names = append(names, name)
	}
	sort.Strings(names)
	b := strings.Builder{}
	b.WriteString("| series | over | base | per unit | residual | unit | sizes | largest |\n|---|---|---:|---:|---:|---|---:|---:|\n")
	for _, name := range names {
		s := slopes[name]
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s | %d | %s |\n", s.Series, s.SizeUnit, formatNumber(s.Base), formatNumber(s.PerUnit), formatNumber(s.Residual), s.Unit, s.Points, formatNumber(s.Largest))
	}
	return b.String()
}

// requirementTable formats the requirements of all roles as a Markdown table.
func requirementTable(requirements []Requirement) string {
	b := strings.Builder{}
	b.WriteString("| role | counts as | mechanism | state | messages/s | wire B/s | core | reckoned from |\n|---|---|---|---:|---:|---:|---:|---|\n")
	for _, r := range requirements {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s | %s |\n", r.Role, r.Class, r.Mechanism, bytesText(r.StateBytes), formatNumber(r.MessagesPerSec), formatNumber(r.WireBytesPerSec), formatPercent(r.CoreShare), r.Derivation)
	}
	return b.String()
}

// totalTable sums the requirements of the control roles that every daemon has,
// and formats them with their budgets as a Markdown table.
func totalTable(requirements []Requirement) string {
	total := Requirement{}
	for _, r := range requirements {
		if r.Class != Control || r.OnReservedInstance {
			continue
		}
		total.StateBytes += r.StateBytes
		total.WireBytesPerSec += r.WireBytesPerSec
		total.CoreShare += r.CoreShare
	}
	b := strings.Builder{}
	b.WriteString("| what | need | budget | ratio | |\n|---|---:|---:|---:|---|\n")
	writeRow := func(quantity, need, budget string, ratio float64) {
		status := ""
		if ratio > 1 {
			status = "**red**"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %.2f | %s |\n", quantity, need, budget, ratio, status)
	}
	writeRow("core for control, a daemon", formatPercent(total.CoreShare), formatPercent(budgetCoreShare), total.CoreShare/budgetCoreShare)
	writeRow("memory for control, a daemon", bytesText(total.StateBytes), bytesText(budgetMemoryBytes), total.StateBytes/budgetMemoryBytes)
	writeRow("wire for control, a daemon", formatNumber(total.WireBytesPerSec)+" B/s", formatNumber(budgetWireBytesPerSec)+" B/s", total.WireBytesPerSec/budgetWireBytesPerSec)
	writeRow("instances set aside", fmt.Sprint(replicas), fmt.Sprint(reservedInstances), replicas/float64(reservedInstances))
	entry := requirements[entryIndex(requirements)]
	writeRow("cores for an entry's requests", fmt.Sprintf("%.2f", entry.CoreShare), fmt.Sprintf("%.2f", budgetRequestCores), entry.CoreShare/budgetRequestCores)
	return b.String()
}

// entryIndex returns the index of the entry role, or 0 if it is missing.
func entryIndex(requirements []Requirement) int {
	for i, r := range requirements {
		if r.Role == entryRole {
			return i
		}
	}
	return 0
}

func formatPercent(v float64) string {
	return formatNumber(v*100) + "%"
}

// bytesText formats a number of bytes with a binary unit.
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
