package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/core/broker"
)

const (
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 1 << 20
	// maxStreamPause is the time without an event after which a resumable stream
	// is resumed at another upstream. It is several times the longest pause that
	// counts as on time, and well below callers' timeouts.
	maxStreamPause = 1200 * time.Millisecond
)

// These texts are part of error responses to callers.
var (
	errPartialEvent  = errors.New("the stream ended in the middle of an event")
	errMissingEvents = errors.New("the resumed stream does not go on where the first one ended")
)

// stream is the state of a stream as delivered to the caller.
type stream struct {
	// headerSent is set once the header is written; lastID is the id of the last
	// event that was delivered.
	headerSent  bool
	lastID      string
	events      int
	lastEventAt time.Time
	// longestPause is the longest time between two events.
	longestPause time.Duration
}

// event is one event of a stream; raw holds its bytes as received.
type event struct {
	raw []byte
	id  string
}

// readEvent reads one event including the blank line at its end. It returns io.EOF
// if the stream ends between two events, errPartialEvent if it ends within one.
func readEvent(r *bufio.Reader) (event, error) {
	e := event{}
	for {
		line, err := r.ReadBytes('\n')
		e.raw = append(e.raw, line...)
		if err == io.EOF && len(bytes.TrimSpace(e.raw)) == 0 {
			return e, io.EOF
		}
		if err == io.EOF {
			return e, errPartialEvent
		}
		if err != nil {
			return e, err
		}
		if len(e.raw) > maxEventBytes {
			return e, errTooLarge
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 && len(bytes.TrimSpace(e.raw)) > 0 {
			return e, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(value))
		}
	}
}

// isAfterLast reports whether an event follows the last one that was delivered.
// Events without numeric ids always do.
func (s *stream) isAfterLast(e event) bool {
	last, err1 := strconv.ParseInt(s.lastID, 10, 64)
	id, err2 := strconv.ParseInt(e.id, 10, 64)
	return err1 != nil || err2 != nil || id > last
}

// isNext reports whether an event is the direct successor of the last one that was
// delivered. Events without numeric ids always are.
func (s *stream) isNext(e event) bool {
	last, err1 := strconv.ParseInt(s.lastID, 10, 64)
	id, err2 := strconv.ParseInt(e.id, 10, 64)
	return err1 != nil || err2 != nil || id == last+1
}

// relayStream relays a stream event by event. It skips events that the caller
// already has, and fails on a gap. A stream that breaks may be resumed at another
// upstream after the last event that was delivered.
func (a *upstreamAttempt) relayStream(ctx context.Context, resp *http.Response, responseTimer *time.Timer) nextStep {
	reader := bufio.NewReaderSize(resp.Body, readBufferBytes)
	pauseTimer := a.startPauseTimer()
	defer pauseTimer.Stop()
	first := time.Time{}
	count := 0
	for {
		e, err := readEvent(reader)
		if err == io.EOF {
			return a.endStream(ctx, resp, first, count)
		}
		if err != nil {
			_ = a.conn.Close()
			return a.recordLost(ctx, err)
		}
		now := time.Now()
		a.heardAt = now
		if first.IsZero() {
			first = now
			if responseTimer != nil {
				responseTimer.Stop()
			}
		}
		count++
		pauseTimer.Reset(maxStreamPause)
		if !a.stream.isAfterLast(e) {
			continue
		}
		if a.stream.events > 0 && !a.stream.isNext(e) {
			return a.recordInvalid(errMissingEvents)
		}
		if err := a.writeEvent(resp, e, now); err != nil {
			_ = a.conn.Close()
			a.possibleRuns++
			a.end.Outcome = broker.Canceled
			a.outcome = outcomeCallerGone
			return stop
		}
	}
}

// startPauseTimer starts a timer that cancels the attempt if a resumable stream
// pauses for too long. Before the first event of a stream it is stopped, since the
// response timer applies.
func (a *upstreamAttempt) startPauseTimer() *time.Timer {
	t := time.AfterFunc(maxStreamPause, func() {
		if a.route.Repeatable() && a.possibleRuns+1 < a.route.MaxAttempts {
			a.cancel(errUpstreamTimeout)
		}
	})
	if !a.stream.headerSent {
		t.Stop()
	}
	return t
}

// writeEvent writes one event to the caller, after the header if it is the first.
func (a *upstreamAttempt) writeEvent(resp *http.Response, e event, now time.Time) error {
	st := &a.stream
	if !st.headerSent {
		h := a.w.Header()
		for name, values := range withoutHopByHop(resp.Header) {
			h[name] = values
		}
		a.s.setConnectionClose(h)
		a.w.WriteHeader(resp.StatusCode)
		st.headerSent = true
		a.status = resp.StatusCode
		a.timeToFirstEvent = now.Sub(a.arrived)
	} else {
		st.longestPause = max(st.longestPause, now.Sub(st.lastEventAt))
	}
	st.lastEventAt = now
	if _, err := a.w.Write(e.raw); err != nil {
		return err
	}
	if err := http.NewResponseController(a.w).Flush(); err != nil {
		return err
	}
	st.events++
	if e.id != "" {
		st.lastID = e.id
	}
	return nil
}

// endStream records the end of a stream that the upstream completed. A stream
// without any event counts as lost.
func (a *upstreamAttempt) endStream(ctx context.Context, resp *http.Response, first time.Time, count int) nextStep {
	if !a.stream.headerSent {
		_ = a.conn.Close()
		return a.recordLost(ctx, io.ErrUnexpectedEOF)
	}
	a.possibleRuns++
	a.end.Outcome = broker.Completed
	if !first.IsZero() {
		a.end.TimeToFirstEvent = first.Sub(a.sentAt)
		a.end.DecodeTime = a.stream.lastEventAt.Sub(first)
	}
	if a.engine != nil {
		a.end.OutputTokens = max(0, count-1) * max(1, a.engine.EventTokens)
	}
	a.outcome = outcomeAnswered
	a.releaseConn(resp, nil)
	a.s.log.Debug("stream complete", a.logFields(zap.Int("events", a.stream.events))...)
	return stop
}
