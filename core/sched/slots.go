package sched

const (
	// slotTolerance is how much slower than learned a token may come before
	// the slots are cut.
	slotTolerance = 2.0
	// slotCut is what remains of the slots then.
	slotCut = 0.9
	// slotFloor is the smallest part of the announced slots.
	slotFloor = 0.25
)

// slots adapts how many requests an upstream runs at once: it falls where
// tokens come much slower than the batch explains, as when an engine's memory
// is short, and rises by one for each batch that runs as learned. The announced
// number is never exceeded.
type slots struct {
	// part is the share of the announced slots in use; zero means all.
	part float64
}

// now returns the slots in use, at least one.
func (s *slots) now(announced int) int {
	if s.part == 0 {
		return announced
	}
	return max(1, int(s.part*float64(announced)))
}

// adapt takes in the time per token of one request against the learned one.
// It returns whether the slots may have changed.
func (s *slots) adapt(ratio float64, announced int) bool {
	before := s.now(announced)
	if s.part == 0 {
		s.part = 1
	}
	if ratio > slotTolerance {
		s.part = max(slotFloor, s.part*slotCut)
	} else {
		n := float64(announced)
		s.part = min(1, s.part+1/(n*n))
	}
	return s.now(announced) != before
}
