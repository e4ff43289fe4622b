package client

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/verbenastep/verbenastep/api/fault"
)

const (
	// maxEventBytes is the maximum size of a line of a server-sent event.
	maxEventBytes = 4 << 20
	// maxResumeAttempts bounds consecutive rounds over the entries without
	// progress of the stream.
	maxResumeAttempts = 8
	// resumeDelay is the delay before the entries are tried again.
	resumeDelay = 250 * time.Millisecond
	// endOfStream is the data of the event that ends a stream.
	endOfStream = "[DONE]"
)

// Stream is a streamed answer. It is incomplete if it is returned with an error.
type Stream struct {
	Text   string
	Finish string
	// Key is the request's key, either the caller's own or one that the entry
	// issued.
	Key string
	// Entry is the address that delivered the end of the answer. Resumed counts
	// how often the stream was tried again after its connection was lost.
	Entry   string
	Resumed int
	// First is the time at which the first text arrived.
	First time.Time
}

// chunk is the part of an event's data that is read, for both completion forms.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Error *fault.Error `json:"error"`
}

// Stream sends a completion request whose body has "stream": true and calls fn,
// which may be nil, with each piece of text in order. If the connection is lost,
// it resumes the answer by key and offset at any entry. The answer is complete if
// and only if the error is nil. Errors are *fault.Error; the Stream returned with
// one holds the text received so far.
func (c *Caller) Stream(ctx context.Context, r Request, fn func(text string)) (*Stream, error) {
	return c.stream(ctx, &streamState{caller: c, request: r, out: &Stream{Key: r.Key}, fn: fn})
}

// PickUp streams the rest of an answer from an offset in bytes, from any entry.
// The Stream's text begins at the offset. fn, errors and resumption are as for
// Stream.
func (c *Caller) PickUp(ctx context.Context, key string, offset int64, fn func(text string)) (*Stream, error) {
	return c.stream(ctx, &streamState{caller: c, out: &Stream{Key: key}, fn: fn, offset: offset, accepted: true})
}

// stream tries the entries until the answer is complete, the error doesn't allow
// another attempt, or no attempt makes progress.
func (c *Caller) stream(ctx context.Context, s *streamState) (*Stream, error) {
	attempts := 0
	for {
		before := len(s.out.Text)
		err := s.tryEntries(ctx)
		if err == nil {
			return s.out, nil
		}
		attempts++
		if len(s.out.Text) > before {
			attempts = 0
		}
		if !s.mayResume(err) || attempts >= maxResumeAttempts || ctx.Err() != nil {
			return s.out, asFault(err, Request{Key: s.out.Key})
		}
		s.out.Resumed++
		select {
		case <-time.After(resumeDelay):
		case <-ctx.Done():
		}
	}
}

// streamState is the state of a stream in progress.
type streamState struct {
	caller  *Caller
	request Request
	out     *Stream
	fn      func(string)
	// offset is the position in the answer, in bytes, at which out.Text begins.
	offset int64
	// accepted is set once an entry has accepted the request.
	accepted bool
}

// mayResume reports whether another round may follow err: the system did not
// refuse, and either the answer has a key or nothing was sent.
func (s *streamState) mayResume(err error) bool {
	faultErr := (*fault.Error)(nil)
	return !errors.As(err, &faultErr) && (s.out.Key != "" || notSent(err))
}

// tryEntries tries each entry at most once until one delivers the end.
func (s *streamState) tryEntries(ctx context.Context) error {
	entries, err := s.caller.candidateEntries(ctx)
	if err != nil {
		return err
	}
	lastErr := error(nil)
	for _, address := range entries {
		if lastErr = s.streamFrom(ctx, address); lastErr == nil {
			s.out.Entry = address
			return nil
		}
		if !s.mayTryNextEntry(lastErr) {
			return lastErr
		}
	}
	return lastErr
}

// mayTryNextEntry reports whether, after err, the next entry may hold the answer or
// may be sent the request.
func (s *streamState) mayTryNextEntry(err error) bool {
	faultErr := (*fault.Error)(nil)
	if !errors.As(err, &faultErr) {
		return s.accepted || mayTryNextEntry(err, s.request)
	}
	if s.accepted && faultErr.Kind == fault.NotFound {
		return true
	}
	return faultErr.Kind == fault.Draining && faultErr.Ran == fault.NotRun
}

// streamFrom reads the stream from one entry. An accepted request is resumed. If
// the entry doesn't know it, the request is sent again, but only under the caller's
// own key, which prevents a second run.
func (s *streamState) streamFrom(ctx context.Context, address string) error {
	if s.accepted {
		resumption := Request{Method: http.MethodGet, Path: answerPath(s.out.Key, s.receivedBytes())}
		err := s.open(ctx, address, resumption)
		faultErr := (*fault.Error)(nil)
		if !errors.As(err, &faultErr) || faultErr.Kind != fault.NotFound || s.request.Key == "" {
			return err
		}
	}
	return s.open(ctx, address, s.request)
}

// open sends the request to one entry and reads the events of its response.
func (s *streamState) open(ctx context.Context, address string, r Request) error {
	resp, err := s.caller.send(ctx, address, r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusal(resp)
	}
	if key := resp.Header.Get(HeaderRequest); key != "" {
		s.out.Key = key
	}
	s.accepted = true
	return s.readEvents(resp.Body)
}

// readEvents reads events until the one that ends the stream. A body that ends
// without it is an error.
func (s *streamState) readEvents(body io.Reader) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	id := int64(-1)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case name == "id":
			n, err := strconv.ParseInt(value, 10, 64)
			if err != nil {
				return err
			}
			id = n
		case name == "data" && value == endOfStream:
			return nil
		case name == "data":
			if err := s.applyEvent(id, value); err != nil {
				return err
			}
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

// errGap reports that a stream continued beyond the received part of the answer.
var errGap = errors.New("the stream left out a part of the answer")

// applyEvent processes the data of one event. id is the offset in the answer after
// the event's text, or negative if the event has none.
func (s *streamState) applyEvent(id int64, data string) error {
	c := chunk{}
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return err
	}
	if c.Error != nil {
		return c.Error
	}
	for _, choice := range c.Choices {
		text := choice.Delta.Content + choice.Text
		if choice.FinishReason != nil {
			s.out.Finish = *choice.FinishReason
		}
		if err := s.appendReceived(id, text); err != nil {
			return err
		}
	}
	return nil
}

// receivedBytes returns the offset in the answer up to which text was received.
func (s *streamState) receivedBytes() int64 {
	return s.offset + int64(len(s.out.Text))
}

// appendReceived appends the part of an event's text that was not received before.
func (s *streamState) appendReceived(id int64, text string) error {
	received := s.receivedBytes()
	start := id - int64(len(text))
	if id < 0 {
		start = received
	}
	if start > received {
		return errGap
	}
	if start+int64(len(text)) <= received {
		return nil
	}
	fresh := text[received-start:]
	if s.out.First.IsZero() {
		s.out.First = time.Now()
	}
	s.out.Text += fresh
	if s.fn != nil {
		s.fn(fresh)
	}
	return nil
}
