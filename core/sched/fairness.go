package sched

import "container/heap"

// raiseCounter raises the counter of a workspace that becomes active to the
// lowest counter among those with queued requests, or to that of the workspace
// served last where none has. Idle time thus earns no credit.
func (t *tier) raiseCounter(w *workspace) {
	floor := t.lastServedCounter
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

// charge adds work, in prompt tokens, to a workspace's counter. A negative cost
// corrects an estimate that was too high.
func (t *tier) charge(w *workspace, cost float64) {
	w.counter += cost / w.weight
	for c := range w.lanes {
		if w.lanes[c].index != notInHeap {
			heap.Fix(&t.lanes[c], w.lanes[c].index)
		}
	}
}
