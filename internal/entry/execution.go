package entry

import (
	"context"
	"errors"
	"fmt"
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
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/wait"
)

const (
	// retryDelay is the delay before an operation is retried.
	retryDelay = 200 * time.Millisecond
	// urgentProposalTimeout limits a proposal on which a refusal depends. It
	// applies even if the request's own context has ended.
	urgentProposalTimeout = 2 * time.Second
	// recordEndTimeout limits recording the end of a request.
	recordEndTimeout = 3 * time.Second
	// resolveClaimTimeout limits resolving a claim with an unknown result.
	resolveClaimTimeout = time.Minute
	// cancelTimeout limits cancelling a stream on its engine, and returning a
	// stream to it.
	cancelTimeout = 2 * time.Second
	// maxReplyBytes is the maximum size of a service's reply.
	maxReplyBytes = answer.MaxBytes
	// maxRecordedReplyBytes is the maximum size of a reply recorded in the log.
	maxRecordedReplyBytes = 16 << 10
)

// execution processes one request: it performs the effects that the state machine
// of core/claims decides on and reports their results to it. One goroutine uses
// it.
type execution struct {
	service *Service
	request *request
	answer  *answer.Answer
	machine *claims.Machine
	// ctx ends with the deadline. For a request without a caller's key that may be
	// executed twice, it also ends when the last caller disconnects.
	ctx context.Context

	ticket port.Ticket
	conn   *engine.Conn
	stream *engine.Stream
	frame  upstream.Frame
	// offer is the request as the scheduler received it.
	offer   port.Request
	reply   engine.ServiceReply
	result  answer.Result
	refusal *fault.Error
	// rejection is a runner's refusal to start the stream.
	rejection *engine.StatusError
	// ownerFailure is the error with which the answer ended at the entry that
	// dispatched it.
	ownerFailure *fault.Error
	stats        streamStats
}

// submit returns the running or finished answer of the same key, or starts
// processing the request. It fails if the key belongs to other content.
func (s *Service) submit(r *request) (*answer.Answer, error) {
	fresh := answer.New(answer.Meta{Workspace: r.workspace.Name, Key: r.key, Digest: r.digest, Pool: r.pool, Form: r.form})
	a, isNew := s.answers.PutIfAbsent(fresh)
	if !isNew && a.Meta().Digest != r.digest {
		return nil, keyConflict(r.key)
	}
	s.observer.recordAccept(r)
	if !isNew {
		return a, nil
	}
	detached := a.Detached()
	r.submitted = true
	s.inFlight.Go(func() { s.run(r, a, detached) })
	return a, nil
}

// run processes a request until its answer ends.
func (s *Service) run(r *request, a *answer.Answer, detached <-chan struct{}) {
	ctx, cancel := context.WithDeadline(s.ctx, r.deadline)
	defer cancel()
	if !r.hasCallerKey {
		defer context.AfterFunc(s.aborting, cancel)()
	}
	if !r.hasCallerKey && !r.mustRunOnce() {
		go cancelWhenDetached(ctx, detached, cancel)
	}
	x := &execution{service: s, request: r, answer: a, ctx: ctx}
	x.machine = claims.NewMachine(claims.Request{
		Workspace: r.workspace.Name, Key: r.key, Keyed: r.hasCallerKey, JoinOnly: r.joinOnly, PlainService: r.plainService, Digest: r.digest,
		Pool: r.pool, Stream: r.stream, Entry: s.self.Address, KnownNotRunAttempt: r.knownNotRunAttempt,
	})
	defer r.releaseMemory()
	defer x.closeUpstream()
	x.runMachine()
}

// runMachine steps the state machine until it awaits no further event.
func (x *execution) runMachine() {
	e := claims.Event{Kind: claims.Begin}
	for {
		awaited := (*claims.Effect)(nil)
		for _, effect := range x.machine.Step(e) {
			if effect.Awaited() {
				awaited = &effect
				break
			}
			x.perform(effect)
		}
		if awaited == nil {
			x.ensureEnded()
			return
		}
		if awaited.Delayed {
			wait.Sleep(x.ctx, retryDelay)
		}
		e = x.await(*awaited)
	}
}

// ensureEnded ends the answer and releases the slot if the state machine stopped
// before its final state, which would be a defect.
func (x *execution) ensureEnded() {
	if x.machine.State() == claims.Ended {
		return
	}
	x.service.log.Error("request processing stopped before the final state", zap.String("key", x.request.key), zap.String("state", string(x.machine.State())))
	x.fail(claims.Failure{Code: claims.OutcomeUnknown, Ran: claims.MayHaveRun})
	if x.ticket != nil {
		x.ticket.Release(x.stats.schedulerReport(sched.ConnectionLost))
	}
}

