package broker

import "slices"

// paces holds how long the last answers of an upstream took, in seconds per unit of work.
type paces struct {
	last [paceWindow]float64
	// count is the number of answers so far.
	count int
}

func (x *paces) add(pace float64) {
	x.last[x.count%paceWindow] = pace
	x.count++
}

// typical returns the lower quartile of the paces; zero if too few are known.
func (x *paces) typical() float64 {
	if x.count < minPaceAnswers {
		return 0
	}
	sorted := slices.Clone(x.last[:min(x.count, paceWindow)])
	slices.Sort(sorted)
	return sorted[len(sorted)/paceRank]
}
