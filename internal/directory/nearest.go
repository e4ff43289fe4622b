package directory

import "github.com/verbenastep/verbenastep/internal/port"

const (
	// maxNearest bounds an answer.
	maxNearest = 64
	// enoughNearby is how many entries of a data centre are enough for its
	// callers: with one fewer, the loss of one would leave none.
	enoughNearby = 2
)

// nearest lists the entries that callers of a data centre use: those there, or
// where these are too few those of the region, or all. Callers pick at random.
func nearest(live []port.Member, regions map[string]string, dataCentre string) []string {
	local, regional, all := []string{}, []string{}, []string{}
	oldest := leastVersion(live)
	for _, m := range live {
		if m.Leaving || m.Callers == "" || m.Version < oldest {
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
		if len(list) >= enoughNearby {
			return list[:min(len(list), maxNearest)]
		}
	}
	return all
}