// cancelWhenDetached cancels a request when its last caller disconnects.
func cancelWhenDetached(ctx context.Context, detached <-chan struct{}, cancel context.CancelFunc) {
	select {
	case <-detached:
		cancel()
	case <-ctx.Done():
	}
}

// await performs an effect and returns the resulting event.
func (x *execution) await(e claims.Effect) claims.Event {
	switch e.Kind {
	case claims.Lookup:
		return x.lookup()
	case claims.Acquire:
		return x.acquire()
	case claims.Dial:
		return x.dial(e)
	case claims.Propose:
		return x.propose(e)
	case claims.Send:
		return x.send(e)
	case claims.Receive:
		return x.receive()
	case claims.Resume:
		return x.resume(e)
	case claims.Move:
		return x.move(e)
	case claims.Fetch:
		return x.fetch(e)
	}
	return claims.Event{Kind: claims.Failed}
}

// interrupted returns the event for the end of the context, or an event of the
// given kind if it has not ended.
func (x *execution) interrupted(otherwise claims.EventKind) claims.Event {
	switch {
	case errors.Is(x.ctx.Err(), context.DeadlineExceeded):
		return claims.Event{Kind: claims.Expired}
	case x.ctx.Err() != nil:
		return claims.Event{Kind: claims.Canceled}
	}
	return claims.Event{Kind: otherwise}
}

// group returns the log group that holds the claims of a workspace.
func (s *Service) group(string) string { return port.GroupMain }

func (x *execution) lookup() claims.Event {
	r := x.request
	c, found, err := x.service.logs.Lookup(x.ctx, x.service.group(r.workspace.Name), r.workspace.Name, r.key)
	switch {
	case err != nil:
		return x.interrupted(claims.Failed)
	case !found:
		return claims.Event{Kind: claims.NotFound}
	}
	return claims.Event{Kind: claims.Found, Claim: c}
}

func (x *execution) acquire() claims.Event {
	x.offer = x.request.schedulerRequest(x.service.view.Snapshot().Config)
	t, err := x.service.sched.Acquire(x.ctx, x.offer)
	if err != nil {
		x.refusal = fault.From(err)
		return x.interrupted(claims.Refused)
	}
	x.ticket = t
	x.stats.metrics = x.service.observer
	x.service.observer.recordGrant(x.request, t)
	return claims.Event{Kind: claims.GrantReceived, Upstream: t.Upstream(), Address: t.Address()}
}

func (x *execution) dial(e claims.Effect) claims.Event {
	conn, err := engine.Dial(x.ctx, e.Address)
	if err != nil {
		x.service.log.Warn("could not connect to the upstream", zap.String("address", e.Address), zap.Error(err))
		return x.interrupted(claims.Unreachable)
	}
	x.conn = conn
	return claims.Event{Kind: claims.Connected}
}

func (x *execution) propose(e claims.Effect) claims.Event {
	ctx := x.ctx
	if e.Claim.NotRun && x.mayBeAdopted() {
		// The record of a refusal that nobody is told of would refuse the caller's next attempt.
		return claims.Event{Kind: claims.ClaimUnconfirmed}
	}
	if e.Urgent {
		urgent, cancel := context.WithTimeout(x.service.ctx, urgentProposalTimeout)
		defer cancel()
		ctx = urgent
	}
	e.Claim.AtMS = time.Now().UnixMilli()
	result, err := x.service.logs.Propose(ctx, x.service.group(e.Claim.Workspace), state.Command{Claim: &e.Claim})
	if err != nil {
		x.service.log.Warn("claim proposal was not confirmed", zap.String("key", x.request.key), zap.Error(err))
		if e.Urgent {
			return claims.Event{Kind: claims.ClaimUnconfirmed}
		}
		return x.interrupted(claims.ClaimUnconfirmed)
	}
	switch result.Status {
	case state.OK:
		return claims.Event{Kind: claims.ClaimCommitted}
	case state.Exists:
		return claims.Event{Kind: claims.ClaimExists, Claim: *result.Claim}
	case state.Conflict:
		return claims.Event{Kind: claims.ClaimConflict}
	}
	return claims.Event{Kind: claims.Failed}
}

