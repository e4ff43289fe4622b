package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/internal/port"
)

const (
	// maxResponseBytes bounds the body of a response that is not a stream.
	maxResponseBytes = 16 << 20
	// minEarlyResponseBodyBytes is the request body length above which an upstream
	// may respond before it has read the body; shorter bodies arrive together
	// with the header.
	minEarlyResponseBodyBytes = 4 << 10
	// maxStrayResponses bounds the responses to other requests that are skipped
	// on a connection before it is closed.
	maxStrayResponses = 2
	// minServiceResponseTimeout and minEngineResponseTimeout are lower bounds of
	// the time after which a repeatable request is sent to another upstream;
	// above them the timeout is responseTimeoutFactor times the expected time.
	minServiceResponseTimeout = 200 * time.Millisecond
	minEngineResponseTimeout  = 600 * time.Millisecond
	responseTimeoutFactor     = 3
	// writeResultTimeout is how long a completed response waits for the result of
	// writing its request before the connection is closed.
	writeResultTimeout = 50 * time.Millisecond
)

// These texts are part of error responses to callers.
var (
	errStrayResponse   = errors.New("the answer belongs to another request")
	errUnsealed        = errors.New("the answer lacks the upstream's seal")
	errEncoded         = errors.New("the answer is encoded, which nobody asked for")
	errUpstreamTimeout = errors.New("the upstream did not answer in the expected time")
	errTooLarge        = errors.New("the answer is too long")
)

// response is a complete response of an upstream that is not a stream.
type response struct {
	status int
	header http.Header
	body   []byte
}

// upstreamAttempt is the sending of a request to one upstream.
type upstreamAttempt struct {
	*exchange
	ticket port.BrokerTicket
	conn   *conn
	sentAt time.Time
	// heardAt is when the upstream last sent a part of its response, or sentAt.
	heardAt time.Time
	end     broker.End
	// writeResult receives the result of writing the request, since an upstream
	// may respond before it has read the whole request.
	writeResult chan error
	// cancel ends the attempt and closes its connection. detachConn lets the
	// connection outlive the attempt; it returns false if the connection is
	// already being closed.
	cancel     context.CancelCauseFunc
	detachConn func() bool
}

// attemptUpstream sends the request to the granted upstream and relays the
// response.
func (x *exchange) attemptUpstream(ticket port.BrokerTicket) nextStep {
	a := &upstreamAttempt{exchange: x, ticket: ticket, writeResult: make(chan error, 1)}
	defer func() { ticket.End(a.end) }()
	x.triedUpstreams = append(x.triedUpstreams, ticket.Upstream)
	c, err := x.s.conns.get(x.ctx, ticket.Address, !x.route.Repeatable())
	if err != nil {
		return a.recordUnsent(broker.Unreachable, err)
	}
	a.conn = c
	ctx, cancel := context.WithCancelCause(x.ctx)
	defer cancel(nil)
	a.cancel = cancel
	a.detachConn = context.AfterFunc(ctx, func() { _ = c.Close() })
	defer a.detachConn()
	responseTimer := a.startResponseTimer(cancel)
	if responseTimer != nil {
		defer responseTimer.Stop()
	}
	a.sentAt = time.Now()
	a.heardAt = a.sentAt
	go a.sendRequest(a.encodeRequest())
	resp, meta, err := a.readResponse()
	if err != nil {
		_ = c.Close()
		return a.recordLost(ctx, err)
	}
	a.heardAt = time.Now()
	switch {
	case meta.Misdirected, meta.NotExecuted:
		return a.recordRejected(resp, meta)
	case !meta.Sealed:
		return a.recordInvalid(errUnsealed)
	case resp.Header.Get("Content-Encoding") != "":
		return a.recordInvalid(errEncoded)
	}
	if isStream(resp) && resp.StatusCode < http.StatusMultipleChoices {
		return a.relayStream(ctx, resp, responseTimer)
	}
	return a.relayBody(ctx, resp)
}

