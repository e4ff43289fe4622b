package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/api/upstream"
	"github.com/verbenastep/verbenastep/core/sched"
	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/answer"
	"github.com/verbenastep/verbenastep/internal/engine"
	"github.com/verbenastep/verbenastep/internal/port"
)

const (
	// resumeTries bounds new connections for one stream without progress.
	resumeTries = 5
	// resumePause is the wait between them.
	resumePause = 200 * time.Millisecond
	// claimPause is the wait before a claim of unknown fate is proposed again.
	claimPause = 100 * time.Millisecond
	// cancelTimeout bounds telling an engine to cancel.
	cancelTimeout = 2 * time.Second
	// maxReply is the largest reply of a plain service, in bytes.
	maxReply = 8 << 20
	// maxRecorded is the largest reply that is kept in the log, in bytes.
	maxRecorded = 16 << 10
)

// submit joins the running or finished answer of the same key, or starts the
// request.
func (s *Service) submit(r *request) (*answer.Answer, error) {
	fresh := answer.New(answer.Meta{Workspace: r.workspace.Name, Key: r.key, Digest: r.digest, Pool: r.pool})
	a, isNew := s.answers.Put(fresh)
	if !isNew {
		if a.Meta.Digest != r.digest {
			return nil, keyConflict(r.key)
		}
		return a, nil
	}
	s.running.Go(func() { s.run(r, a) })
	return a, nil
}

func keyConflict(key string) *fault.Error {
	e := fault.New(fault.Conflict, "use a new key for another request", "the key was used with another content")
	e.Key = key
	return e
}

// run takes a request from the queue to the end of its answer.
func (s *Service) run(r *request, a *answer.Answer) {
	ctx, cancel := context.WithDeadline(s.ctx, r.deadline)
	defer cancel()
	if !r.callerKey {
		go cancelWhenDetached(ctx, a, cancel)
	}
	if r.callerKey && s.joinClaimed(ctx, r, a) {
		return
	}
	t, conn, err := s.acquire(ctx, r)
	if err != nil {
		s.fail(a, fault.From(err))
		return
	}
	stream := r.workspace.Name + "-" + randomID()
	if r.callerKey && !s.claim(ctx, r, a, t, stream) {
		conn.Close()
		t.Release(sched.Release{Outcome: sched.NotSent})
		return
	}
	a.Begin(stream)
	if r.plain {
		s.runCall(ctx, r, a, t, conn, stream)
		return
	}
	s.runStream(ctx, r, a, t, conn, stream)
}

// cancelWhenDetached ends a request that no caller can pick up any more.
func cancelWhenDetached(ctx context.Context, a *answer.Answer, cancel context.CancelFunc) {
	select {
	case <-a.Detached():
		cancel()
	case <-ctx.Done():
	}
}

// fail ends an answer; one that did not run makes room for a resend.
func (s *Service) fail(a *answer.Answer, e *fault.Error) {
	e.Key = a.Meta.Key
	a.Fail(e)
	if e.Ran == fault.NotRun {
		s.answers.Remove(a)
	}
}

// acquire waits for a grant whose upstream can be reached.
func (s *Service) acquire(ctx context.Context, r *request) (port.Ticket, *engine.Conn, error) {
	for {
		t, err := s.sched.Acquire(ctx, r.schedulable(s.view.Snapshot().Config))
		if err != nil {
			return nil, nil, err
		}
		conn, err := engine.Dial(ctx, t.Address())
		if err == nil {
			return t, conn, nil
		}
		s.log.Warn("upstream refused the connection", zap.String("upstream", t.Upstream()), zap.Error(err))
		t.Release(sched.Release{Outcome: sched.NotSent})
		select {
		case <-time.After(resumePause):
		case <-ctx.Done():
			return nil, nil, fault.New(fault.Deadline, "send the request again later", "no upstream could be reached before the deadline")
		}
	}
}

