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
	// mostEvent bounds one event, in bytes.
	mostEvent = 1 << 20
	// streamSilence is how long a resumable stream may pause before it is
	// resumed at another upstream: several times the longest pause that is on
	// time, and well within what callers wait for.
	streamSilence = 1200 * time.Millisecond
)

var (
	errPartial = errors.New("the stream ended in the middle of an event")
	errGap     = errors.New("the resumed stream does not go on where the first one ended")
)

// stream is what the caller has of a stream so far.
type stream struct {
	// begun says that the header is written, last is the id of the last whole
	// event that was passed on.
	begun  bool
	last   string
	events int
	latest time.Time
	// longest is the longest pause between two events.
	longest time.Duration
}

// event is one event of a stream with its bytes as they came.
type event struct {
	raw []byte
	id  string
}

// readEvent reads up to the blank line that ends an event. It returns io.EOF
// where the stream ends between two events.
func readEvent(r *bufio.Reader) (event, error) {
	e := event{}
	for {
		line, err := r.ReadBytes('\n')
		e.raw = append(e.raw, line...)
		if err == io.EOF && len(bytes.TrimSpace(e.raw)) == 0 {
			return e, io.EOF
		}
		if err == io.EOF {
			return e, errPartial
		}
		if err != nil {
			return e, err
		}
		if len(e.raw) > mostEvent {
			return e, errTooLong
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

// after tells whether an event comes after the last one that was passed on.
func (s *stream) after(e event) bool {
	last, err1 := strconv.ParseInt(s.last, 10, 64)
	id, err2 := strconv.ParseInt(e.id, 10, 64)
	return err1 != nil || err2 != nil || id > last
}

// next tells whether an event is the one that must follow.
func (s *stream) next(e event) bool {
	last, err1 := strconv.ParseInt(s.last, 10, 64)
	id, err2 := strconv.ParseInt(e.id, 10, 64)
	return err1 != nil || err2 != nil || id == last+1
}

// relay passes on a stream event by event. One that breaks may go on at
// another upstream after the last whole event.
func (a *attempt) relay(ctx context.Context, resp *http.Response, patience *time.Timer) verdict {
	reader := bufio.NewReaderSize(resp.Body, readBuffer)
	silence := a.silence()
	defer silence.Stop()
	first := time.Time{}
	count := 0
	for {
		e, err := readEvent(reader)
		if err == io.EOF {
			return a.complete(ctx, resp, first, count)
		}
		if err != nil {
			_ = a.conn.Close()
			return a.lost(ctx, err)
		}
		now := time.Now()
		if first.IsZero() {
			first = now
			if patience != nil {
				patience.Stop()
			}
		}
		count++
		silence.Reset(streamSilence)
		if !a.stream.after(e) {
			continue
		}
		if a.stream.events > 0 && !a.stream.next(e) {
			return a.spoiled(errGap)
		}
		if err := a.deliver(resp, e, now); err != nil {
			_ = a.conn.Close()
			a.runs++
			a.end.Outcome = broker.Canceled
			a.outcome = callerGone
			return finished
		}
	}
}

// silence gives up on an upstream whose resumable stream pauses for too long.
func (a *attempt) silence() *time.Timer {
	t := time.AfterFunc(streamSilence, func() {
		if a.route.Repeatable() && a.runs+1 < a.route.Attempts {
			a.cancel(errSilent)
		}
	})
	if !a.stream.begun {
		t.Stop()
	}
	return t
}

// deliver writes one event to the caller.
func (a *attempt) deliver(resp *http.Response, e event, now time.Time) error {
	st := &a.stream
	if !st.begun {
		h := a.w.Header()
		for name, values := range endToEnd(resp.Header) {
			h[name] = values
		}
		a.s.closing(h)
		a.w.WriteHeader(resp.StatusCode)
		st.begun = true
		a.status = resp.StatusCode
		a.first = now.Sub(a.arrived)
	} else {
		st.longest = max(st.longest, now.Sub(st.latest))
	}
	st.latest = now
	if _, err := a.w.Write(e.raw); err != nil {
		return err
	}
	if err := http.NewResponseController(a.w).Flush(); err != nil {
		return err
	}
	st.events++
	if e.id != "" {
		st.last = e.id
	}
	return nil
}

// complete ends a stream that the upstream ended.
func (a *attempt) complete(ctx context.Context, resp *http.Response, first time.Time, count int) verdict {
	if !a.stream.begun {
		_ = a.conn.Close()
		return a.lost(ctx, io.ErrUnexpectedEOF)
	}
	a.runs++
	a.end.Outcome = broker.Done
	if !first.IsZero() {
		a.end.First = first.Sub(a.sent)
		a.end.Decode = a.stream.latest.Sub(first)
	}
	if a.engine != nil {
		a.end.OutputTokens = max(0, count-1) * max(1, a.engine.EventTokens)
	}
	a.outcome = answered
	a.release(resp, nil)
	a.s.log.Debug("stream complete", a.fields(zap.Int("events", a.stream.events))...)
	return finished
}
