package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/labstack/echo/v4"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/internal/answer"
)

// Forms in which an answer is written.
const (
	chatForm  = "chat.completion"
	textForm  = "text_completion"
	plainForm = "service"
)

const (
	// writeTimeout bounds writing one piece to a caller.
	writeTimeout = 10 * time.Second
	// pieceBytes is the largest piece written at once.
	pieceBytes = 32 << 10
	// commentEvery is the longest pause between two lines of an event stream.
	commentEvery = time.Second
	// queueGrace is how long a stream's status stays open for a refusal.
	queueGrace = 5 * time.Second
)

// choice is one element of an answer's choices.
type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *delta   `json:"delta,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type completionAnswer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// usageMode says whether a stream ends with the token counts.
type usageMode int

const withUsage usageMode = 1

func usageFlag(body completion) usageMode {
	if body.StreamOptions.IncludeUsage {
		return withUsage
	}
	return 0
}

// writer gives one caller an answer.
type writer struct {
	c      echo.Context
	answer *answer.Answer
	reader *answer.Reader
	form   string
	usage  usageMode
	offset int64
	got    hash.Hash
}

func newWriter(c echo.Context, a *answer.Answer, offset int64) *writer {
	return &writer{c: c, answer: a, reader: a.Attach(offset), form: a.Meta().Form, offset: offset, got: sha256.New()}
}

// errCut says that the caller's connection must not look as if all was well.
var errCut = errors.New("the answer is cut")

// answerCaller writes an answer to the caller who sent the request.
func (s *Service) answerCaller(c echo.Context, r *request, a *answer.Answer, stream bool, u usageMode) error {
	w := newWriter(c, a, 0)
	defer w.reader.Close()
	w.form = r.form
	w.usage = u
	c.Response().Header().Set(headerRequest, r.key)
	err := w.write(stream)
	s.observer.told(r, a, err, hex.EncodeToString(w.got.Sum(nil)))
	if errors.Is(err, errCut) {
		return nil
	}
	return err
}

func (w *writer) write(stream bool) error {
	switch {
	case w.form == plainForm:
		return w.writeReply()
	case stream:
		return w.writeStream()
	}
	return w.writeWhole()
}

func (w *writer) envelope(object string, choices ...choice) completionAnswer {
	m := w.answer.Meta()
	if choices == nil {
		choices = []choice{}
	}
	return completionAnswer{ID: "cmpl-" + m.Key, Object: object, Created: w.answer.Created.Unix(), Model: m.Pool, Choices: choices}
}

func usageOf(r answer.Result) *usage {
	return &usage{PromptTokens: r.PromptTokens, CompletionTokens: r.OutputTokens, TotalTokens: r.PromptTokens + r.OutputTokens}
}

// writeWhole waits for the end and writes one JSON object.
func (w *writer) writeWhole() error {
	text, p, err := w.readAll()
	if err != nil {
		return err
	}
	ch := choice{FinishReason: &p.Result.Finish}
	if w.form == chatForm {
		ch.Message = &message{Role: "assistant", Content: content(text)}
	} else {
		ch.Text = &text
	}
	out := w.envelope(w.form, ch)
	out.Usage = usageOf(p.Result)
	w.deadline()
	return w.c.JSON(http.StatusOK, out)
}

// writeReply waits for the end and writes a plain service's reply.
func (w *writer) writeReply() error {
	text, p, err := w.readAll()
	if err != nil {
		return err
	}
	w.deadline()
	return w.c.Blob(p.Result.Status, p.Result.ContentType, []byte(text))
}

func (w *writer) readAll() (string, answer.Piece, error) {
	b := strings.Builder{}
	for {
		p, err := w.reader.Read(w.c.Request().Context(), 0)
		if err != nil {
			return "", p, offsetFault(err)
		}
		b.Write(p.Data)
		w.got.Write(p.Data)
		if p.Failure != nil {
			return "", p, p.Failure
		}
		if p.Ended {
			return b.String(), p, nil
		}
	}
}

// offsetFault words an offset beyond the answer's end.
func offsetFault(err error) error {
	beyond := (*answer.OffsetError)(nil)
	if errors.As(err, &beyond) {
		return fault.New(fault.Malformed, "give the offset that was received last", "the offset %d is beyond the answer's %d bytes", beyond.Got, beyond.Have)
	}
	return err
}

// deadline bounds the next write.
func (w *writer) deadline() {
	_ = http.NewResponseController(w.c.Response()).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// writeStream writes server-sent events. Each event's id is the offset after
// it, in bytes, so that a caller knows where to resume; comment lines between
// show that the connection lives.
func (w *writer) writeStream() error {
	ctx := w.c.Request().Context()
	select {
	case <-w.answer.Begun():
	case <-time.After(queueGrace):
	case <-ctx.Done():
		return ctx.Err()
	}
	for {
		p, err := w.reader.Read(ctx, commentEvery)
		if err != nil {
			return offsetFault(err)
		}
		if p.Failure != nil && !w.c.Response().Committed {
			return p.Failure
		}
		if w.offset > 0 && p.Offset == w.offset && len(p.Data) > 0 && !utf8.RuneStart(p.Data[0]) {
			return fault.New(fault.Malformed, "give an offset that an event's id named", "the offset %d lies inside a character", w.offset)
		}
		w.open()
		if err := w.writePiece(p); err != nil {
			return err
		}
		if p.Failure != nil {
			w.event(errorBody{Error: p.Failure})
			w.c.Response().Flush()
			return p.Failure
		}
		if p.Ended {
			return w.close(p.Result)
		}
		w.c.Response().Flush()
	}
}

// open sends the header, and the role that begins a chat.
func (w *writer) open() {
	resp := w.c.Response()
	if resp.Committed {
		return
	}
	w.deadline()
	resp.Header().Set(echo.HeaderContentType, "text/event-stream")
	resp.Header().Set("Cache-Control", "no-store")
	resp.WriteHeader(http.StatusOK)
	if w.form == chatForm && w.offset == 0 {
		w.event(w.envelope(chunkObject(w.form), choice{Delta: &delta{Role: "assistant"}}))
	}
}

// writePiece writes one piece in parts, each ending with a whole character.
func (w *writer) writePiece(p answer.Piece) error {
	if len(p.Data) == 0 && !p.Ended {
		w.deadline()
		_, err := w.c.Response().Write([]byte(": waiting\n\n"))
		return err
	}
	data := p.Data
	for len(data) > 0 {
		n := partLength(data)
		w.offset += int64(n)
		if err := w.event(w.envelope(chunkObject(w.form), pieceChoice(w.form, string(data[:n]), nil))); err != nil {
			return err
		}
		w.got.Write(data[:n])
		data = data[n:]
	}
	return nil
}

func partLength(data []byte) int {
	if len(data) <= pieceBytes {
		return len(data)
	}
	n := pieceBytes
	for n > pieceBytes-utf8.UTFMax && !utf8.RuneStart(data[n]) {
		n--
	}
	return n
}

// close writes the explicit end.
func (w *writer) close(r answer.Result) error {
	if err := w.event(w.envelope(chunkObject(w.form), pieceChoice(w.form, "", &r.Finish))); err != nil {
		return err
	}
	if w.usage == withUsage {
		out := w.envelope(chunkObject(w.form))
		out.Usage = usageOf(r)
		if err := w.event(out); err != nil {
			return err
		}
	}
	_, err := w.c.Response().Write([]byte("data: [DONE]\n\n"))
	w.c.Response().Flush()
	return err
}

func chunkObject(form string) string {
	if form == chatForm {
		return "chat.completion.chunk"
	}
	return textForm
}

func pieceChoice(form, text string, finish *string) choice {
	if form == chatForm {
		return choice{Delta: &delta{Content: text}, FinishReason: finish}
	}
	return choice{Text: &text, FinishReason: finish}
}

// event writes one event within the write deadline.
func (w *writer) event(body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	w.deadline()
	if _, err := fmt.Fprintf(w.c.Response(), "id: %d\ndata: %s\n\n", w.offset, data); err != nil {
		return fmt.Errorf("%w: %w", errCut, err)
	}
	return nil
}
