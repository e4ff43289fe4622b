package demo

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/verbenastep/verbenastep/api/client"
)

const (
	// loadDuration is how long requests keep arriving.
	loadDuration = 7 * time.Second
	// completionCount, lookupCount and transferCount are the numbers of requests
	// that arrive over the load, burstCompletionCount that of the further
	// completions that arrive all at once.
	completionCount      = 130
	burstCompletionCount = 50
	lookupCount          = 40
	transferCount        = 24
	// Lengths of prompts and answers are in tokens and span a factor of 100.
	shortestPrompt, longestPrompt = 40, 4000
	shortestAnswer, longestAnswer = 4, 400
	// bytesPerToken is how many bytes of prompt the stand-ins count as a token.
	bytesPerToken = 4
	// documentsPerWorkspace is how many documents a workspace has; each of its
	// prompts begins with part of one.
	documentsPerWorkspace = 6
	// burstFraction places the burst in the load, as a share of loadDuration.
	burstFraction = 0.45
	// transfersPerResend is how many transfers there are for each that is resent.
	transfersPerResend = 2
	// maxResendDelay bounds the time from a request to its resend.
	maxResendDelay = 150 * time.Millisecond
)

// plannedRequest is one request of the load.
type plannedRequest struct {
	// sendAt is the time since the load's start.
	sendAt    time.Duration
	workspace int
	// serviceCall says that the request goes to a plain service, not to a model.
	serviceCall bool
	stream      bool
	request     client.Request
	// resendDelay is the time after which the same request is sent again; zero
	// means never.
	resendDelay time.Duration
}

// loadPlanner draws a load from a seed.
type loadPlanner struct {
	rng        *rand.Rand
	workspaces int
	// documents holds the documents' texts by workspace and number.
	documents map[[2]int]string
	keyCount  int
}

// planLoad returns the load for a number of workspaces; it depends on the seed
// alone.
func planLoad(seed uint64, workspaces int) []plannedRequest {
	p := &loadPlanner{rng: rand.New(rand.NewPCG(seed, 0)), workspaces: workspaces, documents: map[[2]int]string{}}
	out := []plannedRequest{}
	for range completionCount {
		out = append(out, p.completion(p.drawArrival()))
	}
	for range burstCompletionCount {
		out = append(out, p.completion(time.Duration(burstFraction*float64(loadDuration))))
	}
	for i := range lookupCount {
		out = append(out, p.lookup(i))
	}
	for i := range transferCount {
		out = append(out, p.transfer(i))
	}
	return out
}

// drawArrival draws a time that is uniform over the load.
func (p *loadPlanner) drawArrival() time.Duration {
	return time.Duration(p.rng.Float64() * float64(loadDuration))
}

// drawLength draws a log-uniform length between low and high.
func (p *loadPlanner) drawLength(low, high int) int {
	return int(math.Round(float64(low) * math.Pow(float64(high)/float64(low), p.rng.Float64())))
}

// nextKey returns an idempotency key that is unique in the load.
func (p *loadPlanner) nextKey() string {
	p.keyCount++
	return fmt.Sprintf("demo-%d", p.keyCount)
}

// completion draws a text or chat completion. Half of all completions are
// streamed, and a third carry a caller's key.
func (p *loadPlanner) completion(at time.Duration) plannedRequest {
	w := p.rng.IntN(p.workspaces)
	c := client.Completion{Form: client.Text, Model: modelName, Prompt: p.prompt(w), MaxTokens: longestAnswer, Stream: p.rng.IntN(2) == 0}
	if p.rng.IntN(2) == 0 {
		c.Form = client.Chat
	}
	key := ""
	if p.rng.IntN(3) == 0 {
		key = p.nextKey()
	}
	return plannedRequest{sendAt: at, workspace: w, stream: c.Stream, request: c.Request(key)}
}

// prompt returns the beginning of one of the workspace's documents, a question,
// and the answer's length in the form that the stand-in reads.
func (p *loadPlanner) prompt(workspace int) string {
	doc := p.document(workspace, p.rng.IntN(documentsPerWorkspace))
	size := p.drawLength(shortestPrompt, longestPrompt) * bytesPerToken
	return fmt.Sprintf("%s question %d #%d", doc[:size], p.rng.IntN(1_000_000), p.drawLength(shortestAnswer, longestAnswer))
}

// document returns one of a workspace's texts, drawing it on first use.
func (p *loadPlanner) document(workspace, number int) string {
	id := [2]int{workspace, number}
	if doc, ok := p.documents[id]; ok {
		return doc
	}
	b := strings.Builder{}
	for b.Len() < longestPrompt*bytesPerToken {
		fmt.Fprintf(&b, "chassis %05d ", p.rng.IntN(100_000))
	}
	p.documents[id] = b.String()
	return p.documents[id]
}

// lookup draws an idempotent service call without a key.
func (p *loadPlanner) lookup(i int) plannedRequest {
	path := fmt.Sprintf("/services/%s/chassis/%d", serviceName, i)
	return plannedRequest{sendAt: p.drawArrival(), workspace: p.rng.IntN(p.workspaces), serviceCall: true, request: client.Request{Method: http.MethodGet, Path: path}}
}

// transfer draws a service call that must not execute twice. It carries a key, and
// one in transfersPerResend is sent twice.
func (p *loadPlanner) transfer(i int) plannedRequest {
	path := fmt.Sprintf("/services/%s/transfers/%d", serviceName, i)
	r := client.Request{Method: http.MethodPost, Path: path, Body: []byte(`{"owner":"new"}`), Key: p.nextKey()}
	out := plannedRequest{sendAt: p.drawArrival(), workspace: p.rng.IntN(p.workspaces), serviceCall: true, request: r}
	if i%transfersPerResend == 0 {
		out.resendDelay = 1 + time.Duration(p.rng.Int64N(int64(maxResendDelay)))
	}
	return out
}

// warmUpCompletion returns a completion of one token.
func warmUpCompletion() plannedRequest {
	c := client.Completion{Form: client.Text, Model: modelName, Prompt: "warm #1", MaxTokens: 1}
	return plannedRequest{request: c.Request("")}
}

// warmUpServiceCall returns an idempotent service call.
func warmUpServiceCall() plannedRequest {
	return plannedRequest{serviceCall: true, request: client.Request{Method: http.MethodGet, Path: "/services/" + serviceName + "/chassis/warm"}}
}
