package entry

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/config"
)

// FuzzCompletion checks that an arbitrary body is either refused or gives a prompt,
// a token limit and a digest that does not change for the same body.
func FuzzCompletion(f *testing.F) {
	f.Add([]byte(chatBody("draft #2", true)))
	f.Add([]byte(`{"model":"logbook-model","prompt":"x","max_tokens":-1,"stop":null}`))
	f.Add([]byte(`{"model":"logbook-model","messages":[{"content":[{"type":"text","text":"a"}]}],"n":1}`))
	f.Add([]byte(`{"model":"logbook-model","messages":[null],"max_completion_tokens":1e99}`))
	c := &cluster{config: &config.Config{Models: []config.Model{{Name: "logbook-model", MaxTokens: 100}}}}
	s := &Service{view: c}
	decode := func(data []byte) (*request, error) {
		r := &request{form: chatForm, body: data}
		body := completionRequest{}
		if err := json.Unmarshal(data, &body); err != nil {
			return nil, err
		}
		return r, s.setCompletion(r, body)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := decode(data)
		if err != nil {
			return
		}
		require.NotEmpty(t, r.prompt)
		require.True(t, r.maxTokens > 0 && r.maxTokens <= 100)
		repeated, err := decode(data)
		require.NoError(t, err)
		require.Equal(t, r.digest, repeated.digest)
	})
}
