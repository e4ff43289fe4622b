package entry

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/core/claims"
	"github.com/verbenastep/verbenastep/core/sched"
	"github.com/verbenastep/verbenastep/internal/engine"
)

// moveTimeout bounds finding another engine and moving a stream to it.
const moveTimeout = 5 * time.Second

// move takes the stream from a leaving engine to one that the scheduler grants.
// Where that fails the stream goes on where it is.
func (x *execution) move(e claims.Effect) claims.Event {
	ctx, cancel := context.WithTimeout(x.ctx, moveTimeout)
	defer cancel()
	t, err := x.service.sched.Acquire(ctx, x.offer)
	if err != nil {
		return x.interrupted(claims.MoveFailed)
	}
	err = errStays
	if t.Address() != e.Address {
		err = migrate(ctx, e.Address, t.Address(), e.Stream)
	}
	if err != nil {
		x.service.log.Info("stream stays with its engine", zap.String("stream", e.Stream), zap.Error(err))
		t.Release(sched.Release{Outcome: sched.NotSent})
		return x.interrupted(claims.MoveFailed)
	}
	x.ticket.Release(x.seen.release(sched.Completed))
	x.ticket = t
	x.seen.moved = true
	x.seen.base = x.seen.tokens
	x.seen.began = time.Now()
	x.seen.first = x.seen.began
	x.service.observer.movedSum.Inc()
	return claims.Event{Kind: claims.Moved, Address: t.Address()}
}

// errStays says that no other engine was granted.
var errStays = &engine.StatusError{Body: "the scheduler granted the same engine"}

// migrate exports a stream and imports it elsewhere, or back where it is refused.
func migrate(ctx context.Context, from, to, stream string) error {
	target, err := engine.Dial(ctx, to)
	if err != nil {
		return err
	}
	defer target.Close()
	source, err := engine.Dial(ctx, from)
	if err != nil {
		return err
	}
	defer source.Close()
	moved, err := source.Export(ctx, stream)
	if err != nil {
		return err
	}
	err = target.Import(ctx, moved)
	refused := (*engine.StatusError)(nil)
	if !errors.As(err, &refused) {
		// Without an answer the target may have the stream: it must not run in
		// two places, so that only the target is asked for it from here on.
		return nil
	}
	back, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	if again, dialErr := engine.Dial(back, from); dialErr == nil {
		defer again.Close()
		_ = again.Import(back, moved)
	}
	return err
}
