package forward

import (
	"sync"
	"time"
)

// backlog holds the events that an attempt has read while its caller is slow. It is empty
// as long as the exchange keeps up, so that a fast caller's events pass through the
// channel of the attempt alone. It is safe for concurrent use.
type backlog struct {
	mu      sync.Mutex
	pending []progress
	// moved is closed once all pending events were passed on or given up; nil if there have
	// been none since.
	moved chan struct{}
}

// addToBacklog appends an event and starts to pass on the pending ones if that has stopped. It
// returns false if nothing is pending and start is not set.
func (a *upstreamAttempt) addToBacklog(p progress, start bool) bool {
	b := &a.backlog
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.moved == nil && !start {
		return false
	}
	b.pending = append(b.pending, p)
	if b.moved == nil {
		b.moved = make(chan struct{})
		a.holding.beginWaiting(time.Now())
		go a.moveBacklog(b.moved)
	}
	return true
}

// moveBacklog passes the pending events on, in order, until there are none.
func (a *upstreamAttempt) moveBacklog(moved chan struct{}) {
	defer close(moved)
	for {
		p, ok := a.nextPending()
		if !ok {
			return
		}
		select {
		case a.progress <- p:
		case <-a.abandoned:
			a.dropPending()
			return
		}
	}
}

// nextPending removes and returns the first pending event, or returns false if there is none.
func (a *upstreamAttempt) nextPending() (progress, bool) {
	b := &a.backlog
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) == 0 {
		b.pending, b.moved = nil, nil
		a.holding.stopWaiting()
		return progress{}, false
	}
	p := b.pending[0]
	b.pending[0] = progress{}
	b.pending = b.pending[1:]
	return p, true
}

// dropPending gives up the pending events; nobody reads them.
func (a *upstreamAttempt) dropPending() {
	a.backlog.mu.Lock()
	defer a.backlog.mu.Unlock()
	a.backlog.pending, a.backlog.moved = nil, nil
	a.holding.stopWaiting()
}

// hasBacklog reports whether events are pending.
func (a *upstreamAttempt) hasBacklog() bool {
	a.backlog.mu.Lock()
	defer a.backlog.mu.Unlock()
	return a.backlog.moved != nil
}

// awaitBacklog waits until all pending events were passed on or given up.
func (a *upstreamAttempt) awaitBacklog() {
	a.backlog.mu.Lock()
	moved := a.backlog.moved
	a.backlog.mu.Unlock()
	if moved != nil {
		<-moved
	}
}
