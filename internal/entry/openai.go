package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/verbenastep/verbenastep/api/fault"
)

// defaultMaxTokens is the token limit of an answer if the request states none. A
// lower limit of the model takes precedence.
const defaultMaxTokens = 512

// forwardedOptions are the fields of the body that engines receive unchanged.
var forwardedOptions = []string{
	"temperature", "top_p", "top_k", "min_p", "stop", "seed", "presence_penalty", "frequency_penalty",
	"repetition_penalty", "logit_bias", "response_format", "logprobs", "top_logprobs", "tools", "tool_choice", "user",
}

// content is the text of a message, in JSON a string or an array of text parts.
type content string

// contentPart is one element of an array of parts.
type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON decodes a string, or an array of text parts, which it joins.
func (t *content) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] != '[' {
		text := ""
		err := json.Unmarshal(data, &text)
		*t = content(text)
		return err
	}
	parts := []contentPart{}
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	b := strings.Builder{}
	for _, p := range parts {
		if p.Type != "text" {
			return fmt.Errorf("a part of type %q is not supported; send text", p.Type)
		}
		b.WriteString(p.Text)
	}
	*t = content(b.String())
	return nil
}

// message is one message of a chat.
type message struct {
	Role    string  `json:"role"`
	Content content `json:"content"`
}

// streamOptions are the options of a streamed answer.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// completionRequest is the request body of both completion calls.
type completionRequest struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	Prompt    content   `json:"prompt"`
	MaxTokens int       `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of MaxTokens; the larger value counts.
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	N                   *int          `json:"n"`
	BestOf              *int          `json:"best_of"`
	Stream              bool          `json:"stream"`
	StreamOptions       streamOptions `json:"stream_options"`
}

// chatCompletions handles POST /v1/chat/completions.
func (s *Service) chatCompletions(c echo.Context) error {
	return s.serveCompletion(c, chatForm)
}

// completions handles POST /v1/completions.
func (s *Service) completions(c echo.Context) error {
	return s.serveCompletion(c, textForm)
}

// serveCompletion handles a completion call with the given response format.
func (s *Service) serveCompletion(c echo.Context, form string) error {
	r, err := s.prepare(c)
	if err != nil {
		return err
	}
	defer r.releaseMemoryUnlessSubmitted()
	r.form = form
	body := completionRequest{}
	if err := json.Unmarshal(r.body, &body); err != nil {
		return fault.New(fault.Malformed, "send a JSON object as docs/CALLERS.md shows", "the body is not readable: %v", err)
	}
	if err := s.setCompletion(r, body); err != nil {
		return err
	}
	r.body = nil
	a, err := s.submit(r)
	if err != nil {
		return err
	}
	return s.writeAnswer(c, r, a, body.Stream, usageModeOf(body))
}

// setCompletion checks the body and sets the model, the prompt, the limits and the
// options of the request.
func (s *Service) setCompletion(r *request, body completionRequest) error {
	m, ok := s.view.Snapshot().Config.Model(body.Model)
	if !ok {
		return fault.New(fault.NotFound, "GET /v1/models lists the models", "model %q is not declared", body.Model)
	}
	if wantsMultipleChoices(body.N) || wantsMultipleChoices(body.BestOf) {
		return fault.New(fault.Malformed, "leave n and best_of out, or send several requests", "more than one choice is not supported")
	}
	r.pool = m.Name
	r.prompt = string(body.Prompt)
	if r.form == chatForm {
		r.prompt = joinMessages(body.Messages)
	}
	if r.prompt == "" {
		return fault.New(fault.Malformed, "give messages, or a prompt", "the request holds no prompt")
	}
	r.maxTokens = max(body.MaxTokens, body.MaxCompletionTokens)
	if body.MaxTokens < 0 || body.MaxCompletionTokens < 0 {
		return fault.New(fault.Malformed, "give max_tokens above zero, or leave it out", "max_tokens is negative")
	}
	if r.maxTokens == 0 {
		r.maxTokens = defaultMaxTokens
	}
	if m.MaxTokens > 0 {
		r.maxTokens = min(r.maxTokens, int(m.MaxTokens))
	}
	return r.setOptions()
}

// wantsMultipleChoices reports whether a number of choices is given and is not one.
func wantsMultipleChoices(n *int) bool { return n != nil && *n != 1 }

// setOptions sets the sampling options, and the digest of everything that
// determines the answer.
func (r *request) setOptions() error {
	raw := map[string]json.RawMessage{}
	if err := json.Unmarshal(r.body, &raw); err != nil {
		return fault.New(fault.Malformed, "send a JSON object", "the body is not readable: %v", err)
	}
	parts := [][]byte{[]byte(r.form), []byte(r.pool), []byte(r.prompt), []byte(strconv.Itoa(r.maxTokens))}
	r.options = map[string]json.RawMessage{}
	for _, name := range forwardedOptions {
		value, ok := raw[name]
		if !ok || string(value) == "null" {
			continue
		}
		r.options[name] = value
		parts = append(parts, []byte(name), value)
	}
	r.digest = hashParts(parts...)
	return nil
}

// joinMessages returns a chat as a prompt, one line with the role per message.
func joinMessages(messages []message) string {
	b := strings.Builder{}
	for _, m := range messages {
		fmt.Fprintf(&b, "%s: %s\n", m.Role, string(m.Content))
	}
	return b.String()
}

// listModels handles GET /v1/models.
func (s *Service) listModels(c echo.Context) error {
	if _, err := s.authenticate(c); err != nil {
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
