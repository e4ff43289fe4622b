package sched

const (
	// maxTokenSlowdown is the time per token, relative to the learned one,
	// above which the slots are reduced.
	maxTokenSlowdown = 2.0
	// slotReductionFactor multiplies the slots in use at each reduction.
	slotReductionFactor = 0.9
	// minSlotRatio is the lower bound of the slots in use, as a fraction of the
	// announced slots.
	minSlotRatio = 0.25
)

// slotLimit adapts the number of concurrent requests of an upstream by additive
// increase and multiplicative decrease. It decreases where tokens take much
// longer than the batch size explains, as when an engine is short of memory,
// and increases by about one slot per full batch of requests that run as
// learned. The announced number is never exceeded.
type slotLimit struct {
	// ratio is the fraction of the announced slots in use; zero means all.
	ratio float64
}

// current returns the slots in use, at least one.
func (s *slotLimit) current(announced int) int {
	if s.ratio == 0 {
		return announced
	}
	return max(1, int(s.ratio*float64(announced)))
}

// adapt updates the limit with the ratio of a request's time per token to the
// learned one. It reports whether the slots in use changed.
func (s *slotLimit) adapt(ratio float64, announced int) bool {
	before := s.current(announced)
	if s.ratio == 0 {
		s.ratio = 1
	}
	if ratio > maxTokenSlowdown {
		s.ratio = max(minSlotRatio, s.ratio*slotReductionFactor)
	} else {
		n := float64(announced)
		s.ratio = min(1, s.ratio+1/(n*n))
	}
	return s.current(announced) != before
}
