package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/internal/httpresponse"
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
	// writeResultTimeout is how long a completed response waits for the result of
	// writing its request before the connection is closed.
	writeResultTimeout = 50 * time.Millisecond
	// maxPendingProgress is the number of reports that pass to the exchange without a
	// backlog. A caller that is no slower than its upstream is seldom behind by more.
	maxPendingProgress = 8
)

// These texts are part of error responses to callers.
var (
	errStrayResponse    = errors.New("the answer belongs to another request")
	errUnnamedRejection = errors.New("the upstream rejected a request without naming it; it may be an earlier one")
	errUnsealed         = errors.New("the answer lacks the upstream's seal")
	errEncoded          = errors.New("the answer is encoded, which nobody asked for")
	errUpstreamTimeout  = errors.New("the upstream did not answer in the expected time")
)

// response is a complete response of an upstream that is not a stream.
type response struct {
	status int
	header http.Header
	body   []byte
}

// progressKind is what an attempt has reached.
type progressKind uint8

const (
	// requestSent means that an upstream was granted and the request is being sent.
	requestSent progressKind = iota
	// responseStarted means that the header of a stream arrived, or another response
	// as a whole.
	responseStarted
	// eventReceived means that an event of a stream arrived.
	eventReceived
)

// progress is a report of an attempt to its exchange.
type progress struct {
	kind  progressKind
	event event
	at    time.Time
}

// upstreamAttempt is the sending of a request to one upstream. A goroutine acquires the
// grant, sends the request and reads the response; it reports to the exchange, which
// owns the caller's response and decides.
type upstreamAttempt struct {
	s *Service
	*request
	offer port.BrokerOffer
	// lastEvent is the id of the event after which a stream resumes; empty for none.
	lastEvent string
	// isOnly is set if no other attempt has run the request or may run it, so that it can still be
	// refused. A replacement becomes the only attempt if the other one did not run the request.
	isOnly atomic.Bool
	// cancel ends the attempt and closes its connection.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// progress is closed once the attempt has ended, with err set.
	progress chan progress
	// backlog holds what does not fit into progress. abandoned is closed once nobody
	// reads progress any more.
	backlog   backlog
	abandoned chan struct{}

	// The goroutine sets these fields; the exchange reads them after the report that
	// follows.

	ticket  port.BrokerTicket
	granted bool
	// retryReserved is true while the attempt has a place in the retry budget and is not sent.
	retryReserved bool
	queueTime     time.Duration
	// conn is nil until the request is sent. detachConn lets it outlive the attempt;
	// it returns false if the connection is already being closed.
	conn       *conn
	detachConn func() bool
	sentAt     time.Time
	// writeResult receives the result of writing the request, since an upstream
	// may respond before it has read the whole request.
	writeResult chan error
	resp        *http.Response
	respMeta    ResponseMeta
	// respBody is the body of a response that is not a stream, as far as it was read;
	// respBodyErr is set if the rest is missing.
	respBody    []byte
	respBodyErr error
	// isPathSound is set once the upstream's machine has acknowledged a request to which the
	// upstream sends nothing.
	isPathSound atomic.Bool
	// read is what was read of a stream.
	read streamTimes
	// isReused is set if an earlier request was sent on the connection; a released connection is
	// no longer the attempt's. isGrantEnded is set if the grant and the connection were given
	// back before the caller had all events.
	isReused     bool
	isGrantEnded bool
	// regrantEnd bounds the wait of a late request for another grant, after one that it could not
	// use: its caller would wait as long before it asks another entry, which may use that one. It is
	// zero before.
	regrantEnd time.Time
	// isCutInEvent is set if the stream broke off inside an event.
	isCutInEvent bool
	// err is why the attempt ended; nil if the response is complete.
	err error

	// The exchange owns these fields.

	// heardAt is when the upstream last sent a part of its response, or sentAt.
	heardAt  time.Time
	relayed  streamTimes
	recorded bool
	ended    bool
	// streamEnded is set for a replacement whose stream ended with nothing to add.
	streamEnded bool
	// hasContinued is set once the caller has an event of the attempt.
	hasContinued bool
	end          broker.End
}

