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

// outcome is what became of one request, as its caller saw it.
type outcome struct {
	workspace string
	key       string
	took      time.Duration
	whole     bool
	resumed   int
	failure   *fault.Error
}

// callers sends a load as callers would.
type callers struct {
	rec        *recorder
	workspaces []config.Workspace
	clients    []*client.Caller

	mu       sync.Mutex
	outcomes []outcome
}

func newCallers(entries []string, workspaces []config.Workspace, rec *recorder) *callers {
	c := &callers{rec: rec, workspaces: workspaces}
	for _, w := range workspaces {
		c.clients = append(c.clients, &client.Caller{Entries: entries, Key: workspaceKey(w.Name)})
	}
	return c
}

// workspaceKey is the key whose hash the embedded configuration holds.
func workspaceKey(workspace string) string { return "demo-" + workspace }

// run sends the load and waits for all answers.
func (c *callers) run(ctx context.Context, load []planned) {
	wait := sync.WaitGroup{}
	for _, p := range load {
		wait.Go(func() { c.at(ctx, p.at, p) })
		if p.resend > 0 {
			wait.Go(func() { c.at(ctx, p.at+p.resend, p) })
		}
	}
	wait.Wait()
}

func (c *callers) at(ctx context.Context, after time.Duration, p planned) {
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

// send makes one request and records what its caller received.
func (c *callers) send(ctx context.Context, p planned) outcome {
	began := time.Now()
	o := outcome{workspace: c.workspaces[p.workspace].Name, key: p.request.Key}
	answer, err := exchange(ctx, c.clients[p.workspace], p, &o)
	o.took = time.Since(began)
	return c.settle(o, answer, err)
}

// settle records an answer or a refusal.
func (c *callers) settle(o outcome, answer string, err error) outcome {
	if err != nil {
		o.failure = fault.From(err)
		c.refused(o)
		return o
	}
	o.whole = true
	c.rec.record(promise.Event{Kind: promise.Answer, Workspace: o.workspace, Key: o.key, Complete: true, ReceivedHash: hash(answer)})
	return o
}

// sendTo makes one request at one entry; its outcome is not counted.
func (c *callers) sendTo(ctx context.Context, entry string, p planned) error {
	w := c.workspaces[p.workspace].Name
	o := outcome{workspace: w}
	only := &client.Caller{Fixed: true, Entries: []string{entry}, Key: workspaceKey(w)}
	answer, err := exchange(ctx, only, p, &o)
	o = c.settle(o, answer, err)
	if o.failure != nil {
		return o.failure
	}
	return nil
}

func (c *callers) refused(o outcome) {
	key := o.failure.Key
	if key == "" {
		key = o.key
	}
	c.rec.record(promise.Event{Kind: promise.Refuse, Workspace: o.workspace, Key: key, Code: string(o.failure.Kind), Ran: string(o.failure.Ran)})
}

// exchange returns the answer's text and fills in the key that the entry gave.
func exchange(ctx context.Context, caller *client.Caller, p planned, o *outcome) (string, error) {
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
	if p.plain {
		return string(reply.Body), nil
	}
	text, _, err := reply.Completion()
	return text, err
}
