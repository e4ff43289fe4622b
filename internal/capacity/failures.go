package capacity

import (
	"fmt"
	"strings"
)

// Assumptions about failures that the target sizes do not state.
const (
	// daemonsPerRack is how many daemons share a rack or switch.
	daemonsPerRack = 10
	// takeoverSeconds is the time from a dispatcher's crash to its successor's
	// first grant: the lease, its margin, and the wait for the entries to connect.
	takeoverSeconds = 3.2
	daysPerYear     = 365
)

// Failure is the cost of one kind of failure or restart.
type Failure struct {
	Event string
	// PerYear is the number of events a year.
	PerYear float64
	// Daemons is how many daemons one event stops at once.
	Daemons float64
	// StreamsCut counts streams whose entry is lost; callers with their own key
	// resume them at another entry.
	StreamsCut float64
	// DispatchersMoved counts dispatchers whose lease another daemon takes over.
	DispatchersMoved float64
	// RequestsReoffered counts requests that entries offer to the successors,
	// ReofferBytes is the size of these offers.
	RequestsReoffered float64
	ReofferBytes      float64
	// RequestsDelayed counts requests that arrive before the successor grants.
	RequestsDelayed float64
	// PeakReofferBytes is the most bytes that one successor receives at once.
	PeakReofferBytes float64
}

// Failures calculates the cost of each kind of failure and restart at the target
// size. It returns a *SlopeError if a series is missing.
func Failures(slopes map[string]Slope) ([]Failure, error) {
	lookup := &slopeLookup{slopes: slopes}
	offerBytes := lookup.cost("wire.offer", 1)
	kinds := []struct {
		event   string
		perYear float64
		daemons float64
		drained bool
	}{
		{"an instance fails", failuresPerDay * daysPerYear, 1, false},
		{"an instance is restarted or replaced", restartsPerDay * daysPerYear, 1, true},
		{"a rack or switch goes", daysPerYear / 7, daemonsPerRack, false},
		{"a data centre goes", 6, float64(daemons) / dataCentres, false},
		{"a region is parted for an hour", 12, daemonsPerRegion, false},
	}
	out := []Failure{}
	for _, kind := range kinds {
		f := Failure{Event: kind.event, PerYear: kind.perYear, Daemons: kind.daemons}
		f.DispatchersMoved = kind.daemons * pools / daemons
		if !kind.drained {
			f.StreamsCut = kind.daemons * requestsPerSecPerEntry * streamSeconds
		}
		f.RequestsReoffered = f.DispatchersMoved * requestsPerSecPerPool * streamSeconds
		f.ReofferBytes = f.RequestsReoffered * offerBytes
		f.RequestsDelayed = f.DispatchersMoved * requestsPerSecPerPool * takeoverSeconds
		f.PeakReofferBytes = requestsPerSecPerPool * streamSeconds * offerBytes
		out = append(out, f)
	}
	return out, lookup.err
}

// failureTable formats the failures as a Markdown table.
func failureTable(failures []Failure) string {
	b := strings.Builder{}
	b.WriteString("| event | a year | daemons | streams cut | dispatchers moved | requests offered again | bytes for it | requests delayed up to 3.2 s | bytes to one successor |\n")
	b.WriteString("|---|---:|---:|---:|---:|---:|---:|---:|---:|\n")
	for _, f := range failures {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s | %s | %s |\n",
			f.Event, formatNumber(f.PerYear), formatNumber(f.Daemons), formatNumber(f.StreamsCut), formatNumber(f.DispatchersMoved),
			formatNumber(f.RequestsReoffered), bytesText(f.ReofferBytes), formatNumber(f.RequestsDelayed), bytesText(f.PeakReofferBytes))
	}
	return b.String()
}

// latencyTable formats the measured latency that the daemon adds, without a fit,
// as a Markdown table.
func latencyTable(points []Point) string {
	b := strings.Builder{}
	b.WriteString("| added by the daemon | streams at once | ms | target ms |\n|---|---:|---:|---:|\n")
	targets := map[string]string{"entry.first.p95": "1", "entry.gap.p95": "0.2"}
	for _, p := range points {
		if !strings.HasPrefix(p.Series, "entry.first.") && !strings.HasPrefix(p.Series, "entry.gap.") {
			continue
		}
		fmt.Fprintf(&b, "| `%s` | %s | %.3f | %s |\n", p.Series, formatNumber(p.Size), p.Value/1e6, targets[p.Series])
	}
	return b.String()
}
