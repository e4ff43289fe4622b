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
	// Handle handles a received message, and Outgoing delivers messages to send.
	// NewHeartbeat returns a heartbeat message, or false if messages wait in Outgoing,
	// which it must not overtake.
	Handle       func(In)
	NewHeartbeat func() (Out, bool)
	Outgoing     <-chan Out
	// HeartbeatInterval is the longest time between two messages to the entry; a
	// heartbeat is sent only if there was no other message. IdleTimeout is how long
	// the entry may send nothing before the stream is ended.
	HeartbeatInterval time.Duration
	IdleTimeout       time.Duration
}

// Run serves the entry until its stream or the context ends or the entry sends nothing
// for IdleTimeout. It returns an error only if a message could not be sent.
func (s Server[In, Out]) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	in := make(chan In)
	go func() {
		defer cancel()
		// The error is of no use here: the entry knows why its stream ended.
		_ = Receive(ctx, s.Recv, in)
	}()
	idle := time.NewTimer(s.IdleTimeout)
	defer idle.Stop()
	heartbeat := time.NewTimer(s.HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		err := error(nil)
		select {
		case m := <-in:
			idle.Reset(s.IdleTimeout)
			s.Handle(m)
		case m := <-s.Outgoing:
			heartbeat.Reset(s.HeartbeatInterval)
			err = s.Send(m)
		case <-heartbeat.C:
			heartbeat.Reset(s.HeartbeatInterval)
			if m, ok := s.NewHeartbeat(); ok {
				err = s.Send(m)
			}
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
