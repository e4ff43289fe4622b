// Package wait holds helpers for background loops: an interruptible sleep and a
// coalescing notification.
package wait

import (
	"context"
	"time"
)

// Sleep returns after d or when the context is done.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// Notify notifies the receiver of a channel with a buffer of one. It does not block; a
// notification that is still pending is not repeated.
func Notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
