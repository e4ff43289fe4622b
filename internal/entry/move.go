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

// moveTimeout limits finding another engine and moving a stream to it.
const moveTimeout = 5 * time.Second

// move transfers the stream from a leaving engine to one of the same model version that
// the scheduler grants. If that fails, the stream continues on its engine.
func (x *execution) move(e claims.Effect) claims.Event {
	ctx, cancel := context.WithTimeout(x.ctx, moveTimeout)
	defer cancel()
	t, err := x.service.sched.Acquire(ctx, x.offer)
	if err != nil {
		return x.interrupted(claims.MoveFailed)
	}
	switch {
	case t.Address() == e.Address:
		err = errSameEngine
	case t.Version() != x.ticket.Version():
		err = errOtherVersion
	default:
		err = transferStream(ctx, e.Address, t.Address(), e.Stream)
	}
	if err != nil {
		x.service.log.Info("could not move the stream; it stays on its engine", zap.String("stream", e.Stream), zap.Error(err))
		t.Release(sched.Release{Outcome: sched.NotSent})
		return x.interrupted(claims.MoveFailed)
	}
	x.ticket.Release(x.stats.schedulerReport(sched.Completed))
	x.ticket = t
	x.stats.moved = true
	x.stats.baseTokens = x.stats.outputTokens
	x.stats.startedAt = time.Now()
	x.stats.firstTokenAt = x.stats.startedAt
	x.service.observer.streamsMoved.Inc()
	return claims.Event{Kind: claims.Moved, Address: t.Address()}
}

// errSameEngine reports that the scheduler granted no other engine.
var errSameEngine = &engine.StatusError{Body: "the scheduler granted the same engine"}

// errOtherVersion reports that the scheduler granted an engine of another model version, whose
// text does not fit that of the stream.
var errOtherVersion = &engine.StatusError{Body: "the scheduler granted an engine of another model version"}

// transferStream exports a stream from one engine and imports it into another.
// If the target refuses the stream, transferStream imports it into its source again
// and returns the refusal.
func transferStream(ctx context.Context, from, to, stream string) error {
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
	exported, err := source.Export(ctx, stream)
	if err != nil {
		return err
	}
	err = target.Import(ctx, exported)
	refused := (*engine.StatusError)(nil)
	if !errors.As(err, &refused) {
		// The target has the stream, or may have it if there was no response. To
		// keep the stream from running on both engines, only the target is used
		// from here on.
		return nil
	}
	returnCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	if reconnected, dialErr := engine.Dial(returnCtx, from); dialErr == nil {
		defer reconnected.Close()
		_ = reconnected.Import(returnCtx, exported)
	}
	return err
}
