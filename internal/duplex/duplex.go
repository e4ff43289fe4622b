// Package duplex runs the long-lived bidirectional streams between entries and the
// broker or dispatcher that grants them upstreams.
package duplex

import (
	"context"
	"time"
)

// Receive sends the messages of a stream to in. It returns the error of recv, or that of
// the context if it ends first.
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

// Server is the server side of one entry's stream.
type Server[In, Out any] struct {
	Recv func() (In, error)
	Send func(Out) error
	// Take handles a received message, Beat returns a heartbeat message, and Out
	// delivers other messages to send.
	Take func(In)
	Beat func() Out
	Out  <-chan Out
	// Heartbeat is the interval of heartbeats to the entry. Silence is how long the
	// entry may send nothing before the stream is ended.
	Heartbeat time.Duration
	Silence   time.Duration
}

// Run serves the entry until its stream or the context ends or the entry sends nothing
// for Silence. It returns an error only if a message could not be sent.
func (s Server[In, Out]) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	in := make(chan In)
	go func() {
		defer cancel()
		// The error is of no use here: the entry knows why its stream ended.
		_ = Receive(ctx, s.Recv, in)
	}()
	idle := time.NewTimer(s.Silence)
	defer idle.Stop()
	heartbeat := time.NewTicker(s.Heartbeat)
	defer heartbeat.Stop()
	for {
		err := error(nil)
		select {
		case m := <-in:
			idle.Reset(s.Silence)
			s.Take(m)
		case m := <-s.Out:
			err = s.Send(m)
		case <-heartbeat.C:
			err = s.Send(s.Beat())
		case <-idle.C:
			return nil
		case <-ctx.Done():
			return nil
		}
		if err != nil {
			return err
		}
	}
}