// startResponseTimer starts a timer that cancels the attempt if the upstream does
// not respond. It returns nil if the request may not be sent elsewhere.
func (a *upstreamAttempt) startResponseTimer(cancel context.CancelCauseFunc) *time.Timer {
	if !a.route.Repeatable() || a.possibleRuns+1 >= a.route.MaxAttempts || a.stream.headerSent {
		return nil
	}
	timeout := minServiceResponseTimeout
	if a.engine != nil {
		timeout = minEngineResponseTimeout
	}
	return time.AfterFunc(max(timeout, responseTimeoutFactor*a.ticket.ExpectedTimeToFirstEvent), func() { cancel(errUpstreamTimeout) })
}

// encodeRequest returns the request as it is sent to the upstream.
func (a *upstreamAttempt) encodeRequest() []byte {
	b := &bytes.Buffer{}
	h := withoutHopByHop(a.header)
	lastEvent := a.meta.LastEvent
	if a.stream.lastID != "" {
		lastEvent = a.stream.lastID
	}
	a.s.dialect.SetUpstreamHeaders(h, UpstreamRequestMeta{Upstream: a.ticket.Upstream, Workspace: a.workspace, Timeout: time.Until(a.deadline), LastEvent: lastEvent})
	fmt.Fprintf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n", a.method, a.requestTarget, a.host)
	_ = h.Write(b)
	if len(a.body) > 0 || (a.method != http.MethodGet && a.method != http.MethodHead) {
		fmt.Fprintf(b, "Content-Length: %d\r\n", len(a.body))
	}
	b.WriteString("\r\n")
	b.Write(a.body)
	return b.Bytes()
}

// sendRequest writes the request and reports the result to writeResult.
func (a *upstreamAttempt) sendRequest(request []byte) {
	_, err := a.conn.Write(request)
	a.writeResult <- err
}

// readResponse reads the response header and its metadata. It skips late responses
// to earlier requests on the connection, which would otherwise reach the wrong
// caller.
func (a *upstreamAttempt) readResponse() (*http.Response, ResponseMeta, error) {
	for range maxStrayResponses + 1 {
		resp, err := http.ReadResponse(a.conn.reader, &http.Request{Method: a.method})
		if err != nil {
			return nil, ResponseMeta{}, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		meta := a.s.dialect.ParseResponse(resp.StatusCode, resp.Header)
		if meta.RequestID == "" || meta.RequestID == a.meta.RequestID {
			return resp, meta, nil
		}
		a.s.log.Info("answer to another request skipped", a.logFields(zap.String("upstream", a.ticket.Upstream), zap.String("answers", meta.RequestID))...)
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes)); err != nil {
			return nil, ResponseMeta{}, err
		}
		_ = resp.Body.Close()
	}
	return nil, ResponseMeta{}, errStrayResponse
}

func isStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// recordUnsent records an attempt that sent nothing.
func (a *upstreamAttempt) recordUnsent(o broker.Outcome, err error) nextStep {
	a.end.Outcome = o
	if a.callerDisconnected() {
		a.end.Outcome = broker.NotSent
	}
	a.notRunAttempts++
	a.logFailure(err)
	return tryNext
}

// recordLost records an attempt without a complete response. The request may have
// run.
func (a *upstreamAttempt) recordLost(ctx context.Context, err error) nextStep {
	a.possibleRuns++
	a.end.Outcome = broker.ConnectionLost
	switch cause := context.Cause(ctx); {
	case a.callerDisconnected():
		a.end.Outcome = broker.Canceled
	case errors.Is(cause, errUpstreamTimeout), errors.Is(cause, context.DeadlineExceeded):
		a.end.Outcome = broker.TimedOut
		err = cause
	case errors.Is(err, errStrayResponse):
		a.end.Outcome = broker.InvalidResponse
	}
	a.logFailure(err)
	return tryNext
}

// recordInvalid records a response that must not be relayed. The request may have
// run.
func (a *upstreamAttempt) recordInvalid(err error) nextStep {
	_ = a.conn.Close()
	a.possibleRuns++
	a.end.Outcome = broker.InvalidResponse
	a.logFailure(err)
	return tryNext
}