// claim commits that the request is dispatched. It returns false where the
// answer is settled otherwise.
func (s *Service) claim(ctx context.Context, r *request, a *answer.Answer, t port.Ticket, stream string) bool {
	c := &state.Claim{
		Workspace: r.workspace.Name, Key: r.key, Digest: r.digest, Entry: s.self.Address, Pool: r.pool,
		Upstream: t.Upstream(), Address: t.Address(), Stream: stream, AtMS: time.Now().UnixMilli(),
	}
	for {
		result, err := s.logs.Propose(ctx, port.GroupMain, state.Command{Claim: c})
		if err == nil {
			return s.claimed(ctx, r, a, result)
		}
		select {
		case <-time.After(claimPause):
		case <-ctx.Done():
			s.fail(a, fault.New(fault.Unavailable, "send the request again with the same key", "the claim could not be committed: %v", err))
			return false
		}
	}
}

func (s *Service) claimed(ctx context.Context, r *request, a *answer.Answer, result state.Result) bool {
	switch result.Status {
	case state.OK:
		return true
	case state.Exists:
		s.follow(ctx, r, a, *result.Claim)
	case state.Conflict:
		s.fail(a, keyConflict(r.key))
	default:
		s.fail(a, fault.New(fault.Internal, "report it", "the claim was answered with %s", result.Status))
	}
	return false
}

// joinClaimed follows a claim that another entry, or an earlier run of this
// one, has made.
func (s *Service) joinClaimed(ctx context.Context, r *request, a *answer.Answer) bool {
	c, found, err := s.logs.Lookup(ctx, port.GroupMain, r.workspace.Name, r.key)
	if err != nil {
		s.fail(a, fault.From(err))
		return true
	}
	if !found {
		return false
	}
	if c.Digest != r.digest {
		s.fail(a, keyConflict(r.key))
		return true
	}
	s.follow(ctx, r, a, c)
	return true
}

// follow gives the caller the answer of a request that was dispatched before.
func (s *Service) follow(ctx context.Context, r *request, a *answer.Answer, c state.Claim) {
	a.Begin(c.Stream)
	if c.Done && c.Body != nil {
		_ = a.Append(0, c.Body)
		a.End(answer.Result{Status: c.Status, ContentType: c.ContentType})
		return
	}
	if r.plain {
		s.fail(a, outcomeUnknown())
		return
	}
	s.pump(ctx, a, nil, c.Address, c.Stream)
}

func outcomeUnknown() *fault.Error {
	e := fault.New(fault.Unknown, "check with the service whether it took effect; the key will not run again", "nobody can tell how the request ended")
	return e.WithRan(fault.MayHaveRun)
}

// runCall makes a plain service's call, once.
func (s *Service) runCall(ctx context.Context, r *request, a *answer.Answer, t port.Ticket, conn *engine.Conn, stream string) {
	defer conn.Close()
	began := time.Now()
	if !r.operation.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	reply, err := conn.Do(ctx, engine.Call{Stream: stream, Method: r.method, Path: r.path, Header: r.header, Body: r.body}, maxReply)
	if err != nil {
		t.Release(sched.Release{Outcome: sched.Broken})
		s.finish(r, a, state.Finish{Unknown: true})
		s.fail(a, outcomeUnknown())
		return
	}
	t.Release(sched.Release{Outcome: sched.Done, Decode: time.Since(began)})
	f := state.Finish{Status: reply.Status, ContentType: reply.ContentType, Length: int64(len(reply.Body))}
	if len(reply.Body) <= maxRecorded {
		f.Body = append([]byte{}, reply.Body...)
	}
	s.finish(r, a, f)
	_ = a.Append(0, reply.Body)
	a.End(answer.Result{Status: reply.Status, ContentType: reply.ContentType})
}

// finish records the end of a claimed request.
func (s *Service) finish(r *request, a *answer.Answer, f state.Finish) {
	if !r.callerKey {
		return
	}
	f.Workspace = r.workspace.Name
	f.Key = r.key
	f.Stream = a.Meta.Stream
	if _, err := s.logs.Propose(s.ctx, port.GroupMain, state.Command{Finish: &f}); err != nil {
		s.log.Warn("end of a request could not be recorded", zap.String("key", r.key), zap.Error(err))
	}
}

