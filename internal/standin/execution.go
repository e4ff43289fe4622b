package standin

import (
	"fmt"
	"hash/fnv"
	"strings"

	"github.com/verbenastep/verbenastep/api/upstream"
)

// Execution describes how a stand-in executes one request. A runner reports it
// twice: with Text when the execution starts, and with Prefill and Cached
// before the prefill.
type Execution struct {
	// Upstream is the stand-in's name.
	Upstream string
	// Stream is the identifier that the daemon assigned.
	Stream string
	// Text is the complete answer that will be sent.
	Text string
	// Blocks are the hashes of the prompt's leading blocks.
	Blocks []uint64
	// Prefill is the number of prompt tokens to process, Cached the number found
	// in the cache.
	Prefill int
	Cached  int
}

func notifyObserver(fn func(Execution), e Execution) {
	if fn != nil {
		fn(e)
	}
}

// AnswerTo returns the complete answer that a runner gives to a prompt.
func AnswerTo(prompt string, maxTokens int) string {
	return strings.Join(answerTokens(upstream.Start{Prompt: prompt, MaxTokens: maxTokens}), "")
}

// answerTokens returns the tokens of the answer to a request. They contain a
// hash of the prompt, so that answers to different prompts differ.
func answerTokens(s upstream.Start) []string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s.Prompt))
	words := make([]string, outputTokens(s))
	for i := range words {
		words[i] = fmt.Sprintf("w%d-%04x ", i, h.Sum32()&0xffff)
	}
	return words
}
