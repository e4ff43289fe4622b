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
	// mostAnswer bounds a plain answer, in bytes.
	mostAnswer = 16 << 20
	// longBody is the length in bytes from which an upstream may answer before it
	// has read the body; shorter ones arrive with the header.
	longBody = 4 << 10
	// strayAnswers is how many answers to other requests are skipped on a
	// connection before it is given up.
	strayAnswers = 2
	// plainPatience and streamPatience are the shortest times after which a
	// request that may be repeated is tried elsewhere; patienceFactor is how
	// often the expected time is waited for.
	plainPatience  = 200 * time.Millisecond
	streamPatience = 600 * time.Millisecond
	patienceFactor = 3
)

var (
	errStray    = errors.New("the answer belongs to another request")
	errUnsealed = errors.New("the answer lacks the upstream's seal")
	errEncoded  = errors.New("the answer is encoded, which nobody asked for")
	errSilent   = errors.New("the upstream did not answer in the expected time")
	errTooLong  = errors.New("the answer is too long")
)

// reply is an upstream's answer, with its body where that is plain.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// attempt is one try at one upstream.
type attempt struct {
	*exchange
	ticket port.WorkTicket
	conn   *conn
	sent   time.Time
	end    broker.End
	// wrote receives how sending ended: an upstream may answer before it has
	// read all.
	wrote chan error
	// cancel ends the try; unhook lets the connection outlive it, and returns
	// false where it is closed already.
	cancel context.CancelCauseFunc
	unhook func() bool
}

// try sends the request to the granted upstream and passes on its answer.
func (x *exchange) try(ticket port.WorkTicket) verdict {
	a := &attempt{exchange: x, ticket: ticket, wrote: make(chan error, 1)}
	defer func() { ticket.End(a.end) }()
	x.avoid = append(x.avoid, ticket.Upstream)
	c, err := x.s.conns.get(x.ctx, ticket.Address, !x.route.Repeatable())
	if err != nil {
		return a.failed(broker.Unreachable, err)
	}
	a.conn = c
	ctx, cancel := context.WithCancelCause(x.ctx)
	defer cancel(nil)
	a.cancel = cancel
	a.unhook = context.AfterFunc(ctx, func() { _ = c.Close() })
	defer a.unhook()
	patience := a.patience(cancel)
	if patience != nil {
		defer patience.Stop()
	}
	a.sent = time.Now()
	go a.write(a.head())
	resp, said, err := a.read()
	if err != nil {
		_ = c.Close()
		return a.lost(ctx, err)
	}
	switch {
	case said.Misdirected, said.NotRun:
		return a.rejected(resp, said)
	case !said.Sealed:
		return a.spoiled(errUnsealed)
	case resp.Header.Get("Content-Encoding") != "":
		return a.spoiled(errEncoded)
	}
	if isStream(resp) && resp.StatusCode < http.StatusMultipleChoices {
		return a.relay(ctx, resp, patience)
	}
	return a.plain(ctx, resp)
}

// patience gives up on a silent upstream where the request may go elsewhere.
func (a *attempt) patience(cancel context.CancelCauseFunc) *time.Timer {
	if !a.route.Repeatable() || a.runs+1 >= a.route.Attempts || a.stream.begun {
		return nil
	}
	least := plainPatience
	if a.engine != nil {
		least = streamPatience
	}
	return time.AfterFunc(max(least, patienceFactor*a.ticket.Expected), func() { cancel(errSilent) })
}

// head gives the request's bytes as they are sent.
func (a *attempt) head() []byte {
	b := &bytes.Buffer{}
	h := endToEnd(a.header)
	last := a.meta.LastEvent
	if a.stream.last != "" {
		last = a.stream.last
	}
	a.s.dialect.Outgoing(h, Outgoing{Upstream: a.ticket.Upstream, Workspace: a.workspace, Wait: time.Until(a.deadline), LastEvent: last})
	fmt.Fprintf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n", a.method, a.target, a.host)
	_ = h.Write(b)
	if len(a.body) > 0 || (a.method != http.MethodGet && a.method != http.MethodHead) {
		fmt.Fprintf(b, "Content-Length: %d\r\n", len(a.body))
	}
	b.WriteString("\r\n")
	b.Write(a.body)
	return b.Bytes()
}

func (a *attempt) write(request []byte) {
	_, err := a.conn.Write(request)
	a.wrote <- err
}

// read reads the header of the answer to this request, and what it says of
// itself; answers to others that arrive late are skipped.
func (a *attempt) read() (*http.Response, Answer, error) {
	for range strayAnswers + 1 {
		resp, err := http.ReadResponse(a.conn.reader, &http.Request{Method: a.method})
		if err != nil {
			return nil, Answer{}, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		said := a.s.dialect.Answer(resp.StatusCode, resp.Header)
		if said.Attempt == "" || said.Attempt == a.meta.Attempt {
			return resp, said, nil
		}
		a.s.log.Info("answer to another request skipped", a.fields(zap.String("upstream", a.ticket.Upstream), zap.String("answers", said.Attempt))...)
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, mostAnswer)); err != nil {
			return nil, Answer{}, err
		}
		_ = resp.Body.Close()
	}
	return nil, Answer{}, errStray
}

func isStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// failed notes a try that ran nothing.
func (a *attempt) failed(o broker.Outcome, err error) verdict {
	a.end.Outcome = o
	if a.gone() {
		a.end.Outcome = broker.NotSent
	}
	a.rejects++
	a.note(err)
	return again
}

// lost notes a try that may have run the request.
func (a *attempt) lost(ctx context.Context, err error) verdict {
	a.runs++
	a.end.Outcome = broker.Broken
	switch cause := context.Cause(ctx); {
	case a.gone():
		a.end.Outcome = broker.Canceled
	case errors.Is(cause, errSilent), errors.Is(cause, context.DeadlineExceeded):
		a.end.Outcome = broker.Silent
		err = cause
	case errors.Is(err, errStray):
		a.end.Outcome = broker.Spoiled
	}
	a.note(err)
	return again
}

// spoiled notes an answer that can't be passed on.
func (a *attempt) spoiled(err error) verdict {
	_ = a.conn.Close()
	a.runs++
	a.end.Outcome = broker.Spoiled
	a.note(err)
	return again
}

// rejected notes an answer which says that the request did not run.
func (a *attempt) rejected(resp *http.Response, said Answer) verdict {
	a.drain(resp)
	a.rejects++
	a.end.Outcome = broker.Full
	if said.Misdirected {
		a.end.Outcome = broker.Misdirected
	}
	a.note(errors.New(resp.Status))
	return again
}

// note logs a try that brought no answer.
func (a *attempt) note(err error) {
	a.why = err.Error()
	reused := a.conn != nil && a.conn.reused
	a.s.metrics.tries.WithLabelValues(a.pool, a.end.Outcome.String()).Inc()
	a.s.log.Info("try failed", a.fields(zap.String("upstream", a.ticket.Upstream), zap.String("address", a.ticket.Address), zap.Stringer("outcome", a.end.Outcome),
		zap.Int("runs", a.runs), zap.Int("rejects", a.rejects), zap.Bool("reused", reused), zap.Error(err))...)
}

// drain reads the rest of an answer and keeps the connection where that may
// carry another request.
func (a *attempt) drain(resp *http.Response) {
	_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, mostAnswer))
	a.release(resp, err)
}

// release keeps or closes the connection after an answer.
func (a *attempt) release(resp *http.Response, err error) {
	sent := false
	select {
	case wrong := <-a.wrote:
		sent = wrong == nil
	default:
	}
	// A failure may be said before a long body is read, though the kernel has
	// taken all of it: the next request would wait behind the rest.
	early := resp.StatusCode >= http.StatusBadRequest && len(a.body) > longBody
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if err != nil || !sent || resp.Close || early || !framed || a.conn.reader.Buffered() > 0 || !a.unhook() {
		_ = a.conn.Close()
		return
	}
	a.s.conns.put(a.ticket.Address, a.conn, resp.Header)
}

// plain reads a whole answer and passes it on.
func (a *attempt) plain(ctx context.Context, resp *http.Response) verdict {
	body, err := io.ReadAll(io.LimitReader(resp.Body, mostAnswer+1))
	if err == nil && len(body) > mostAnswer {
		err = errTooLong
	}
	if err != nil {
		_ = a.conn.Close()
		return a.lost(ctx, err)
	}
	a.end.First = time.Since(a.sent)
	a.first = a.end.First
	a.runs++
	out := &reply{status: resp.StatusCode, header: endToEnd(resp.Header), body: body}
	if resp.StatusCode >= http.StatusInternalServerError {
		a.end.Outcome = broker.Failed
		a.release(resp, nil)
		a.failure = out
		a.note(errors.New(resp.Status))
		return again
	}
	a.end.Outcome = broker.Done
	a.release(resp, nil)
	a.pass(out)
	return finished
}

// pass writes an upstream's plain answer to the caller.
func (x *exchange) pass(r *reply) {
	if x.stream.begun {
		x.abort()
	}
	x.status, x.outcome = r.status, answered
	if r.status >= http.StatusInternalServerError {
		x.outcome = upstreamFailed
	}
	h := x.w.Header()
	for name, values := range r.header {
		h[name] = values
	}
	h.Set("Content-Length", strconv.Itoa(len(r.body)))
	x.s.closing(h)
	x.w.WriteHeader(r.status)
	if _, err := x.w.Write(r.body); err != nil {
		x.outcome = callerGone
	}
}
