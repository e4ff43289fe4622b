package directory

import (
	"cmp"
	"math"
	"slices"

	"github.com/verbenastep/verbenastep/internal/port"
)

const (
	// maxAddresses bounds an answer.
	maxAddresses = 8
	// leastSpare is the spare capacity that a fully loaded daemon counts with,
	// so that stale load reports hide nobody.
	leastSpare = 0.02
)

// distance orders daemons as a caller sees them.
type distance int

const (
	sameDataCentre distance = iota
	sameRegion
	elsewhere
)

// candidate is a daemon with its place in the answer.
type candidate struct {
	address  string
	distance distance
	draw     float64
}

// choose lists live entries that don't drain and have a configuration: nearest first, and at one
// distance in an order drawn by spare capacity, so that many callers spread in
// proportion to it. The draw is Efraimidis and Spirakis' weighted sampling;
// random returns numbers in [0, 1).
func choose(live []port.Member, dataCentre string, random func() float64) []string {
	region := regionOf(live, dataCentre)
	oldest := leastVersion(live)
	all := []candidate{}
	for _, m := range live {
		if m.Leaving || m.Callers == "" || m.Version < oldest {
			continue
		}
		spare := max(leastSpare, 1-m.Load)
		all = append(all, candidate{address: m.Callers, distance: distanceTo(m, region, dataCentre), draw: -math.Log(1-random()) / spare})
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.draw, b.draw))
	})
	out := []string{}
	for _, c := range all[:min(len(all), maxAddresses)] {
		out = append(out, c.address)
	}
	return out
}

// leastVersion is 1 once any daemon has a configuration: one that has just
// started knows no workspace yet and would refuse every caller.
func leastVersion(live []port.Member) uint64 {
	for _, m := range live {
		if m.Version > 0 {
			return 1
		}
	}
	return 0
}

func distanceTo(m port.Member, region, dataCentre string) distance {
	switch {
	case m.DataCentre == dataCentre:
		return sameDataCentre
	case m.Region == region:
		return sameRegion
	}
	return elsewhere
}

// regionOf finds a data centre's region by any daemon in it.
func regionOf(live []port.Member, dataCentre string) string {
	for _, m := range live {
		if m.DataCentre == dataCentre {
			return m.Region
		}
	}
	return ""
}