// newAttempt returns an attempt with the given offer.
func (s *Service) newAttempt(ctx context.Context, q *request, offer port.BrokerOffer, lastEvent string, isOnly bool) *upstreamAttempt {
	a := &upstreamAttempt{
		s: s, request: q, offer: offer, lastEvent: lastEvent,
		progress: make(chan progress, maxPendingProgress), abandoned: make(chan struct{}), writeResult: make(chan error, 1),
	}
	a.isOnly.Store(isOnly)
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	return a
}

// start makes the attempt in a goroutine.
func (a *upstreamAttempt) start() {
	go func() {
		defer close(a.progress)
		a.err = a.performOrRecover()
		a.endBeforeCaller()
		a.awaitBacklog()
	}()
}

// performOrRecover makes the attempt. A panic becomes its error: it must not end the
// other requests of the daemon.
func (a *upstreamAttempt) performOrRecover() (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = fmt.Errorf("panic: %v", v)
			a.s.log.Error("upstream attempt panicked; report this as a bug", a.logFields(zap.Error(err), zap.Stack("stack"))...)
		}
	}()
	return a.perform()
}

// report passes progress to the exchange. It returns false if the attempt was canceled.
func (a *upstreamAttempt) report(p progress) bool {
	p.at = time.Now()
	if p.kind == eventReceived {
		return a.reportEvent(p)
	}
	select {
	case a.progress <- p:
		return true
	case <-a.ctx.Done():
		return false
	}
}

// reportEvent passes an event to the exchange, or to the backlog if the caller is slow. It
// never waits for the caller: the upstream would cut off a response that stays unread.
func (a *upstreamAttempt) reportEvent(p progress) bool {
	if a.ctx.Err() != nil {
		return false
	}
	a.read.add(p.at)
	if a.addToBacklog(p, false) {
		return true
	}
	select {
	case a.progress <- p:
		return true
	default:
		return a.addToBacklog(p, true)
	}
}

// perform makes the attempt. It returns nil once the response is complete.
func (a *upstreamAttempt) perform() error {
	c, err := a.connect()
	if err != nil {
		return err
	}
	if err := a.takeRetry(c); err != nil {
		return err
	}
	a.conn, a.isReused = c, c.reused
	a.detachConn = context.AfterFunc(a.ctx, func() { _ = c.Close() })
	a.sentAt = time.Now()
	go a.sendRequest(a.encodeHead())
	if !a.report(progress{kind: requestSent}) {
		return context.Cause(a.ctx)
	}
	check := time.AfterFunc(pathCheckDelay, a.checkPath)
	defer check.Stop()
	if err := a.readResponse(); err != nil {
		return err
	}
	check.Stop()
	if a.isStream() {
		if !a.report(progress{kind: responseStarted}) {
			return context.Cause(a.ctx)
		}
		return a.readEvents()
	}
	a.readBody()
	if a.respBodyErr != nil && !a.isRejected() {
		return a.respBodyErr
	}
	if !a.report(progress{kind: responseStarted}) {
		return context.Cause(a.ctx)
	}
	return nil
}

// acquire waits for the grant of an upstream.
func (a *upstreamAttempt) acquire() error {
	offeredAt := time.Now()
	if a.isOnly.Load() && !a.regrantEnd.IsZero() && offeredAt.After(a.regrantEnd) {
		return errCannotFinish
	}
	ctx, release := a.waitContext()
	defer release()
	ticket, err := a.s.brokerClient.Acquire(ctx, a.offer)
	a.queueTime += time.Since(offeredAt)
	a.ticket = ticket
	if err != nil && a.ctx.Err() == nil && errors.Is(context.Cause(ctx), errCannotFinish) {
		return errCannotFinish
	}
	if err != nil {
		return err
	}
	a.granted = true
	versionReason := zap.Skip()
	if ticket.VersionReason != "" {
		versionReason = zap.String("version_why", ticket.VersionReason)
	}
	a.s.log.Info("granted", a.logFields(zap.String("upstream", ticket.Upstream), zap.String("by", ticket.GrantedBy), zap.Duration("waited", a.queueTime),
		zap.Duration("expected", ticket.ExpectedTimeToFirstEvent), zap.Int("free", ticket.FreeSlots), zap.Int("queued", ticket.Queued), zap.Int("rank", a.rank), zap.String("software", ticket.SoftwareVersion), zap.String("resumes", a.meta.ResumedRequest), versionReason)...)
	return nil
}