// runStream starts a stream on a runner and carries it to its end.
func (s *Service) runStream(ctx context.Context, r *request, a *answer.Answer, t port.Ticket, conn *engine.Conn, stream string) {
	began := time.Now()
	start := upstream.Start{Stream: stream, Model: r.pool, Prompt: r.prompt, MaxTokens: r.maxTokens, Options: r.options}
	start.Blocks = r.schedulable(s.view.Snapshot().Config).Blocks
	st, err := conn.Start(ctx, start)
	seen := observed{began: began}
	if err != nil {
		conn.Close()
		refused := (*engine.StatusError)(nil)
		if errors.As(err, &refused) && refused.Status < http.StatusInternalServerError {
			t.Release(sched.Release{Outcome: sched.NotSent})
			s.fail(a, fault.New(fault.Unavailable, "send the request again with a new key", "the upstream refused the request: %v", err))
			return
		}
	}
	s.pumpObserved(ctx, a, st, t.Address(), stream, &seen)
	t.Release(seen.release(ctx, a))
	s.finish(r, a, state.Finish{Length: a.Length()})
}

// observed is what a stream taught about its upstream.
type observed struct {
	began  time.Time
	first  time.Time
	last   time.Time
	tokens int
	cached int
	whole  bool
}

func (o *observed) frame(f upstream.Frame) {
	if f.Tokens > 0 && o.first.IsZero() {
		o.first = time.Now()
	}
	o.last = time.Now()
	o.tokens += f.Tokens
	o.cached = max(o.cached, f.CachedTokens)
	o.whole = o.whole || f.End
}

func (o *observed) release(ctx context.Context, _ *answer.Answer) sched.Release {
	r := sched.Release{Outcome: sched.Broken, OutputTokens: o.tokens, CachedTokens: o.cached}
	if o.whole {
		r.Outcome = sched.Done
	} else if ctx.Err() != nil {
		r.Outcome = sched.Canceled
	}
	if !o.first.IsZero() {
		r.Prefill = o.first.Sub(o.began)
		r.Decode = o.last.Sub(o.first)
	}
	return r
}

// pump carries a stream that something else started.
func (s *Service) pump(ctx context.Context, a *answer.Answer, st *engine.Stream, address, stream string) {
	s.pumpObserved(ctx, a, st, address, stream, &observed{began: time.Now()})
}

// pumpObserved reads frames into the answer. Where the connection breaks or
// falls silent it resumes at the answer's length over a new one; it never
// starts the stream again.
func (s *Service) pumpObserved(ctx context.Context, a *answer.Answer, st *engine.Stream, address, stream string, seen *observed) {
	quiet := time.Duration(s.view.Snapshot().Config.Times().SilenceMS) * time.Millisecond
	tries := 0
	for ctx.Err() == nil && tries < resumeTries {
		if st == nil {
			st = s.resume(ctx, a, address, stream)
		}
		if st == nil {
			tries++
			sleep(ctx, resumePause)
			continue
		}
		before := a.Length()
		ended := copyFrames(st, a, stream, quiet, seen)
		st.Close()
		st = nil
		if ended {
			return
		}
		tries++
		if a.Length() > before {
			tries = 0
		}
	}
	if ctx.Err() != nil {
		cancelStream(address, stream)
		s.fail(a, fault.New(fault.Canceled, "send the request again", "the request was canceled").WithRan(fault.DidRun))
		return
	}
	s.fail(a, outcomeUnknown())
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (s *Service) resume(ctx context.Context, a *answer.Answer, address, stream string) *engine.Stream {
	conn, err := engine.Dial(ctx, address)
	if err != nil {
		return nil
	}
	st, err := conn.Resume(ctx, stream, a.Length())
	if err != nil {
		conn.Close()
		s.log.Warn("stream could not be resumed", zap.String("stream", stream), zap.Error(err))
		return nil
	}
	return st
}

// copyFrames returns true once the answer has its end.
func copyFrames(st *engine.Stream, a *answer.Answer, stream string, quiet time.Duration, seen *observed) bool {
	for {
		f, err := st.Next(quiet)
		if err != nil || f.Stream != stream {
			return false
		}
		if f.Text != "" {
			if err := a.Append(f.Offset, []byte(f.Text)); err != nil {
				return false
			}
		}
		seen.frame(f)
		if f.Error != "" {
			a.Fail(fault.New(fault.Unknown, "send the request again with a new key", "the upstream failed: %s", f.Error).WithRan(fault.DidRun))
			return true
		}
		if f.End {
			a.End(answer.Result{Status: http.StatusOK, Finish: f.Finish, PromptTokens: f.PromptTokens, OutputTokens: seen.tokens})
			return true
		}
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
