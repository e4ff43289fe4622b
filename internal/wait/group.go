package wait

import "sync"

// Group counts operations in progress. Unlike those of a sync.WaitGroup, operations may begin
// while another goroutine waits for the end of all. The zero value is ready for use. It is safe
// for concurrent use.
type Group struct {
	mu    sync.Mutex
	count int
	// idle is closed once the count is zero; nil until somebody waits.
	idle chan struct{}
}

// Begin counts an operation; End must follow.
func (g *Group) Begin() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count++
}

// End ends an operation.
func (g *Group) End() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count--
	if g.count == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// Go runs an operation in a goroutine.
func (g *Group) Go(operation func()) {
	g.Begin()
	go func() {
		defer g.End()
		operation()
	}()
}

// Idle returns a channel that is closed the next time no operation is in progress; at once if
// none is.
func (g *Group) Idle() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.count == 0 {
		idle := make(chan struct{})
		close(idle)
		return idle
	}
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	return g.idle
}
