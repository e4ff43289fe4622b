// Package wait holds what loops that wait have in common.
package wait

import (
	"context"
	"time"
)

// For returns once a time has passed or the context has ended.
func For(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// Signal wakes whoever waits on a channel of one token; a second signal before
// that adds nothing.
func Signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
