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

// perform carries out an effect that has no resulting event.
func (x *execution) perform(e claims.Effect) {
	switch e.Kind {
	case claims.Dispatched:
		x.answer.MarkDispatched(e.Stream)
		x.service.observer.recordStream(x.request, e.Stream)
	case claims.RecordNotRun:
		x.service.notRun.add(x.request.workspace.Name, x.request.key, e.Claim.Attempt)
	case claims.Deliver:
		x.appendFrame()
	case claims.CloseConnection:
		x.closeUpstream()
	case claims.Cancel:
		x.cancelOnEngine(e)
	case claims.Release:
		x.release(e.Slot)
	case claims.Finish:
		x.recordEnd(e.Finish)
	case claims.ResolveClaim:
		x.service.inFlight.Go(func() { x.service.resolveClaim(e.Claim) })
	case claims.ServeRecorded:
		_ = x.answer.Append(0, e.Claim.Body)
		x.answer.End(answer.Result{Status: e.Claim.Status, ContentType: e.Claim.ContentType, FinishReason: "stop"})
	case claims.End:
		x.end()
	case claims.Fail:
		if !x.mayBeAdopted() {
			x.fail(e.Failure)
		}
	}
}

// appendFrame adds the text of the last frame to the answer.
func (x *execution) appendFrame() {
	if err := x.answer.Append(x.frame.Offset, []byte(x.frame.Text)); err != nil {
		x.service.log.Error("could not append a frame to the answer", zap.Error(err))
		return
	}
	x.stats.addFrame(x.frame, x.request)
	if x.frame.End {
		x.result = answer.Result{Status: http.StatusOK, FinishReason: x.frame.Finish, PromptTokens: x.stats.promptTokens, CachedTokens: x.stats.cachedTokens, OutputTokens: x.stats.outputTokens}
	}
}

// outcomes maps the use of a slot to the outcome reported to the scheduler.
var outcomes = map[claims.Slot]sched.Outcome{
	claims.SlotCompleted:      sched.Completed,
	claims.SlotNotSent:        sched.NotSent,
	claims.SlotCanceled:       sched.Canceled,
	claims.SlotConnectionLost: sched.ConnectionLost,
}

// release gives the slot back to the scheduler and reports its use.
func (x *execution) release(slot claims.Slot) {
	if slot == claims.SlotNotSent {
		x.closeUpstream()
	}
	x.ticket.Release(x.stats.schedulerReport(outcomes[slot]))
}

// recordEnd proposes the end of a claimed request to the log, together with a
// service's reply if that is small enough.
func (x *execution) recordEnd(f state.Finish) {
	if !f.Unknown && !f.NotRun {
		f.Status = x.result.Status
		f.ContentType = x.result.ContentType
		if x.request.plainService && len(x.reply.Body) <= maxRecordedReplyBytes {
			f.Body = x.reply.Body
		}
	}
	ctx, cancel := context.WithTimeout(x.service.ctx, recordEndTimeout)
	defer cancel()
	x.service.proposeFinish(ctx, f)
}

// proposeFinish proposes a request's end until the log accepts it or the context
// ends.
func (s *Service) proposeFinish(ctx context.Context, f state.Finish) {
	for ctx.Err() == nil {
		_, err := s.logs.Propose(ctx, s.group(f.Workspace), state.Command{Finish: &f})
		if err == nil {
			return
		}
		s.log.Warn("could not record the end of a request; retrying", zap.String("key", f.Key), zap.Error(err))
		wait.Sleep(ctx, retryDelay)
	}
}

// resolveClaim proposes a claim with an unknown result again until the log
// responds. If the claim is committed it is recorded as not run, because nothing
// was sent under it.
func (s *Service) resolveClaim(c state.Claim) {
	ctx, cancel := context.WithTimeout(s.ctx, resolveClaimTimeout)
	defer cancel()
	c.AtMS = time.Now().UnixMilli()
	for ctx.Err() == nil {
		result, err := s.logs.Propose(ctx, s.group(c.Workspace), state.Command{Claim: &c})
		if err != nil {
			wait.Sleep(ctx, retryDelay)
			continue
		}
		if result.Status == state.OK {
			s.proposeFinish(ctx, state.Finish{Workspace: c.Workspace, Key: c.Key, Stream: c.Stream, NotRun: true})
		}
		return
	}
}

