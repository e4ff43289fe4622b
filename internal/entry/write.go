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

// Response formats. serviceForm writes a service's reply unchanged.
const (
	chatForm    = "chat.completion"
	textForm    = "text_completion"
	serviceForm = "service"
)

const (
	// writeTimeout limits one write to a caller.
	writeTimeout = 10 * time.Second
	// maxEventTextBytes is the maximum length of the text of one event.
	maxEventTextBytes = 32 << 10
	// keepAliveInterval is the maximum interval between two lines of an event
	// stream; comment lines fill longer pauses.
	keepAliveInterval = time.Second
	// maxStatusDelay is how long the status of an event stream is held back, so
	// that a refusal in this time still gets its own HTTP status.
	maxStatusDelay = 5 * time.Second
)

// choice is an element of the choices of a completion.
type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *delta   `json:"delta,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// delta is the text that an event adds to a chat message.
type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// usage holds the token counts of a completion.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// completionAnswer is the body of a completion response and of each event of a
// streamed one.
type completionAnswer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// usageMode selects whether a stream ends with the token counts.
type usageMode int

const withUsage usageMode = 1

func usageModeOf(body completionRequest) usageMode {
	if body.StreamOptions.IncludeUsage {
		return withUsage
	}
	return 0
}

// writer writes an answer to one caller. written hashes the text written so far,
// and offset is the position in the answer after that text.
type writer struct {
	c       echo.Context
	answer  *answer.Answer
	reader  *answer.Reader
	form    string
	usage   usageMode
	offset  int64
	written hash.Hash
}

func newWriter(c echo.Context, a *answer.Answer, offset int64) *writer {
	return &writer{c: c, answer: a, reader: a.Attach(offset), form: a.Meta().Form, offset: offset, written: sha256.New()}
}

// errTruncated reports that the event stream to the caller broke. No error is
// written after it.
var errTruncated = errors.New("writing the event stream to the caller failed")

// writeAnswer writes an answer to the caller that sent the request and records
// the outcome.
func (s *Service) writeAnswer(c echo.Context, r *request, a *answer.Answer, stream bool, u usageMode) error {
	w := newWriter(c, a, 0)
	defer w.reader.Close()
	w.form = r.form
	w.usage = u
	c.Response().Header().Set(requestKeyHeader, r.key)
	err := w.write(stream)
	s.observer.recordOutcome(r, a, err, hex.EncodeToString(w.written.Sum(nil)))
	if errors.Is(err, errTruncated) {
		return nil
	}
	return err
}

// write writes the answer in the writer's format.
func (w *writer) write(stream bool) error {
	switch {
	case w.form == serviceForm:
		return w.writeReply()
	case stream:
		return w.writeStream()
	}
	return w.writeJSONBody()
}

// newCompletionAnswer returns a response body with the answer's metadata.
func (w *writer) newCompletionAnswer(object string, choices ...choice) completionAnswer {
	m := w.answer.Meta()
	if choices == nil {
		choices = []choice{}
	}
	return completionAnswer{ID: "cmpl-" + m.Key, Object: object, Created: w.answer.Created.Unix(), Model: m.Pool, Choices: choices}
}

func usageOf(r answer.Result) *usage {
	return &usage{PromptTokens: r.PromptTokens, CompletionTokens: r.OutputTokens, TotalTokens: r.PromptTokens + r.OutputTokens}
}

// writeJSONBody waits for the end of the answer and writes it as one JSON object.
func (w *writer) writeJSONBody() error {
	text, p, err := w.readAll()
	if err != nil {
		return err
	}
	ch := choice{FinishReason: &p.Result.FinishReason}
	if w.form == chatForm {
		ch.Message = &message{Role: "assistant", Content: content(text)}
	} else {
		ch.Text = &text
	}
	out := w.newCompletionAnswer(w.form, ch)
	out.Usage = usageOf(p.Result)
	w.extendWriteDeadline()
	return w.c.JSON(http.StatusOK, out)
}

// writeReply waits for the end of the answer and writes it as a service's reply.
func (w *writer) writeReply() error {
	text, p, err := w.readAll()
	if err != nil {
		return err
	}
	w.extendWriteDeadline()
	return w.c.Blob(p.Result.Status, p.Result.ContentType, []byte(text))
}

// readAll reads the answer to its end and returns its text and last chunk.
func (w *writer) readAll() (string, answer.Chunk, error) {
	b := strings.Builder{}
	for {
		p, err := w.reader.Read(w.c.Request().Context(), 0)
		if err != nil {
			return "", p, offsetFault(err)
		}
		b.Write(p.Data)
		w.written.Write(p.Data)
		if p.Failure != nil {
			return "", p, p.Failure
		}
		if p.Ended {
			return b.String(), p, nil
		}
	}
}

// offsetFault converts an OffsetError to the error for the caller.
func offsetFault(err error) error {
	beyond := (*answer.OffsetError)(nil)
	if errors.As(err, &beyond) {
		return fault.New(fault.Malformed, "give the offset that was received last", "the offset %d is beyond the answer's %d bytes", beyond.Offset, beyond.Length)
	}
	return err
}

// extendWriteDeadline sets the deadline of the next write.
func (w *writer) extendWriteDeadline() {
	_ = http.NewResponseController(w.c.Response()).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// writeStream writes the answer as server-sent events. The id of each event is
// the offset after it, in bytes, from which the caller can resume. Comment lines
// keep the connection alive while there is no text.
func (w *writer) writeStream() error {
	ctx := w.c.Request().Context()
	select {
	case <-w.answer.Begun():
	case <-time.After(maxStatusDelay):
	case <-ctx.Done():
		return ctx.Err()
	}
	for {
		p, err := w.reader.Read(ctx, keepAliveInterval)
		if err != nil {
			return offsetFault(err)
		}
		if p.Failure != nil && !w.c.Response().Committed {
			return p.Failure
		}
		if w.offset > 0 && p.Offset == w.offset && len(p.Data) > 0 && !utf8.RuneStart(p.Data[0]) {
			return fault.New(fault.Malformed, "give an offset that an event's id named", "the offset %d lies inside a character", w.offset)
		}
		w.writeHeader()
		if err := w.writeChunk(p); err != nil {
			return err
		}
		if p.Failure != nil {
			w.writeEvent(errorBody{Error: p.Failure})
			w.c.Response().Flush()
			return p.Failure
		}
		if p.Ended {
			return w.close(p.Result)
		}
		w.c.Response().Flush()
	}
}

// writeHeader writes the response header and, at the start of a chat, the event
// with the assistant's role. It does nothing once the header is written.
func (w *writer) writeHeader() {
	resp := w.c.Response()
	if resp.Committed {
		return
	}
	w.extendWriteDeadline()
	resp.Header().Set(echo.HeaderContentType, "text/event-stream")
	resp.Header().Set("Cache-Control", "no-store")
	resp.WriteHeader(http.StatusOK)
	if w.form == chatForm && w.offset == 0 {
		w.writeEvent(w.newCompletionAnswer(chunkObject(w.form), choice{Delta: &delta{Role: "assistant"}}))
	}
}

// writeChunk writes a chunk as one or more events, each of which ends with a
// complete character, or a comment line if the chunk is empty.
func (w *writer) writeChunk(p answer.Chunk) error {
	if len(p.Data) == 0 && !p.Ended {
		w.extendWriteDeadline()
		_, err := w.c.Response().Write([]byte(": waiting\n\n"))
		return err
	}
	data := p.Data
	for len(data) > 0 {
		n := eventTextLength(data)
		w.offset += int64(n)
		if err := w.writeEvent(w.newCompletionAnswer(chunkObject(w.form), chunkChoice(w.form, string(data[:n]), nil))); err != nil {
			return err
		}
		w.written.Write(data[:n])
		data = data[n:]
	}
	return nil
}

// eventTextLength returns how many leading bytes of data go into the next event.
func eventTextLength(data []byte) int {
	if len(data) <= maxEventTextBytes {
		return len(data)
	}
	n := maxEventTextBytes
	for n > maxEventTextBytes-utf8.UTFMax && !utf8.RuneStart(data[n]) {
		n--
	}
	return n
}

// close writes the finish reason, the token counts if requested, and the end
// marker.
func (w *writer) close(r answer.Result) error {
	if err := w.writeEvent(w.newCompletionAnswer(chunkObject(w.form), chunkChoice(w.form, "", &r.FinishReason))); err != nil {
		return err
	}
	if w.usage == withUsage {
		out := w.newCompletionAnswer(chunkObject(w.form))
		out.Usage = usageOf(r)
		if err := w.writeEvent(out); err != nil {
			return err
		}
	}
	_, err := w.c.Response().Write([]byte("data: [DONE]\n\n"))
	w.c.Response().Flush()
	return err
}

// chunkObject returns the object type of a streamed event.
func chunkObject(form string) string {
	if form == chatForm {
		return "chat.completion.chunk"
	}
	return textForm
}

// chunkChoice returns the choice of a streamed event.
func chunkChoice(form, text string, finish *string) choice {
	if form == chatForm {
		return choice{Delta: &delta{Content: text}, FinishReason: finish}
	}
	return choice{Text: &text, FinishReason: finish}
}

// writeEvent writes body as one event and sets the write deadline for it.
func (w *writer) writeEvent(body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	w.extendWriteDeadline()
	if _, err := fmt.Fprintf(w.c.Response(), "id: %d\ndata: %s\n\n", w.offset, data); err != nil {
		return fmt.Errorf("%w: %w", errTruncated, err)
	}
	return nil
}
