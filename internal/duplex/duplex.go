// Package duplex runs the long streams between entries and those who grant them
// upstreams.
package duplex

import (
	"context"
	"time"
)

// Receive passes on what arrives on a stream until that fails, with its error, or
// the context ends.
func Receive[M any](ctx context.Context, recv func() (M, error), in chan<- M) error {
	for {
		m, err := recv()
		if err != nil {
			return err
		}
		select {
		case in <- m:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Server is the granting side of one entry's stream.
type Server[In, Out any] struct {
	Recv func() (In, error)
	Send func(Out) error
	// Take takes in a message, Beat makes the one of a heartbeat, and Out has
	// those that are decided meanwhile.
	Take func(In)
	Beat func() Out
	Out  <-chan Out
	// Heartbeat is the longest pause between two messages to the entry, Silence
	// the longest between two of its own.
	Heartbeat time.Duration
	Silence   time.Duration
}

// Run serves the entry until its stream or the context ends, or it falls silent.
// It returns an error only where a message could not be sent.
func (g Server[In, Out]) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	in := make(chan In)
	go func() {
		defer cancel()
		// The entry knows why its stream ended; here it only is over.
		_ = Receive(ctx, g.Recv, in)
	}()
	silence := time.NewTimer(g.Silence)
	defer silence.Stop()
	beat := time.NewTicker(g.Heartbeat)
	defer beat.Stop()
	for {
		err := error(nil)
		select {
		case m := <-in:
			silence.Reset(g.Silence)
			g.Take(m)
		case m := <-g.Out:
			err = g.Send(m)
		case <-beat.C:
			err = g.Send(g.Beat())
		case <-silence.C:
			return nil
		case <-ctx.Done():
			return nil
		}
		if err != nil {
			return err
		}
	}
}
