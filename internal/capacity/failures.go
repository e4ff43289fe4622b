package capacity

import (
	"fmt"
	"strings"
)

// What the letter leaves open about failures, fixed here for the reckoning.
const (
	// rackDaemons is how many daemons share a rack or switch.
	rackDaemons = 10
	// takeoverSeconds is from a dispatcher's death to its successor's first
	// grant: the lease, its margin, and settling.
	takeoverSeconds = 3.2
	// daysPerYear and the rates below turn events into a year's.
	daysPerYear = 365
)

// Failure is what one kind of event costs.
type Failure struct {
	Event   string
	PerYear float64
	// Daemons are lost or restarted at once.
	Daemons float64
	// Cut is streams whose entry is gone; callers with their own key pick them
	// up at another entry.
	Cut float64
	// Leases is how many dispatchers move.
	Leases float64
	// Reoffered is requests that entries offer again, and Bytes their size.
	Reoffered float64
	Bytes     float64
	// Delayed is how many requests wait for a successor.
	Delayed float64
	// PeakHello is the most bytes that one new dispatcher receives at once.
	PeakHello float64
}

// Failures reckons the events that the letter lists.
func Failures(slopes map[string]Slope) ([]Failure, error) {
	b := &book{slopes: slopes}
	offer := b.at("wire.offer", 1)
	kinds := []struct {
		event   string
		perYear float64
		daemons float64
		drained bool
	}{
		{"an instance fails", failuresPerDay * daysPerYear, 1, false},
		{"an instance is restarted or replaced", restartsPerDay * daysPerYear, 1, true},
		{"a rack or switch goes", daysPerYear / 7, rackDaemons, false},
		{"a data centre goes", 6, float64(daemons) / dataCentres, false},
		{"a region is parted for an hour", 12, daemonsPerRegion, false},
	}
	out := []Failure{}
	for _, k := range kinds {
		f := Failure{Event: k.event, PerYear: k.perYear, Daemons: k.daemons}
		f.Leases = k.daemons * pools / daemons
		if !k.drained {
			f.Cut = k.daemons * requestsPerEntry * streamSeconds
		}
		f.Reoffered = f.Leases * requestsPerPool * streamSeconds
		f.Bytes = f.Reoffered * offer
		f.Delayed = f.Leases * requestsPerPool * takeoverSeconds
		f.PeakHello = requestsPerPool * streamSeconds * offer
		out = append(out, f)
	}
	return out, b.err
}

func failureTable(failures []Failure) string {
	b := strings.Builder{}
	b.WriteString("| event | a year | daemons | streams cut | dispatchers moved | requests offered again | bytes for it | requests delayed up to 3.2 s | bytes to one successor |\n")
	b.WriteString("|---|---:|---:|---:|---:|---:|---:|---:|---:|\n")
	for _, f := range failures {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s | %s | %s |\n",
			f.Event, number(f.PerYear), number(f.Daemons), number(f.Cut), number(f.Leases),
			number(f.Reoffered), bytesText(f.Bytes), number(f.Delayed), bytesText(f.PeakHello))
	}
	return b.String()
}

// latencyTable lists what the daemon adds, as measured, without a fit.
func latencyTable(points []Point) string {
	b := strings.Builder{}
	b.WriteString("| added by the daemon | streams at once | ms | target ms |\n|---|---:|---:|---:|\n")
	targets := map[string]string{"entry.first.p95": "1", "entry.gap.p95": "0.2"}
	for _, p := range points {
		if !strings.HasPrefix(p.Series, "entry.first.") && !strings.HasPrefix(p.Series, "entry.gap.") {
			continue
		}
		fmt.Fprintf(&b, "| `%s` | %s | %.3f | %s |\n", p.Series, number(p.Size), p.Value/1e6, targets[p.Series])
	}
	return b.String()
}
