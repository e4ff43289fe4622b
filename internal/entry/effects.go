package entry

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/api/upstream"
	"github.com/verbenastep/verbenastep/core/claims"
	"github.com/verbenastep/verbenastep/core/sched"
	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/answer"
	"github.com/verbenastep/verbenastep/internal/engine"
	"github.com/verbenastep/verbenastep/internal/wait"
)

// act does one thing that nothing waits for.
func (x *execution) act(e claims.Effect) {
	switch e.Kind {
	case claims.Dispatched:
		x.answer.Begin(e.Stream)
		x.service.observer.followed(x.request, e.Stream)
	case claims.RecordNotRun:
		x.service.marks.note(x.request.workspace.Name, x.request.key, e.Claim.Attempt)
	case claims.Deliver:
		x.deliver()
	case claims.CloseConnection:
		x.retire()
	case claims.Cancel:
		x.cancelAtEngine(e)
	case claims.Release:
		x.release(e.Slot)
	case claims.Finish:
		x.finish(e.Finish)
	case claims.ResolveClaim:
		x.service.running.Go(func() { x.service.settle(e.Claim) })
	case claims.ServeRecorded:
		_ = x.answer.Append(0, e.Claim.Body)
		x.answer.End(answer.Result{Status: e.Claim.Status, ContentType: e.Claim.ContentType, Finish: "stop"})
	case claims.End:
		x.end()
	case claims.Fail:
		if !x.abandoned() {
			x.fail(e.Failure)
		}
	}
}

func (x *execution) deliver() {
	if err := x.answer.Append(x.frame.Offset, []byte(x.frame.Text)); err != nil {
		x.service.log.Error("frame was not appended", zap.Error(err))
		return
	}
	x.seen.frame(x.frame, x.request)
	if x.frame.End {
		x.result = answer.Result{Status: http.StatusOK, Finish: x.frame.Finish, PromptTokens: x.seen.prompt, CachedTokens: x.seen.cached, OutputTokens: x.seen.tokens}
	}
}

// outcomes translates the use of a slot for the scheduler.
var outcomes = map[claims.Slot]sched.Outcome{
	claims.SlotCompleted:      sched.Completed,
	claims.SlotNotSent:        sched.NotSent,
	claims.SlotCanceled:       sched.Canceled,
	claims.SlotConnectionLost: sched.ConnectionLost,
}

func (x *execution) release(slot claims.Slot) {
	if slot == claims.SlotNotSent {
		x.retire()
	}
	x.ticket.Release(x.seen.release(outcomes[slot]))
}

// finish records the end of a claimed request.
func (x *execution) finish(f state.Finish) {
	if !f.Unknown && !f.NotRun {
		f.Status = x.result.Status
		f.ContentType = x.result.ContentType
		if x.request.plain && len(x.reply.Body) <= maxRecorded {
			f.Body = x.reply.Body
		}
	}
	ctx, cancel := context.WithTimeout(x.service.ctx, finishTimeout)
	defer cancel()
	x.service.record(ctx, f)
}

// record proposes an end until it is answered or the context ends.
func (s *Service) record(ctx context.Context, f state.Finish) {
	for ctx.Err() == nil {
		_, err := s.logs.Propose(ctx, s.group(f.Workspace), state.Command{Finish: &f})
		if err == nil {
			return
		}
		s.log.Warn("end of a request is not recorded yet", zap.String("key", f.Key), zap.Error(err))
		wait.Sleep(ctx, retryPause)
	}
}

// settle proposes a claim of unknown fate until it is answered. Where the claim
// stands it is marked as not run, for nothing was sent under it.
func (s *Service) settle(c state.Claim) {
	ctx, cancel := context.WithTimeout(s.ctx, settleTimeout)
	defer cancel()
	c.AtMS = time.Now().UnixMilli()
	for ctx.Err() == nil {
		result, err := s.logs.Propose(ctx, s.group(c.Workspace), state.Command{Claim: &c})
		if err != nil {
			wait.Sleep(ctx, retryPause)
			continue
		}
		if result.Status == state.OK {
			s.record(ctx, state.Finish{Workspace: c.Workspace, Key: c.Key, Stream: c.Stream, NotRun: true})
		}
		return
	}
}

func (x *execution) end() {
	if x.request.plain && x.reply.Status != 0 {
		_ = x.answer.Append(0, x.reply.Body)
	}
	x.answer.End(x.result)
}

// fail ends an answer. Under a caller's key it is forgotten, so that a resend
// asks the log; the log knows what ran.
func (x *execution) fail(f claims.Failure) {
	e := x.failure(f)
	e.Key = x.request.key
	if x.seen.prompt > 0 && x.ticket != nil {
		x.service.observer.wasted(x.request.workspace.Name, x.seen.prompt-x.seen.cached)
	}
	if x.request.callerKey || e.Ran == fault.NotRun {
		x.answer.Fail(e)
		x.service.answers.Remove(x.answer)
		return
	}
	x.answer.Fail(e)
}

// observed is what a stream taught about its upstream.
type observed struct {
	began  time.Time
	first  time.Time
	last   time.Time
	tokens int
	cached int
	prompt int
	whole  bool
	// moved says that the stream came from another engine, base how many tokens
	// were generated there.
	moved bool
	base  int
	// watch counts tokens of the own dispatch; nil for another's.
	watch *observer
}

func (o *observed) frame(f upstream.Frame, r *request) {
	now := time.Now()
	if f.Tokens > 0 && o.watch != nil {
		o.count(f, r, now)
	}
	if f.Tokens > 0 && o.first.IsZero() {
		o.first = now
	}
	o.last = now
	o.tokens += f.Tokens
	o.cached = max(o.cached, f.CachedTokens)
	o.prompt = max(o.prompt, f.PromptTokens)
	o.whole = o.whole || f.End
}

func (o *observed) count(f upstream.Frame, r *request, now time.Time) {
	if o.first.IsZero() {
		o.watch.firstToken(r, now)
		return
	}
	o.watch.interToken(r, now.Sub(o.last)/time.Duration(f.Tokens))
}

func (o *observed) release(outcome sched.Outcome) sched.Release {
	r := sched.Release{Outcome: outcome, OutputTokens: o.tokens - o.base, CachedTokens: o.cached}
	if o.moved {
		r.CachedTokens = o.prompt
	}
	if !o.first.IsZero() {
		r.Prefill = o.first.Sub(o.began)
		r.Decode = o.last.Sub(o.first)
	} else if o.whole {
		r.Decode = time.Since(o.began)
	}
	return r
}

// abandoned tells whether it is this daemon that ends, and not the request:
// another entry may go on with one under its caller's key, so nothing is said
// of how it ended.
func (x *execution) abandoned() bool {
	return x.request.callerKey && x.service.stopped()
}

// cancelAtEngine leaves an abandoned stream running.
func (x *execution) cancelAtEngine(e claims.Effect) {
	if !x.abandoned() {
		go cancelStream(e.Address, e.Stream)
	}
}

func cancelStream(address, stream string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	conn, err := engine.Dial(ctx, address)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.Cancel(ctx, stream)
}
