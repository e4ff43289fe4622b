package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/internal/answer"
)

// defaultMaxTokens bounds an answer where neither caller nor model does.
const defaultMaxTokens = 512

// message is one turn of a chat.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completion is the body of both completion calls.
type completion struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	Prompt    string    `json:"prompt"`
	MaxTokens int       `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of MaxTokens.
	MaxCompletionTokens int  `json:"max_completion_tokens"`
	Stream              bool `json:"stream"`
}

func (s *Service) chat(c echo.Context) error {
	return s.infer(c, chatForm)
}

func (s *Service) complete(c echo.Context) error {
	return s.infer(c, textForm)
}

// infer serves one completion in a form.
func (s *Service) infer(c echo.Context, form answerForm) error {
	r, err := s.prepare(c)
	if err != nil {
		return err
	}
	body := completion{}
	if err := json.Unmarshal(r.body, &body); err != nil {
		return fault.New(fault.Malformed, "send a JSON object as docs/CALLERS.md shows", "the body is not readable: %v", err)
	}
	if err := s.shape(r, body, form); err != nil {
		return err
	}
	a, err := s.submit(r)
	if err != nil {
		return err
	}
	defer a.Attach()()
	c.Response().Header().Set(headerRequest, r.key)
	if body.Stream {
		return writeStream(c, a, form, 0)
	}
	return writeWhole(c, a, form)
}

// shape fills in the model's part of a request.
func (s *Service) shape(r *request, body completion, form answerForm) error {
	m, ok := s.view.Snapshot().Config.Model(body.Model)
	if !ok {
		return fault.New(fault.NotFound, "GET /v1/models lists the models", "model %q is not declared", body.Model)
	}
	r.pool = m.Name
	r.prompt = body.Prompt
	if form == chatForm {
		r.prompt = joinMessages(body.Messages)
	}
	if r.prompt == "" {
		return fault.New(fault.Malformed, "give messages, or a prompt", "the request holds no prompt")
	}
	r.maxTokens = max(body.MaxTokens, body.MaxCompletionTokens)
	if r.maxTokens < 0 {
		return fault.New(fault.Malformed, "give max_tokens above zero, or leave it out", "max_tokens is negative")
	}
	if r.maxTokens == 0 {
		r.maxTokens = defaultMaxTokens
	}
	if m.MaxTokens > 0 {
		r.maxTokens = min(r.maxTokens, int(m.MaxTokens))
	}
	r.digest = digestOf([]byte(form), []byte(m.Name), []byte(r.prompt), []byte(strconv.Itoa(r.maxTokens)))
	return nil
}

func joinMessages(messages []message) string {
	b := strings.Builder{}
	for _, m := range messages {
		fmt.Fprintf(&b, "%s: %s\n", m.Role, m.Content)
	}
	return b.String()
}

func (s *Service) models(c echo.Context) error {
	if _, err := s.identify(c); err != nil {
		return err
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range s.view.Snapshot().Config.Models {
		list.Data = append(list.Data, modelItem{ID: m.Name, Object: "model", OwnedBy: "verbenastep"})
	}
	return c.JSON(http.StatusOK, list)
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

// answerForm is the shape in which an answer is written.
type answerForm string

const (
	chatForm answerForm = "chat.completion"
	textForm answerForm = "text_completion"
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

func envelope(a *answer.Answer, object string, c choice) completionAnswer {
	return completionAnswer{ID: "cmpl-" + a.Meta.Key, Object: object, Created: a.Created.Unix(), Model: a.Meta.Pool, Choices: []choice{c}}
}

// writeWhole waits for the end and writes one JSON object.
func writeWhole(c echo.Context, a *answer.Answer, form answerForm) error {
	text, p, err := readAll(c, a)
	if err != nil {
		return err
	}
	ch := choice{FinishReason: &p.Result.Finish}
	if form == chatForm {
		ch.Message = &message{Role: "assistant", Content: text}
	} else {
		ch.Text = &text
	}
	out := envelope(a, string(form), ch)
	out.Usage = &usage{PromptTokens: p.Result.PromptTokens, CompletionTokens: p.Result.OutputTokens, TotalTokens: p.Result.PromptTokens + p.Result.OutputTokens}
	return c.JSON(http.StatusOK, out)
}

func readAll(c echo.Context, a *answer.Answer) (string, answer.Piece, error) {
	b := strings.Builder{}
	for {
		p, err := a.Read(c.Request().Context(), int64(b.Len()))
		if err != nil {
			return "", p, err
		}
		b.Write(p.Data)
		if p.Failure != nil {
			return "", p, p.Failure
		}
		if p.Ended {
			return b.String(), p, nil
		}
	}
}

// writeStream writes server-sent events from an offset, in bytes. Each event's
// id is the offset after it, so that a caller knows where to resume.
func writeStream(c echo.Context, a *answer.Answer, form answerForm, offset int64) error {
	w := c.Response()
	for {
		p, err := a.Read(c.Request().Context(), offset)
		if err != nil {
			return err
		}
		if p.Failure != nil && !w.Committed {
			return p.Failure
		}
		if !w.Committed {
			w.Header().Set(echo.HeaderContentType, "text/event-stream")
			w.Header().Set("Cache-Control", "no-store")
			w.WriteHeader(http.StatusOK)
		}
		if len(p.Data) > 0 {
			offset += int64(len(p.Data))
			writeEvent(w, offset, envelope(a, chunkObject(form), pieceChoice(form, string(p.Data), nil)))
		}
		if p.Failure != nil {
			writeEvent(w, offset, errorBody{Error: p.Failure})
			w.Flush()
			return nil
		}
		if p.Ended {
			writeEvent(w, offset, envelope(a, chunkObject(form), pieceChoice(form, "", &p.Result.Finish)))
			_, _ = w.Write([]byte("data: [DONE]\n\n"))
			w.Flush()
			return nil
		}
		w.Flush()
	}
}

func chunkObject(form answerForm) string {
	if form == chatForm {
		return "chat.completion.chunk"
	}
	return string(textForm)
}

func pieceChoice(form answerForm, text string, finish *string) choice {
	if form == chatForm {
		return choice{Delta: &delta{Content: text}, FinishReason: finish}
	}
	return choice{Text: &text, FinishReason: finish}
}

func writeEvent(w *echo.Response, offset int64, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", offset, data)
}