// encodeHead returns the request as it is sent to the upstream, without its body.
func (a *upstreamAttempt) encodeHead() []byte {
	b := &bytes.Buffer{}
	h := withoutHopByHop(a.header)
	a.s.dialect.SetUpstreamHeaders(h, UpstreamRequestMeta{Upstream: a.ticket.Upstream, Workspace: a.workspace, Timeout: a.remaining(), LastEvent: a.lastEvent})
	fmt.Fprintf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n", a.method, a.requestTarget, a.host)
	_ = h.Write(b)
	if len(a.body) > 0 || (a.method != http.MethodGet && a.method != http.MethodHead) {
		fmt.Fprintf(b, "Content-Length: %d\r\n", len(a.body))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// sendRequest writes the request and reports the result to writeResult. A long body is not
// copied.
func (a *upstreamAttempt) sendRequest(head []byte) {
	err := error(nil)
	if len(a.body) <= bodyChunkBytes {
		_, err = a.conn.Write(append(head, a.body...))
	} else {
		_, err = (&net.Buffers{head, a.body}).WriteTo(a.conn.Conn)
	}
	a.writeResult <- err
}

// readResponse reads the response header and its metadata. It skips late responses
// to earlier requests on the connection, which would otherwise reach the wrong
// caller. It returns an error for a response that must not be relayed.
func (a *upstreamAttempt) readResponse() error {
	follows := a.isReused
	for range maxStrayResponses + 1 {
		resp, err := a.conn.readHead(a.method)
		if err != nil {
			return err
		}
		meta := a.s.dialect.ParseResponse(resp.StatusCode, resp.Header)
		if follows && a.isOfUnknownRequest(resp, meta) {
			return a.unknownResponseError(resp, meta)
		}
		a.recordNotices(meta)
		if meta.RequestID == "" || meta.RequestID == a.meta.RequestID {
			a.resp, a.respMeta = resp, meta
			a.reportLimit(meta)
			return a.checkResponse()
		}
		a.s.log.Info("answer to another request skipped", a.logFields(zap.String("upstream", a.ticket.Upstream), zap.String("answers", meta.RequestID))...)
		follows, a.conn.namesRequests = true, true
		if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes+1)); err != nil {
			return err
		} else if n > maxResponseBytes {
			return errTooLarge
		}
		_ = resp.Body.Close()
	}
	return errStrayResponse
}

// checkResponse returns an error if the response header shows that the response must
// not be relayed.
func (a *upstreamAttempt) checkResponse() error {
	switch {
	case a.isRejected():
		return nil
	case !a.respMeta.Sealed:
		return errUnsealed
	case a.resp.Header.Get("Content-Encoding") != "":
		return errEncoded
	}
	return nil
}

// isRejected reports whether the response states that the request did not run.
func (a *upstreamAttempt) isRejected() bool { return a.respMeta.Misdirected || a.respMeta.NotExecuted }

// isStream reports whether the response is a stream of events.
func (a *upstreamAttempt) isStream() bool {
	return !a.isRejected() && a.resp.StatusCode < http.StatusMultipleChoices && strings.HasPrefix(a.resp.Header.Get("Content-Type"), "text/event-stream")
}

