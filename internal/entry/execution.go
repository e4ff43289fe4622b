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
	// retryPause is the wait before something is tried again.
	retryPause = 200 * time.Millisecond
	// lastTimeout bounds a proposal on which a refusal depends.
	lastTimeout = 2 * time.Second
	// finishTimeout bounds recording a request's end.
	finishTimeout = 3 * time.Second
	// settleTimeout bounds settling a claim of unknown fate.
	settleTimeout = time.Minute
	// cancelTimeout bounds telling an engine to cancel.
	cancelTimeout = 2 * time.Second
	// maxReply is the largest reply of a plain service, in bytes.
	maxReply = answer.MaxBytes
	// maxRecorded is the largest reply that is kept in the log, in bytes.
	maxRecorded = 16 << 10
)

// execution carries out the decisions on one request.
type execution struct {
	service *Service
	request *request
	answer  *answer.Answer
	machine *claims.Machine
	// ctx ends with the deadline, and with the caller where nobody could pick
	// the answer up.
	ctx context.Context

	ticket port.Ticket
	conn   *engine.Conn
	stream *engine.Stream
	frame  upstream.Frame
	// offer is what the scheduler was asked.
	offer   port.Request
	reply   engine.Reply
	result  answer.Result
	refusal *fault.Error
	// rejection is a runner's refusal to start.
	rejection *engine.StatusError
	// ownersFailure is what the answer of another entry ended in.
	ownersFailure *fault.Error
	seen          observed
}

// submit joins the running or finished answer of the same key, or starts the
// request.
func (s *Service) submit(r *request) (*answer.Answer, error) {
	fresh := answer.New(answer.Meta{Workspace: r.workspace.Name, Key: r.key, Digest: r.digest, Pool: r.pool, Form: r.form})
	a, isNew := s.answers.Put(fresh)
	if !isNew && a.Meta().Digest != r.digest {
		return nil, keyConflict(r.key)
	}
	s.observer.accepted(r)
	if !isNew {
		return a, nil
	}
	detached := a.Detached()
	r.running = true
	s.running.Go(func() { s.run(r, a, detached) })
	return a, nil
}

// run takes a request from the queue to the end of its answer.
func (s *Service) run(r *request, a *answer.Answer, detached <-chan struct{}) {
	ctx, cancel := context.WithDeadline(s.ctx, r.deadline)
	defer cancel()
	if !r.callerKey && !r.once() {
		go cancelWhenDetached(ctx, detached, cancel)
	}
	x := &execution{service: s, request: r, answer: a, ctx: ctx}
	x.machine = claims.NewMachine(claims.Request{
		Workspace: r.workspace.Name, Key: r.key, Keyed: r.callerKey, JoinOnly: r.join, PlainService: r.plain, Digest: r.digest,
		Pool: r.pool, Stream: r.stream, Entry: s.self.Address, KnownNotRunAttempt: r.known,
	})
	defer r.giveBack()
	defer x.retire()
	x.loop()
}

// loop steps the machine until nothing is awaited.
func (x *execution) loop() {
	e := claims.Event{Kind: claims.Begin}
	for {
		awaited := (*claims.Effect)(nil)
		for _, effect := range x.machine.Step(e) {
			if effect.Awaited() {
				awaited = &effect
				break
			}
			x.act(effect)
		}
		if awaited == nil {
			x.ensureEnd()
			return
		}
		if awaited.Delayed {
			wait.Sleep(x.ctx, retryPause)
		}
		e = x.await(*awaited)
	}
}

// ensureEnd leaves no caller without an end and no slot held, whatever was
// missed.
func (x *execution) ensureEnd() {
	if x.machine.State() == claims.Ended {
		return
	}
	x.service.log.Error("request stopped without an end", zap.String("key", x.request.key), zap.String("state", string(x.machine.State())))
	x.fail(claims.Failure{Code: claims.OutcomeUnknown, Ran: claims.MayHaveRun})
	if x.ticket != nil {
		x.ticket.Release(x.seen.release(sched.ConnectionLost))
	}
}

// cancelWhenDetached ends a request that no caller can pick up any more.
func cancelWhenDetached(ctx context.Context, detached <-chan struct{}, cancel context.CancelFunc) {
	select {
	case <-detached:
		cancel()
	case <-ctx.Done():
	}
}

// await does one thing and returns what came of it.
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

// interrupted names why the context ended, or the given kind where it did not.
func (x *execution) interrupted(otherwise claims.EventKind) claims.Event {
	switch {
	case errors.Is(x.ctx.Err(), context.DeadlineExceeded):
		return claims.Event{Kind: claims.Expired}
	case x.ctx.Err() != nil:
		return claims.Event{Kind: claims.Canceled}
	}
	return claims.Event{Kind: otherwise}
}

