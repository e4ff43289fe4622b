package analyze

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// Print writes the report as tables. bySecond adds a line for each second.
func (r *Report) Print(w io.Writer, bySecond bool) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "pool\troute\tcause\trequests\tof 100")
	for _, g := range r.Groups {
		for _, cause := range slices.Sorted(maps.Keys(g.Causes)) {
			fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%.1f\n", g.Pool, g.Route, cause, g.Causes[cause], 100*float64(g.Causes[cause])/float64(g.Total))
		}
	}
	fmt.Fprintln(t, "\nfirst event, actual over expected\npool\trank\tupstream\trequests\tp10\tp50\tp90\tp99")
	for _, x := range r.Ranks {
		fmt.Fprintf(t, "%s\t%d\tall\t%d\t%.2f\t%.2f\t%.2f\t%.2f\n", x.Pool, x.Rank, x.Requests, x.P10, x.P50, x.P90, x.P99)
	}
	for _, x := range r.Upstreams {
		fmt.Fprintf(t, "%s\tall\t%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\n", x.Pool, x.Upstream, x.Requests, x.P10, x.P50, x.P90, x.P99)
	}
	if bySecond {
		fmt.Fprintln(t, "\nsecond\tcauses")
		for _, s := range r.Seconds {
			fmt.Fprintf(t, "%s\t%s\n", s.At.UTC().Format("15:04:05"), counts(s.Causes))
		}
	}
	return t.Flush()
}

// counts returns causes with their counts as a text.
func counts(causes map[string]int) string {
	out := []string{}
	for _, cause := range slices.Sorted(maps.Keys(causes)) {
		out = append(out, fmt.Sprintf("%s %d", cause, causes[cause]))
	}
	return strings.Join(out, "; ")
}
