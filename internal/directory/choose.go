package directory

import (
	"cmp"
	"math"
	"slices"

	"github.com/verbenastep/verbenastep/internal/port"
)

const (
	// maxAddresses is the maximum number of addresses in an answer.
	maxAddresses = 8
	// minSpareCapacity is the spare capacity assumed of a fully loaded daemon, so
	// that a stale load report does not remove it from the answers.
	minSpareCapacity = 0.02
)

// distance is how far a daemon is from a caller; smaller values are nearer.
type distance int

const (
	sameDataCentre distance = iota
	sameRegion
	otherRegion
)

// candidate is a daemon with its sort keys: distance, then sampling key.
type candidate struct {
	address   string
	distance  distance
	sampleKey float64
}

// choose lists the live entries that don't drain and have a configuration, at
// most maxAddresses, the nearest first. Entries at the same distance are shuffled
// with their spare capacity as weight, so that callers spread in proportion to
// it, by Efraimidis and Spirakis' weighted sampling; random returns numbers in
// [0, 1).
func choose(live []port.Member, dataCentre string, random func() float64) []string {
	region := regionOf(live, dataCentre)
	minVersion := requiredVersion(live)
	all := []candidate{}
	for _, m := range live {
		if m.Leaving || m.Callers == "" || m.Version < minVersion {
			continue
		}
		spare := max(minSpareCapacity, 1-m.Load)
		all = append(all, candidate{address: m.Callers, distance: distanceTo(m, region, dataCentre), sampleKey: -math.Log(1-random()) / spare})
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.sampleKey, b.sampleKey))
	})
	out := []string{}
	for _, c := range all[:min(len(all), maxAddresses)] {
		out = append(out, c.address)
	}
	return out
}

// requiredVersion returns the minimum configuration version of a listed entry: 1
// if any daemon has a configuration, otherwise 0. A daemon that has just started
// knows no workspace yet and would refuse every caller.
func requiredVersion(live []port.Member) uint64 {
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
	return otherRegion
}

// regionOf returns the region of any live daemon in a data centre, or an empty
// string if there is none.
func regionOf(live []port.Member, dataCentre string) string {
	for _, m := range live {
		if m.DataCentre == dataCentre {
			return m.Region
		}
	}
	return ""
}