// group names the log group that holds a workspace's claims.
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
	x.offer = x.request.schedulable(x.service.view.Snapshot().Config)
	t, err := x.service.sched.Acquire(x.ctx, x.offer)
	if err != nil {
		x.refusal = fault.From(err)
		return x.interrupted(claims.Refused)
	}
	x.ticket = t
	x.seen.watch = x.service.observer
	x.service.observer.granted(x.request, t)
	return claims.Event{Kind: claims.GrantReceived, Upstream: t.Upstream(), Address: t.Address()}
}

func (x *execution) dial(e claims.Effect) claims.Event {
	conn, err := engine.Dial(x.ctx, e.Address)
	if err != nil {
		x.service.log.Warn("upstream refused the connection", zap.String("address", e.Address), zap.Error(err))
		return x.interrupted(claims.Unreachable)
	}
	x.conn = conn
	return claims.Event{Kind: claims.Connected}
}

func (x *execution) propose(e claims.Effect) claims.Event {
	ctx := x.ctx
	if e.Urgent {
		last, cancel := context.WithTimeout(x.service.ctx, lastTimeout)
		defer cancel()
		ctx = last
	}
	e.Claim.AtMS = time.Now().UnixMilli()
	result, err := x.service.logs.Propose(ctx, x.service.group(e.Claim.Workspace), state.Command{Claim: &e.Claim})
	if err != nil {
		x.service.log.Warn("claim was not answered", zap.String("key", x.request.key), zap.Error(err))
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

// silence is how long a stream may carry nothing.
func (x *execution) silence() time.Duration {
	return time.Duration(x.service.view.Snapshot().Config.EffectiveTimeouts().SilenceMS) * time.Millisecond
}

func (x *execution) send(e claims.Effect) claims.Event {
	x.seen.began = time.Now()
	x.conn.OnSend(func() { x.service.observer.dispatched(x.request, e.Stream, x.ticket) })
	if x.request.plain {
		return x.call(e)
	}
	r := x.request
	start := upstream.Start{Stream: e.Stream, Model: r.pool, Prompt: r.prompt, MaxTokens: r.maxTokens, Options: r.options}
	start.Blocks = x.offer.Blocks
	st, err := x.conn.Start(x.ctx, start, x.silence())
	r.prompt = ""
	r.giveBack()
	if err == nil {
		x.stream = st
		return claims.Event{Kind: claims.Started}
	}
	x.service.log.Warn("stream did not start", zap.String("stream", e.Stream), zap.Error(err))
	return x.sendFailed(err)
}

// sendFailed tells what is certain after a failed dispatch.
func (x *execution) sendFailed(err error) claims.Event {
	sent := x.conn.Sent()
	x.retire()
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

// notStarted holds for statuses by which a runner says that it did not start a
// stream and won't; see docs/UPSTREAMS.md.
func notStarted(status int) bool {
	clientError := status >= http.StatusBadRequest && status < http.StatusInternalServerError
	return clientError && status != http.StatusConflict && status != http.StatusRequestTimeout
}

// call makes a plain service's call, once.
func (x *execution) call(e claims.Effect) claims.Event {
	r := x.request
	reply, err := x.conn.Do(x.ctx, engine.Call{Stream: e.Stream, Method: r.method, Path: r.path, Header: r.header, Body: r.body}, maxReply)
	if err != nil {
		x.service.log.Warn("call broke off", zap.String("stream", e.Stream), zap.Error(err))
		return x.sendFailed(err)
	}
	x.reply = reply
	x.seen.whole = true
	x.result = answer.Result{Status: reply.Status, ContentType: reply.ContentType}
	return claims.Event{Kind: claims.Replied, Length: int64(len(reply.Body))}
}

func (x *execution) receive() claims.Event {
	x.answer.WaitRoom(x.ctx)
	if x.ctx.Err() != nil {
		return x.interrupted(claims.ConnectionLost)
	}
	f, err := x.stream.Next(x.silence())
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
	st, err := conn.Resume(x.ctx, e.Stream, e.Offset, x.silence())
	if err != nil {
		conn.Close()
		x.service.log.Warn("stream could not be resumed", zap.String("stream", e.Stream), zap.Error(err))
		return x.interrupted(claims.ConnectionLost)
	}
	x.service.observer.resumed(x.request)
	x.conn = conn
	x.stream = st
	return claims.Event{Kind: claims.Started}
}

// retire closes the connection to the upstream.
func (x *execution) retire() {
	if x.stream != nil {
		x.stream.Close()
	}
	if x.conn != nil {
		x.conn.Close()
	}
	x.stream = nil
	x.conn = nil
}