// end completes the answer.
func (x *execution) end() {
	if x.request.plainService && x.reply.Status != 0 {
		_ = x.answer.Append(0, x.reply.Body)
	}
	x.answer.End(x.result)
}

// fail ends the answer with an error. If the key is the caller's own or the
// request did not run, the answer is removed, so that a retry under the key is
// decided by the log, which records what ran. It is removed first: a caller that
// has the error may retry at once.
func (x *execution) fail(f claims.Failure) {
	e := x.failure(f)
	e.Key = x.request.key
	if x.stats.promptTokens > 0 && x.ticket != nil {
		x.service.observer.countWasted(x.request.workspace.Name, x.stats.promptTokens-x.stats.cachedTokens)
	}
	if x.request.hasCallerKey || e.Ran == fault.NotRun {
		x.service.answers.Remove(x.answer)
	}
	x.answer.Fail(e)
}

// streamStats collects the times and token counts of a stream or service call.
type streamStats struct {
	// startedAt is when the request was sent, or the stream moved to its engine.
	startedAt time.Time
	// firstTokenAt is when the first token arrived on this engine.
	firstTokenAt time.Time
	// lastFrameAt is when the latest frame arrived.
	lastFrameAt time.Time
	// outputTokens counts the tokens received; cachedTokens and promptTokens are
	// the largest counts that a frame reported.
	outputTokens int
	cachedTokens int
	promptTokens int
	// complete reports that the last frame or the complete reply arrived.
	complete bool
	// moved reports that the stream was imported from another engine, which had
	// generated baseTokens tokens.
	moved      bool
	baseTokens int
	// metrics receives the token times of requests dispatched by this entry; it
	// is nil for streams that another entry dispatched.
	metrics *observer
}

// addFrame updates the statistics with a received frame.
func (s *streamStats) addFrame(f upstream.Frame, r *request) {
	now := time.Now()
	if f.Tokens > 0 && s.metrics != nil {
		s.observeTokens(f, r, now)
	}
	if f.Tokens > 0 && s.firstTokenAt.IsZero() {
		s.firstTokenAt = now
	}
	s.lastFrameAt = now
	s.outputTokens += f.Tokens
	s.cachedTokens = max(s.cachedTokens, f.CachedTokens)
	s.promptTokens = max(s.promptTokens, f.PromptTokens)
	s.complete = s.complete || f.End
}

// observeTokens exports the time to the first token or between two tokens.
func (s *streamStats) observeTokens(f upstream.Frame, r *request, now time.Time) {
	if s.firstTokenAt.IsZero() {
		s.metrics.observeFirstToken(r, now)
		return
	}
	s.metrics.observeInterToken(r, now.Sub(s.lastFrameAt)/time.Duration(f.Tokens))
}

// schedulerReport returns what the scheduler learns when the slot is released. For
// a service call, Decode is the duration of the whole call.
func (s *streamStats) schedulerReport(outcome sched.Outcome) sched.Release {
	r := sched.Release{Outcome: outcome, OutputTokens: s.outputTokens - s.baseTokens, CachedTokens: s.cachedTokens}
	if s.moved {
		r.CachedTokens = s.promptTokens
	}
	if !s.firstTokenAt.IsZero() {
		r.Prefill = s.firstTokenAt.Sub(s.startedAt)
		r.Decode = s.lastFrameAt.Sub(s.firstTokenAt)
	} else if s.complete {
		r.Decode = time.Since(s.startedAt)
	}
	return r
}

// mayBeAdopted reports whether the daemon is stopping while another entry may
// adopt the request, which is possible under a caller's own key. This entry then
// reports no outcome of the request.
func (x *execution) mayBeAdopted() bool {
	return x.request.hasCallerKey && x.service.isStopped()
}

// cancelOnEngine cancels a stream unless another entry may adopt its request.
func (x *execution) cancelOnEngine(e claims.Effect) {
	if !x.mayBeAdopted() {
		go cancelStream(e.Address, e.Stream)
	}
}

// cancelStream asks an engine to cancel a stream. Errors are ignored: the
// stream's answer is no longer needed.
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
