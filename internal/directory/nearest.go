package directory

import "github.com/verbenastep/verbenastep/internal/port"

const (
	// maxNearest is the maximum number of addresses in an answer.
	maxNearest = 64
	// minNearby is the minimum number of entries in an answer that is limited to a
	// data centre or region: with only one, the loss of that entry would leave the
	// callers none.
	minNearby = 2
)

// nearest lists the entries for callers of a data centre: those in it, or if they
// are fewer than minNearby those of its region, or else all. Callers pick one at
// random. regions maps data centres to regions.
func nearest(live []port.Member, regions map[string]string, dataCentre string) []string {
	local, regional, all := []string{}, []string{}, []string{}
	minVersion := requiredVersion(live)
	for _, m := range live {
		if m.Leaving || m.Callers == "" || m.Version < minVersion {
			continue
		}
		all = append(all, m.Callers)
		if m.Region == regions[dataCentre] {
			regional = append(regional, m.Callers)
		}
		if m.DataCentre == dataCentre {
			local = append(local, m.Callers)
		}
	}
	for _, list := range [][]string{local, regional, all} {
		if len(list) >= minNearby {
			return list[:min(len(list), maxNearest)]
		}
	}
	return all
}
