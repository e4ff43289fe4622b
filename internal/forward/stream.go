package forward

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/verbenastep/verbenastep/core/broker"
)

// maxEventBytes bounds the size of one event.
const maxEventBytes = 1 << 20

// These texts are part of error responses to callers.
var (
	errPartialEvent  = errors.New("the stream ended in the middle of an event")
	errMissingEvents = errors.New("the resumed stream does not go on where the first one ended")
	errForeignBytes  = errors.New("the stream contains another answer")
	errNotResumed    = errors.New("the answer to a resumption is no stream")
)

// stream is the state of a stream as delivered to the caller.
type stream struct {
	// headerSent is set once the header is written; lastID is the id of the last
	// event that was delivered.
	headerSent  bool
	lastID      string
	events      int
	lastEventAt time.Time
	// softwareVersion is that of the upstreams whose events were delivered.
	softwareVersion string
	// isUnfinished is set once a part of an event has arrived that the caller lacks.
	isUnfinished bool
	// longestPause is the longest time between two events.
	longestPause time.Duration
}

// streamTimes describes the events of one upstream's stream.
type streamTimes struct {
	events  int
	firstAt time.Time
	lastAt  time.Time
}

// add counts an event.
func (s *streamTimes) add(at time.Time) {
	if s.events == 0 {
		s.firstAt = at
	}
	s.events++
	s.lastAt = at
}

// eventOverheadBytes is the memory that an event takes beyond its bytes while it waits for its
// caller: its report, the room that a growing list of them has, and the least size of its bytes. Short
// events would otherwise take many times what is counted.
const eventOverheadBytes = 256

// event is one event of a stream; raw holds its bytes as received.
type event struct {
	raw []byte
	id  string
	// hasData is set if the event has data; one without is a comment or a setting.
	hasData bool
	// quotesResponse is set if a line contains the beginning of a response.
	quotesResponse bool
}

// heldBytes is the memory that the event is counted with.
func (e *event) heldBytes() int { return len(e.raw) + eventOverheadBytes }

// addLine notes what a line of the event says. It returns errForeignBytes if the line belongs to a
// response that was written into the stream: its status line in anything but data or a comment,
// or another line of its header after that.
func (e *event) addLine(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	isField := true
	switch string(name) {
	case "id":
		e.id = string(bytes.TrimSpace(value))
	case "data":
		e.hasData = true
	case "", "event", "retry":
	default:
		isField = false
	}
	if e.quotesResponse && !isField {
		return errForeignBytes
	}
	if bytes.Contains(line, []byte(statusLineStart)) && containsStatusLine(string(line)) {
		e.quotesResponse = true
		if text := string(name); text != "data" && text != "" {
			return errForeignBytes
		}
	}
	return nil
}

// isBegun reports whether an event that breaks off has an id or data, or a part of them.
func (e *event) isBegun() bool {
	for line := range bytes.Lines(e.raw) {
		if text := bytes.TrimSpace(line); len(text) > 0 && text[0] != ':' {
			return true
		}
	}
	return false
}

// readEvent reads one event including the blank line at its end. It returns io.EOF
// if the stream ends between two events, errPartialEvent if it ends within one.
func readEvent(r *heldReader) (event, error) {
	e := event{}
	hasContent := false
	for {
		start, err := len(e.raw), error(nil)
		e.raw, err = r.appendLine(e.raw, maxEventBytes)
		line := e.raw[start:]
		blank := len(bytes.TrimSpace(line)) == 0
		hasContent = hasContent || !blank
		if err == io.EOF && !hasContent {
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
		if len(text) == 0 && hasContent {
			r.unheld += eventOverheadBytes
			return e, r.flush()
		}
		if err := e.addLine(text); err != nil {
			return e, err
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

// canFollow reports whether an event is the direct successor of the last one that was
// delivered, or the first one. Events without numeric ids always are.
func (s *stream) canFollow(e event) bool {
	if s.events == 0 {
		return true
	}
	last, err1 := strconv.ParseInt(s.lastID, 10, 64)
	id, err2 := strconv.ParseInt(e.id, 10, 64)
	return err1 != nil || err2 != nil || id == last+1
}

// placement is the place of an event among those that the caller has.
type placement uint8

const (
	// isNext is the place of an event that the caller gets next.
	isNext placement = iota
	// isKnown is that of an event which the caller has or does not need.
	isKnown
	// isMisplaced is that of an event which can't follow the last one.
	isMisplaced
)

// place returns the place of an event of an attempt. The first event that a resumption adds must
// have an id like the others: one without may be an error, or an event that the caller has.
func (x *exchange) place(a *upstreamAttempt, e event) placement {
	resumes := x.stream.events > 0 && !a.hasContinued
	switch {
	case resumes && e.id == "" && !e.hasData:
		return isKnown
	case resumes && (e.id == "" || isNumber(e.id) != isNumber(x.stream.lastID)):
		return isMisplaced
	case !x.stream.isAfterLast(e):
		return isKnown
	case !x.stream.canFollow(e):
		return isMisplaced
	}
	return isNext
}

func isNumber(id string) bool {
	_, err := strconv.ParseInt(id, 10, 64)
	return err == nil
}

// relayEvent relays one event of the current attempt. It skips an event that the caller
// already has, and fails on a gap.
func (x *exchange) relayEvent(a *upstreamAttempt, p progress) nextStep {
	a.relayed.add(p.at)
	switch x.place(a, p.event) {
	case isMisplaced:
		x.recordFailure(a, errMissingEvents)
		return x.tryAnother()
	case isNext:
		x.dropReplacement()
		if err := x.writeEvent(a.resp, p.event, p.at); err != nil {
			x.possibleRuns++
			a.finish(broker.Canceled)
			x.recordWriteFailure(err)
			return stop
		}
		a.hasContinued, x.stream.isUnfinished = true, false
	case isKnown:
	}
	x.watchSilence()
	return proceed
}

// isWhole reports whether the stream ends with an attempt's stream that ended in order. A
// resumption that adds nothing proves that only if the end was written, rather than the
// connection closed, and if no part of a further event has arrived.
func (x *exchange) isWhole(a *upstreamAttempt) bool {
	return x.stream.headerSent && (a.hasContinued || a.isFramed() && !x.stream.isUnfinished)
}

// writeEvent writes one event to the caller, after the header if it is the first.
func (x *exchange) writeEvent(resp *http.Response, e event, now time.Time) error {
	st := &x.stream
	if !st.headerSent {
		h := x.w.Header()
		for name, values := range withoutHopByHop(resp.Header) {
			h[name] = values
		}
		x.s.setConnectionClose(h)
		x.w.WriteHeader(resp.StatusCode)
		st.headerSent = true
		x.setStage(stageResponding)
		st.softwareVersion = x.current.ticket.SoftwareVersion
		x.status = resp.StatusCode
		x.timeToFirstEvent = now.Sub(x.arrived)
	} else {
		st.longestPause = max(st.longestPause, now.Sub(st.lastEventAt))
	}
	st.lastEventAt = now
	if len(e.raw) >= minWaitedWriteBytes {
		x.holding.beginWaiting(time.Now())
		defer x.holding.stopWaiting()
	}
	if err := x.write(e.raw); err != nil {
		return err
	}
	if err := x.flush(); err != nil {
		return err
	}
	st.events++
	if e.id != "" {
		st.lastID = e.id
	}
	return nil
}
