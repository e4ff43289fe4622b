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
	// loadTime is how long requests keep arriving.
	loadTime = 7 * time.Second
	// completions and calls are how many requests arrive, burst how many more
	// completions arrive at once in the middle.
	completions = 130
	burst       = 50
	lookups     = 40
	transfers   = 24
	// shortest and longest bound prompts and answers, in tokens: a hundredfold.
	shortestPrompt, longestPrompt = 40, 4000
	shortestAnswer, longestAnswer = 4, 400
	// bytesPerToken is how much text makes a prompt token.
	bytesPerToken = 4
	// documents is how many texts a workspace's prompts begin with.
	documents = 6
	// burstAt is when the burst comes, as a share of the load's time.
	burstAt = 0.45
	// resendEvery is how many transfers there are to one that is resent.
	resendEvery = 2
	// resendAfter bounds the time to the resend.
	resendAfter = 150 * time.Millisecond
)

// planned is one request before it is sent.
type planned struct {
	at        time.Duration
	workspace int
	// plain says that it is a service's call, not a completion.
	plain   bool
	stream  bool
	request client.Request
	// resend is how long after the first the same request is sent again; zero
	// means never.
	resend time.Duration
}

// planner draws a load from a seed.
type planner struct {
	rng        *rand.Rand
	workspaces int
	texts      map[[2]int]string
	keys       int
}

// plan returns the whole load; the same seed gives the same load.
func plan(seed uint64, workspaces int) []planned {
	p := &planner{rng: rand.New(rand.NewPCG(seed, 0)), workspaces: workspaces, texts: map[[2]int]string{}}
	out := []planned{}
	for range completions {
		out = append(out, p.completion(p.arrival()))
	}
	for range burst {
		out = append(out, p.completion(time.Duration(burstAt*float64(loadTime))))
	}
	for i := range lookups {
		out = append(out, p.lookup(i))
	}
	for i := range transfers {
		out = append(out, p.transfer(i))
	}
	return out
}

func (p *planner) arrival() time.Duration {
	return time.Duration(p.rng.Float64() * float64(loadTime))
}

// length draws evenly on a logarithmic scale.
func (p *planner) length(low, high int) int {
	return int(math.Round(float64(low) * math.Pow(float64(high)/float64(low), p.rng.Float64())))
}

func (p *planner) key() string {
	p.keys++
	return fmt.Sprintf("demo-%d", p.keys)
}

func (p *planner) completion(at time.Duration) planned {
	w := p.rng.IntN(p.workspaces)
	c := client.Completion{Form: client.Text, Model: modelName, Prompt: p.prompt(w), MaxTokens: longestAnswer, Stream: p.rng.IntN(2) == 0}
	if p.rng.IntN(2) == 0 {
		c.Form = client.Chat
	}
	key := ""
	if p.rng.IntN(3) == 0 {
		key = p.key()
	}
	return planned{at: at, workspace: w, stream: c.Stream, request: c.Request(key)}
}

// prompt is the beginning of one of the workspace's documents, a question, and
// the answer's length for the stand-in.
func (p *planner) prompt(workspace int) string {
	doc := p.document(workspace, p.rng.IntN(documents))
	size := p.length(shortestPrompt, longestPrompt) * bytesPerToken
	return fmt.Sprintf("%s question %d #%d", doc[:size], p.rng.IntN(1_000_000), p.length(shortestAnswer, longestAnswer))
}

func (p *planner) document(workspace, number int) string {
	id := [2]int{workspace, number}
	if doc, ok := p.texts[id]; ok {
		return doc
	}
	b := strings.Builder{}
	for b.Len() < longestPrompt*bytesPerToken {
		fmt.Fprintf(&b, "chassis %05d ", p.rng.IntN(100_000))
	}
	p.texts[id] = b.String()
	return p.texts[id]
}

func (p *planner) lookup(i int) planned {
	path := fmt.Sprintf("/services/%s/chassis/%d", serviceName, i)
	return planned{at: p.arrival(), workspace: p.rng.IntN(p.workspaces), plain: true, request: client.Request{Method: http.MethodGet, Path: path}}
}

// transfer may not be repeated; it carries a key, and some are sent twice.
func (p *planner) transfer(i int) planned {
	path := fmt.Sprintf("/services/%s/transfers/%d", serviceName, i)
	r := client.Request{Method: http.MethodPost, Path: path, Body: []byte(`{"owner":"new"}`), Key: p.key()}
	out := planned{at: p.arrival(), workspace: p.rng.IntN(p.workspaces), plain: true, request: r}
	if i%resendEvery == 0 {
		out.resend = 1 + time.Duration(p.rng.Int64N(int64(resendAfter)))
	}
	return out
}

// warmModel and warmService are the smallest requests.
func warmModel() planned {
	c := client.Completion{Form: client.Text, Model: modelName, Prompt: "warm #1", MaxTokens: 1}
	return planned{request: c.Request("")}
}

func warmService() planned {
	return planned{plain: true, request: client.Request{Method: http.MethodGet, Path: "/services/" + serviceName + "/chassis/warm"}}
}
