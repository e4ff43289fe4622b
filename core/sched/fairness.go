package sched

import "container/heap"

// lift raises the counter of a workspace that was idle to that of the busy
// workspace charged least, or of the one served last. Idle time gains no
// credit.
func (t *tier) lift(w *workspace) {
	floor := t.floor
	found := false
	for c := range t.lanes {
		if len(t.lanes[c]) == 0 {
			continue
		}
		least := t.lanes[c][0].workspace.counter
		if !found || least < floor {
			floor = least
			found = true
		}
	}
	w.counter = max(w.counter, floor)
}

// charge adds work to a workspace's counter; a negative cost corrects an
// estimate that was too high.
func (t *tier) charge(w *workspace, cost float64) {
	w.counter += cost / w.weight
	for c := range w.lanes {
		if w.lanes[c].index != notQueued {
			heap.Fix(&t.lanes[c], w.lanes[c].index)
		}
	}
}
