package client

import (
	"encoding/json"
	"net/http"

	"github.com/verbenastep/verbenastep/api/fault"
)

// Form selects one of the two completion calls.
type Form string

// Forms of completion.
const (
	// Chat is POST /v1/chat/completions.
	Chat Form = "chat"
	// Text is POST /v1/completions.
	Text Form = "text"
)

// Completion describes a completion request to a model.
type Completion struct {
	Form   Form
	Model  string
	Prompt string
	// MaxTokens limits the tokens of the answer; with zero the system sets the
	// limit.
	MaxTokens int
	Stream    bool
}

// completionBody is the request body of both completion calls.
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

// Request returns the request for the completion. key is the caller's own
// idempotency key; if empty, the entry issues one.
func (c Completion) Request(key string) Request {
	body := completionBody{Model: c.Model, Prompt: c.Prompt, MaxTokens: c.MaxTokens, Stream: c.Stream}
	path := "/v1/completions"
	if c.Form == Chat {
		path = "/v1/chat/completions"
		body.Prompt = ""
		body.Messages = []chatMessage{{Role: "user", Content: c.Prompt}}
	}
	// A struct of strings and numbers can't fail to encode.
	data, _ := json.Marshal(body)
	return Request{Method: http.MethodPost, Path: path, Body: data, Key: key}
}

// Completion decodes a completion of either form into its text and finish reason.
// It fails with a *fault.Error that says that the request ran if the body is not a
// completion.
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