// streamIdleTimeout returns how long a stream may carry no data.
func (x *execution) streamIdleTimeout() time.Duration {
	return time.Duration(x.service.view.Snapshot().Config.EffectiveTimeouts().SilenceMS) * time.Millisecond
}

func (x *execution) send(e claims.Effect) claims.Event {
	x.stats.startedAt = time.Now()
	x.conn.OnFirstWrite(func() { x.service.observer.recordDispatch(x.request, e.Stream, x.ticket) })
	if x.request.plainService {
		return x.callService(e)
	}
	r := x.request
	start := upstream.Start{Stream: e.Stream, Model: r.pool, Prompt: r.prompt, MaxTokens: r.maxTokens, Options: r.options}
	start.Blocks = x.offer.Blocks
	st, err := x.conn.Start(x.ctx, start, x.streamIdleTimeout())
	r.prompt = ""
	r.releaseMemory()
	if err == nil {
		x.stream = st
		return claims.Event{Kind: claims.Started}
	}
	x.service.log.Warn("could not start the stream", zap.String("stream", e.Stream), zap.Error(err))
	return x.sendFailed(err)
}

// sendFailed closes the connection and returns the event for a failed dispatch,
// according to what is known to have been sent.
func (x *execution) sendFailed(err error) claims.Event {
	sent := x.conn.MayHaveSent()
	x.closeUpstream()
	refused := (*engine.StatusError)(nil)
	switch {
	case !sent:
		return claims.Event{Kind: claims.NothingSent}
	case errors.As(err, &refused) && notStarted(refused.Status):
		x.rejection = refused
		return claims.Event{Kind: claims.Rejected}
	}
	return x.interrupted(claims.SendInterrupted)
}

// notStarted reports whether a status means that the runner did not start the
// stream and will not; see docs/UPSTREAMS.md.
func notStarted(status int) bool {
	clientError := status >= http.StatusBadRequest && status < http.StatusInternalServerError
	return clientError && status != http.StatusConflict && status != http.StatusRequestTimeout
}

// callService sends the request to a service, once.
func (x *execution) callService(e claims.Effect) claims.Event {
	r := x.request
	reply, err := x.conn.CallService(x.ctx, engine.ServiceRequest{Stream: e.Stream, Method: r.method, Path: r.path, Header: r.header, Body: r.body}, maxReplyBytes)
	if err != nil {
		x.service.log.Warn("call broke off", zap.String("stream", e.Stream), zap.Error(err))
		return x.sendFailed(err)
	}
	x.reply = reply
	x.stats.complete = true
	x.result = answer.Result{Status: reply.Status, ContentType: reply.ContentType}
	return claims.Event{Kind: claims.Replied, Length: int64(len(reply.Body))}
}

func (x *execution) receive() claims.Event {
	x.answer.WaitForReaders(x.ctx)
	if x.ctx.Err() != nil {
		return x.interrupted(claims.ConnectionLost)
	}
	f, err := x.stream.Next(x.streamIdleTimeout())
	if err != nil {
		x.service.log.Warn("stream broke off", zap.String("upstream_error", err.Error()))
		return x.interrupted(claims.ConnectionLost)
	}
	x.frame = f
	out := claims.Frame{Stream: f.Stream, Offset: f.Offset, Length: int64(len(f.Text)), End: f.End, Leaving: f.Leaving, Error: f.Error}
	if out.Offset+out.Length > answer.MaxBytes {
		out.Error = fmt.Sprintf("the answer is over %d bytes", answer.MaxBytes)
	}
	return claims.Event{Kind: claims.FrameRead, Frame: out}
}

func (x *execution) resume(e claims.Effect) claims.Event {
	conn, err := engine.Dial(x.ctx, e.Address)
	if err != nil {
		return x.interrupted(claims.Unreachable)
	}
	st, err := conn.Resume(x.ctx, e.Stream, e.Offset, x.streamIdleTimeout())
	if err != nil {
		conn.Close()
		x.service.log.Warn("could not resume the stream", zap.String("stream", e.Stream), zap.Error(err))
		return x.interrupted(claims.ConnectionLost)
	}
	x.service.observer.recordResume(x.request)
	x.conn = conn
	x.stream = st
	return claims.Event{Kind: claims.Started}
}

// closeUpstream closes the stream and the connection to the upstream, if any.
func (x *execution) closeUpstream() {
	if x.stream != nil {
		x.stream.Close()
	}
	if x.conn != nil {
		x.conn.Close()
	}
	x.stream = nil
	x.conn = nil
}