// readBody reads the body of a response that is not a stream.
func (a *upstreamAttempt) readBody() {
	chunk := [bodyChunkBytes]byte{}
	for {
		n, err := a.resp.Body.Read(chunk[:])
		switch {
		case len(a.respBody)+n > maxResponseBytes:
			err = errTooLarge
		case n == 0:
		case !a.holding.reserveOrCutOff(a.ctx, n):
			err = errBuffersFull
		default:
			a.respBody = append(a.respBody, chunk[:n]...)
		}
		if err == io.EOF {
			a.respBodyErr = httpresponse.CheckTrailer(a.resp)
			return
		}
		if err != nil {
			a.respBodyErr = err
			return
		}
	}
}

// readEvents reports the events of a stream up to its end.
func (a *upstreamAttempt) readEvents() error {
	reader := &heldReader{Reader: bufio.NewReaderSize(a.resp.Body, readBufferBytes), hold: a.holdEvent}
	for {
		e, err := readEvent(reader)
		if err == io.EOF {
			return httpresponse.CheckTrailer(a.resp)
		}
		if err != nil {
			a.isCutInEvent = e.isBegun()
			return err
		}
		if !a.report(progress{kind: eventReceived, event: e}) {
			return context.Cause(a.ctx)
		}
	}
}

// holdEvent counts bytes of events. It waits while the entry has no memory for them.
func (a *upstreamAttempt) holdEvent(n int) error {
	if !a.holding.reserveOrWait(a.ctx, n) {
		return context.Cause(a.ctx)
	}
	return nil
}

// completeResponse returns the response, which is not a stream.
func (a *upstreamAttempt) completeResponse() *response {
	return &response{status: a.resp.StatusCode, header: withoutHopByHop(a.resp.Header), body: a.respBody}
}

// finish cancels the attempt, waits for its goroutine and ends the grant.
func (a *upstreamAttempt) finish(o broker.Outcome) {
	if a.ended {
		return
	}
	a.ended = true
	close(a.abandoned)
	a.cancel(nil)
	for range a.progress {
		// Reports that nobody reads any more.
	}
	if a.retryReserved {
		a.s.retryBudgets.release(a.pool)
	}
	if a.granted && !a.isGrantEnded {
		if a.conn == nil && o == broker.Canceled {
			o = broker.NotSent
		}
		a.end.Outcome, a.end.AnswerBegun = o, a.relayed.events > 0
		a.endCheckedGrant(a.end)
	}
}

// releaseConn returns the connection to the pool after a response, or closes it if
// it can't carry another request. One on which a refusal named no request is closed: neither
// could the next refusal be told from a copy of it.
func (a *upstreamAttempt) releaseConn(err error) {
	// An upstream may report a failure before it reads a long body, even if the
	// kernel has accepted all of it: the next request would wait behind the rest.
	early := a.resp.StatusCode >= http.StatusBadRequest && len(a.body) > minEarlyResponseBodyBytes
	unnamed := a.respMeta.RequestID == "" && isRefusal(a.resp.StatusCode, a.respMeta)
	if err != nil || early || unnamed || !a.isWritten() || a.resp.Close || !a.isFramed() || a.conn.reader.Buffered() > 0 || !a.detachConn() {
		_ = a.conn.Close()
		return
	}
	a.conn.namesRequests = a.conn.namesRequests || a.respMeta.RequestID != ""
	if a.isRejected() || a.resp.StatusCode >= http.StatusInternalServerError {
		a.conn.unserved = append(a.conn.unserved, hashText(a.meta.RequestID))
	}
	a.s.conns.put(a.ticket.Address, a.conn, a.resp.Header)
}

// isFramed reports whether the response states where it ends. Another one ends with its
// connection.
func (a *upstreamAttempt) isFramed() bool {
	return a.resp.ContentLength >= 0 || len(a.resp.TransferEncoding) > 0
}

// isWritten reports whether the whole request was written. The goroutine that wrote it
// may report that later than the upstream responds.
func (a *upstreamAttempt) isWritten() bool {
	timeout := time.NewTimer(writeResultTimeout)
	defer timeout.Stop()
	select {
	case err := <-a.writeResult:
		return err == nil
	case <-timeout.C:
		return false
	}
}
