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
	// maxEvent is the longest server-sent event, in bytes.
	maxEvent = 4 << 20
	// resumeTries bounds new connections for one stream without progress.
	resumeTries = 8
	// resumePause is the wait before the entries are tried again.
	resumePause = 250 * time.Millisecond
	// endOfStream is the data of the last event.
	endOfStream = "[DONE]"
)

// Stream is a whole answer that was streamed.
type Stream struct {
	Text   string
	Finish string
	// Key is the request's key, the caller's or one issued.
	Key string
	// Entry is the address that gave the end; Resumed counts how often the
	// stream was picked up again over a new connection.
	Entry   string
	Resumed int
	// First is when the first text came.
	First time.Time
}

// chunk is what an event's data holds of both completion forms.
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

// Stream sends a completion with "stream": true and hands each piece of text
// to fn, which may be nil. Where the connection is lost it picks the answer up
// at another entry, by key and offset. The answer is whole if and only if the
// error is nil; errors of the system are *fault.Error.
func (c *Caller) Stream(ctx context.Context, r Request, fn func(text string)) (*Stream, error) {
	return c.stream(ctx, &streaming{caller: c, request: r, out: &Stream{Key: r.Key}, fn: fn})
}

// PickUp gives the rest of an answer from an offset, in bytes, at any entry.
// The offset counts as received: the stream's text begins there.
func (c *Caller) PickUp(ctx context.Context, key string, offset int64, fn func(text string)) (*Stream, error) {
	return c.stream(ctx, &streaming{caller: c, out: &Stream{Key: key}, fn: fn, offset: offset, begun: true})
}

func (c *Caller) stream(ctx context.Context, s *streaming) (*Stream, error) {
	tries := 0
	for {
		before := len(s.out.Text)
		err := s.round(ctx)
		if err == nil {
			return s.out, nil
		}
		tries++
		if len(s.out.Text) > before {
			tries = 0
		}
		if !s.mayResume(err) || tries >= resumeTries || ctx.Err() != nil {
			return s.out, asFault(err, Request{Key: s.out.Key})
		}
		s.out.Resumed++
		select {
		case <-time.After(resumePause):
		case <-ctx.Done():
		}
	}
}

// streaming is one stream under way.
type streaming struct {
	caller  *Caller
	request Request
	out     *Stream
	fn      func(string)
	// offset is where the text begins in the answer, in bytes.
	offset int64
	// begun says that an entry has accepted the request.
	begun bool
}

func (s *streaming) mayResume(err error) bool {
	refused := (*fault.Error)(nil)
	return !errors.As(err, &refused) && (s.out.Key != "" || notSent(err))
}

// round tries each entry once.
func (s *streaming) round(ctx context.Context) error {
	entries, err := s.caller.entries(ctx)
	if err != nil {
		return err
	}
	last := error(nil)
	for _, address := range entries {
		if last = s.from(ctx, address); last == nil {
			s.out.Entry = address
			return nil
		}
		if !s.moveOn(last) {
			return last
		}
	}
	return last
}

// moveOn tells whether the next entry may have the answer, or may take the
// request.
func (s *streaming) moveOn(err error) bool {
	refused := (*fault.Error)(nil)
	if !errors.As(err, &refused) {
		return s.begun || mayMove(err, s.request)
	}
	if s.begun && refused.Kind == fault.NotFound {
		return true
	}
	return refused.Kind == fault.Draining && refused.Ran == fault.NotRun
}

// from opens the stream at one entry. A request that was begun is picked up;
// where the entry doesn't know it, a caller's own key lets it be sent again.
func (s *streaming) from(ctx context.Context, address string) error {
	if s.begun {
		pick := Request{Method: http.MethodGet, Path: answerPath(s.out.Key, s.received())}
		err := s.open(ctx, address, pick)
		missing := (*fault.Error)(nil)
		if !errors.As(err, &missing) || missing.Kind != fault.NotFound || s.request.Key == "" {
			return err
		}
	}
	return s.open(ctx, address, s.request)
}

func (s *streaming) open(ctx context.Context, address string, r Request) error {
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
	s.begun = true
	return s.read(resp.Body)
}

// read takes events until the explicit end.
func (s *streaming) read(body io.Reader) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEvent)
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
			if err := s.take(id, value); err != nil {
				return err
			}
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

// errGap says that a stream went on beyond what was received.
var errGap = errors.New("the stream left out a part of the answer")

// take adds what is new in one event, whose id is the offset after it.
func (s *streaming) take(id int64, data string) error {
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
		if err := s.add(id, text); err != nil {
			return err
		}
	}
	return nil
}

// received is how much of the answer is at hand, in bytes.
func (s *streaming) received() int64 {
	return s.offset + int64(len(s.out.Text))
}

func (s *streaming) add(id int64, text string) error {
	have := s.received()
	start := id - int64(len(text))
	if id < 0 {
		start = have
	}
	if start > have {
		return errGap
	}
	if start+int64(len(text)) <= have {
		return nil
	}
	fresh := text[have-start:]
	if s.out.First.IsZero() {
		s.out.First = time.Now()
	}
	s.out.Text += fresh
	if s.fn != nil {
		s.fn(fresh)
	}
	return nil
}
