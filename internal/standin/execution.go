package standin

import (
	"fmt"
	"hash/fnv"
	"strings"

	"github.com/verbenastep/verbenastep/api/upstream"
)

// Execution is what a stand-in does for one request. A runner reports it
// twice: with Text as it begins, and with Prefill or Cached before the prefill.
type Execution struct {
	// Upstream is the stand-in's name.
	Upstream string
	// Stream is the identifier that the daemon gave.
	Stream string
	// Text is the whole answer to come.
	Text string
	// Blocks are the hashes of the prompt's leading blocks.
	Blocks []uint64
	// Prefill counts prompt tokens to process, Cached those found in the cache.
	Prefill int
	Cached  int
}

func observe(fn func(Execution), e Execution) {
	if fn != nil {
		fn(e)
	}
}

// AnswerTo is the whole answer that a runner gives to a prompt.
func AnswerTo(prompt string, maxTokens int) string {
	return strings.Join(answerWords(upstream.Start{Prompt: prompt, MaxTokens: maxTokens}), "")
}

// answerWords are the tokens of the answer to a request. They depend on the
// prompt, so that answers to two prompts differ.
func answerWords(s upstream.Start) []string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s.Prompt))
	words := make([]string, outputTokens(s))
	for i := range words {
		words[i] = fmt.Sprintf("w%d-%04x ", i, h.Sum32()&0xffff)
	}
	return words
}