// recordRejected records a response that states that the request did not run.
func (a *upstreamAttempt) recordRejected(resp *http.Response, meta ResponseMeta) nextStep {
	a.discardBody(resp)
	a.notRunAttempts++
	a.end.Outcome = broker.Rejected
	if meta.Misdirected {
		a.end.Outcome = broker.Misdirected
	}
	a.logFailure(errors.New(resp.Status))
	return tryNext
}

// logFailure logs an attempt that did not succeed and counts it by its outcome.
func (a *upstreamAttempt) logFailure(err error) {
	a.reason = err.Error()
	reused := a.conn != nil && a.conn.reused
	silence := time.Duration(0)
	if !a.heardAt.IsZero() {
		silence = time.Since(a.heardAt)
	}
	a.s.metrics.failedAttempts.WithLabelValues(a.pool, a.end.Outcome.String()).Inc()
	a.s.log.Info("try failed", a.logFields(zap.String("upstream", a.ticket.Upstream), zap.String("address", a.ticket.Address), zap.Stringer("outcome", a.end.Outcome),
		zap.Int("runs", a.possibleRuns), zap.Int("rejects", a.notRunAttempts), zap.Bool("reused", reused), zap.Duration("silent", silence), zap.Error(err))...)
}

// discardBody reads the rest of a response, so that its connection can be reused.
func (a *upstreamAttempt) discardBody(resp *http.Response) {
	_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes))
	a.releaseConn(resp, err)
}

// releaseConn returns the connection to the pool after a response, or closes it if
// it can't carry another request.
func (a *upstreamAttempt) releaseConn(resp *http.Response, err error) {
	// An upstream may report a failure before it reads a long body, even if the
	// kernel has accepted all of it: the next request would wait behind the rest.
	early := resp.StatusCode >= http.StatusBadRequest && len(a.body) > minEarlyResponseBodyBytes
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if err != nil || early || !a.requestSent() || resp.Close || !framed || a.conn.reader.Buffered() > 0 || !a.detachConn() {
		_ = a.conn.Close()
		return
	}
	a.s.conns.put(a.ticket.Address, a.conn, resp.Header)
}

// requestSent reports whether the whole request was written. The goroutine that wrote it
// may report that later than the upstream responds.
func (a *upstreamAttempt) requestSent() bool {
	timeout := time.NewTimer(writeResultTimeout)
	defer timeout.Stop()
	select {
	case err := <-a.writeResult:
		return err == nil
	case <-timeout.C:
		return false
	}
}

// relayBody reads a whole response and relays it. A server error is kept and
// relayed only if no other attempt succeeds.
func (a *upstreamAttempt) relayBody(ctx context.Context, resp *http.Response) nextStep {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = errTooLarge
	}
	if err != nil {
		_ = a.conn.Close()
		return a.recordLost(ctx, err)
	}
	a.end.TimeToFirstEvent = time.Since(a.sentAt)
	a.timeToFirstEvent = a.end.TimeToFirstEvent
	a.possibleRuns++
	out := &response{status: resp.StatusCode, header: withoutHopByHop(resp.Header), body: body}
	if resp.StatusCode >= http.StatusInternalServerError {
		a.end.Outcome = broker.UpstreamError
		a.releaseConn(resp, nil)
		a.upstreamError = out
		a.logFailure(errors.New(resp.Status))
		return tryNext
	}
	a.end.Outcome = broker.Completed
	a.releaseConn(resp, nil)
	a.writeResponse(out)
	return stop
}

// writeResponse writes an upstream's response to the caller.
func (x *exchange) writeResponse(r *response) {
	if x.stream.headerSent {
		x.abortStream()
	}
	x.status, x.outcome = r.status, outcomeAnswered
	if r.status >= http.StatusInternalServerError {
		x.outcome = outcomeUpstreamError
	}
	h := x.w.Header()
	for name, values := range r.header {
		h[name] = values
	}
	h.Set("Content-Length", strconv.Itoa(len(r.body)))
	x.s.setConnectionClose(h)
	x.w.WriteHeader(r.status)
	if _, err := x.w.Write(r.body); err != nil {
		x.outcome = outcomeCallerGone
	}
}
