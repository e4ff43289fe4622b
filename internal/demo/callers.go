package demo

import (
	"context"
	"sync"
	"time"

	"github.com/verbenastep/verbenastep/api/client"
	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/core/promise"
)

// outcome is the result of one request as its caller received it.
type outcome struct {
	workspace string
	key       string
	// latency is the time from sending to the end of the answer or refusal.
	latency time.Duration
	// complete says that the whole answer arrived.
	complete bool
	// resumed counts how often the stream was resumed over a new connection.
	resumed int
	failure *fault.Error
}

// callers sends the load with one client per workspace and collects the outcomes.
// It is safe for concurrent use.
type callers struct {
	rec        *recorder
	workspaces []config.Workspace
	clients    []*client.Caller

	mu       sync.Mutex
	outcomes []outcome
}

// newCallers returns callers for the workspaces that use the entries' addresses.
func newCallers(entries []string, workspaces []config.Workspace, rec *recorder) *callers {
	c := &callers{rec: rec, workspaces: workspaces}
	for _, w := range workspaces {
		c.clients = append(c.clients, &client.Caller{Entries: entries, Key: workspaceKey(w.Name)})
	}
	return c
}

// workspaceKey returns the bearer key whose hash the embedded configuration
// holds.
func workspaceKey(workspace string) string { return "demo-" + workspace }

// run sends the requests and resends at their times and waits for all outcomes.
func (c *callers) run(ctx context.Context, requests []plannedRequest) {
	wg := sync.WaitGroup{}
	for _, p := range requests {
		wg.Go(func() { c.sendAfter(ctx, p.sendAt, p) })
		if p.resendDelay > 0 {
			wg.Go(func() { c.sendAfter(ctx, p.sendAt+p.resendDelay, p) })
		}
	}
	wg.Wait()
}

// sendAfter sends a request after a delay and adds its outcome; it does nothing
// when the context ends before.
func (c *callers) sendAfter(ctx context.Context, after time.Duration, p plannedRequest) {
	select {
	case <-time.After(after):
	case <-ctx.Done():
		return
	}
	o := c.send(ctx, p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

// send sends one request and records its answer or refusal.
func (c *callers) send(ctx context.Context, p plannedRequest) outcome {
	start := time.Now()
	o := outcome{workspace: c.workspaces[p.workspace].Name, key: p.request.Key}
	answer, err := exchange(ctx, c.clients[p.workspace], p, &o)
	o.latency = time.Since(start)
	return c.recordOutcome(o, answer, err)
}

// recordOutcome records an answer or a refusal and returns the completed outcome.
func (c *callers) recordOutcome(o outcome, answer string, err error) outcome {
	if err != nil {
		o.failure = fault.From(err)
		c.recordRefusal(o)
		return o
	}
	o.complete = true
	c.rec.record(promise.Event{Kind: promise.Answer, Workspace: o.workspace, Key: o.key, Complete: true, ReceivedHash: hash(answer)})
	return o
}

// sendTo sends one request to one entry. Its outcome is recorded for the checker
// but not counted in the report.
func (c *callers) sendTo(ctx context.Context, entry string, p plannedRequest) error {
	w := c.workspaces[p.workspace].Name
	o := outcome{workspace: w}
	caller := &client.Caller{Fixed: true, Entries: []string{entry}, Key: workspaceKey(w)}
	answer, err := exchange(ctx, caller, p, &o)
	o = c.recordOutcome(o, answer, err)
	if o.failure != nil {
		return o.failure
	}
	return nil
}

// recordRefusal records a refusal under the request's key.
func (c *callers) recordRefusal(o outcome) {
	key := o.failure.Key
	if key == "" {
		key = o.key
	}
	c.rec.record(promise.Event{Kind: promise.Refuse, Workspace: o.workspace, Key: key, Code: string(o.failure.Kind), Ran: string(o.failure.Ran)})
}

// exchange sends a request and returns the answer's text. It sets the outcome's
// key to the one that the entry used, and its count of resumptions.
func exchange(ctx context.Context, caller *client.Caller, p plannedRequest, o *outcome) (string, error) {
	if p.stream {
		s, err := caller.Stream(ctx, p.request, nil)
		o.key = s.Key
		o.resumed = s.Resumed
		return s.Text, err
	}
	reply, err := caller.Do(ctx, p.request)
	if err != nil {
		return "", err
	}
	o.key = reply.Key
	if p.serviceCall {
		return string(reply.Body), nil
	}
	text, _, err := reply.Completion()
	return text, err
}
