package client

import (
	"encoding/json"
	"net/http"

	"github.com/verbenastep/verbenastep/api/fault"
)

// Form is which of the two completion calls is made.
type Form string

// Forms.
const (
	// Chat is POST /v1/chat/completions.
	Chat Form = "chat"
	// Text is POST /v1/completions.
	Text Form = "text"
)

// Completion asks a model to go on from a prompt.
type Completion struct {
	Form   Form
	Model  string
	Prompt string
	// MaxTokens bounds the answer; zero leaves it to the system.
	MaxTokens int
	Stream    bool
}

// completionBody is the body of both calls.
type completionBody struct {
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt,omitempty"`
	Messages  []chatMessage `json:"messages,omitempty"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	Stream    bool          `json:"stream,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request returns the call, under the caller's own key or, where that is
// empty, one that the entry issues.
func (c Completion) Request(key string) Request {
	body := completionBody{Model: c.Model, Prompt: c.Prompt, MaxTokens: c.MaxTokens, Stream: c.Stream}
	path := "/v1/completions"
	if c.Form == Chat {
		path = "/v1/chat/completions"
		body.Prompt = ""
		body.Messages = []chatMessage{{Role: "user", Content: c.Prompt}}
	}
	// Strings and numbers always encode.
	data, _ := json.Marshal(body)
	return Request{Method: http.MethodPost, Path: path, Body: data, Key: key}
}

// Completion reads a whole completion of either form: its text, and why it
// ended.
func (r *Reply) Completion() (text, finish string, err error) {
	answer := struct {
		Choices []struct {
			Text         string      `json:"text"`
			Message      chatMessage `json:"message"`
			FinishReason string      `json:"finish_reason"`
		} `json:"choices"`
	}{}
	if err := json.Unmarshal(r.Body, &answer); err != nil || len(answer.Choices) == 0 {
		e := fault.New(fault.Internal, "check that the address is a daemon's callers' one", "the answer is not a completion")
		return "", "", e.WithRan(fault.DidRun)
	}
	first := answer.Choices[0]
	return first.Text + first.Message.Content, first.FinishReason, nil
}
