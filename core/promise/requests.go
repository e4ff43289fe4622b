package promise

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// request identifies a request across all its resends.
type request struct {
	workspace string
	key       string
}

// String returns "workspace/key".
func (r request) String() string { return r.workspace + "/" + r.key }

// dispatchRule checks DispatchOnce. Other rules use it to find the request of a
// stream.
type dispatchRule struct {
	streams       map[string]request
	dispatched    map[request]string
	nonIdempotent map[request]bool
}

func newDispatchRule() *dispatchRule {
	return &dispatchRule{streams: map[string]request{}, dispatched: map[request]string{}, nonIdempotent: map[request]bool{}}
}

// requestOf returns an event's request by its key, or else by its stream, and
// false if neither is known.
func (x *dispatchRule) requestOf(e Event) (request, bool) {
	if e.Key != "" {
		return request{workspace: e.Workspace, key: e.Key}, true
	}
	r, ok := x.streams[e.Stream]
	return r, ok
}

func (x *dispatchRule) promise() Promise { return DispatchOnce }

func (x *dispatchRule) observe(e Event) []string {
	r, known := x.requestOf(e)
	if known && e.NonIdempotent {
		x.nonIdempotent[r] = true
	}
	if e.Kind != Dispatch {
		return nil
	}
	if !known {
		return []string{"the dispatch belongs to no known request"}
	}
	if owner, dispatched := x.streams[e.Stream]; dispatched && owner != r {
		return []string{fmt.Sprintf("stream %s was already dispatched for %s", e.Stream, owner)}
	}
	if e.Stream != "" {
		x.streams[e.Stream] = r
	}
	first, again := x.dispatched[r]
	if again {
		return []string{fmt.Sprintf("%s was already dispatched to upstream %q", r, first)}
	}
	x.dispatched[r] = e.Upstream
	return nil
}

func (x *dispatchRule) finish(time.Duration) []string { return nil }

// answerRule checks OwnAnswer.
type answerRule struct {
	options    Options
	dispatches *dispatchRule
	sentHashes map[string]string
	unanswered map[request]bool
}

func newAnswerRule(options Options, x *dispatchRule) *answerRule {
	return &answerRule{options: options, dispatches: x, sentHashes: map[string]string{}, unanswered: map[request]bool{}}
}

func (a *answerRule) promise() Promise { return OwnAnswer }

func (a *answerRule) observe(e Event) []string {
	r, known := a.dispatches.requestOf(e)
	switch e.Kind {
	case Accept:
		if !known {
			return []string{"the request has no key"}
		}
		a.unanswered[r] = true
	case Refuse:
		delete(a.unanswered, r)
	case Answer:
		delete(a.unanswered, r)
		return a.checkAnswer(e, r, known)
	}
	if e.Stream != "" && e.SentHash != "" {
		a.sentHashes[e.Stream] = e.SentHash
	}
	return nil
}

func (a *answerRule) checkAnswer(e Event, r request, known bool) []string {
	if !known {
		return []string{"the answer belongs to no known request"}
	}
	if !e.Complete {
		return []string{"the answer ended without its explicit end"}
	}
	out := []string{}
	_, ran := a.dispatches.dispatched[r]
	if !ran && !a.options.Partial {
		out = append(out, fmt.Sprintf("%s was answered but never dispatched", r))
	}
	if owner, ok := a.dispatches.streams[e.Stream]; ok && owner != r {
		out = append(out, fmt.Sprintf("stream %s belongs to %s", e.Stream, owner))
	}
	if e.SentHash != "" && e.ReceivedHash != e.SentHash {
		out = append(out, "the caller received other bytes than the entry received")
	}
	if sent, ok := a.sentHashes[e.Stream]; ok && e.ReceivedHash != sent {
		out = append(out, "the caller received other bytes than the upstream sent")
	}
	return out
}

func (a *answerRule) finish(time.Duration) []string {
	if a.options.InFlightAtEnd {
		return nil
	}
	out := []string{}
	for r := range a.unanswered {
		out = append(out, fmt.Sprintf("%s ended without an answer or a refusal", r))
	}
	slices.Sort(out)
	return out
}

// executeRule checks ExecuteOnce.
type executeRule struct {
	options    Options
	dispatches *dispatchRule
	executions map[request]int
}

func (x *executeRule) promise() Promise { return ExecuteOnce }

func (x *executeRule) observe(e Event) []string {
	if e.Kind != Execute {
		return nil
	}
	r, known := x.dispatches.requestOf(e)
	if !known {
		if x.options.Partial {
			return nil
		}
		return []string{fmt.Sprintf("stream %s was executed without a dispatch", e.Stream)}
	}
	x.executions[r]++
	if x.dispatches.nonIdempotent[r] && x.executions[r] > 1 {
		return []string{fmt.Sprintf("%s was executed %d times", r, x.executions[r])}
	}
	return nil
}

func (x *executeRule) finish(time.Duration) []string { return nil }

// acceptance is a request together with the entry that accepted it.
type acceptance struct {
	request request
	daemon  string
}

// notRunRule checks NotRun.
type notRunRule struct {
	dispatches *dispatchRule
	// dispatchedDigest is the content that was dispatched under a key.
	dispatchedDigest map[request]string
	acceptedDigest   map[acceptance]string
	inFlight         map[acceptance]int
	executed         map[request]bool
	refused          map[request]bool
}

func newNotRunRule(x *dispatchRule) *notRunRule {
	return &notRunRule{dispatches: x, dispatchedDigest: map[request]string{}, acceptedDigest: map[acceptance]string{}, inFlight: map[acceptance]int{}, executed: map[request]bool{}, refused: map[request]bool{}}
}

func (n *notRunRule) promise() Promise { return NotRun }

func (n *notRunRule) observe(e Event) []string {
	r, known := n.dispatches.requestOf(e)
	if !known {
		return nil
	}
	at := acceptance{request: r, daemon: e.Daemon}
	switch e.Kind {
	case Accept:
		n.inFlight[at]++
		n.acceptedDigest[at] = e.Digest
	case Answer:
		n.inFlight[at]--
	case Refuse:
		n.inFlight[at]--
		return n.checkRefusal(e, r)
	case Execute:
		n.executed[r] = true
	case Dispatch:
		n.dispatchedDigest[r] = n.acceptedDigest[at]
		if n.refused[r] && n.inFlight[at] <= 0 {
			return []string{fmt.Sprintf("%s was dispatched after a refusal with not_run, without a new request", r)}
		}
	}
	return nil
}

// checkRefusal checks a refusal with "not_run". A refusal for a conflict
// concerns other content than what runs under the key, so it breaks nothing.
func (n *notRunRule) checkRefusal(e Event, r request) []string {
	if e.Ran != "not_run" {
		return nil
	}
	if e.Code == "conflict" && e.Digest != n.dispatchedDigest[r] {
		return nil
	}
	n.refused[r] = true
	if n.executed[r] {
		return []string{fmt.Sprintf("%s was refused with not_run after it was executed", r)}
	}
	if to, ok := n.dispatches.dispatched[r]; ok {
		return []string{fmt.Sprintf("%s was refused with not_run after its dispatch to upstream %q", r, to)}
	}
	return nil
}

func (n *notRunRule) finish(time.Duration) []string { return nil }

// drainRule checks LeavingUpstream.
type drainRule struct {
	leftAt map[string]time.Duration
}

func (l *drainRule) promise() Promise { return LeavingUpstream }

func (l *drainRule) observe(e Event) []string {
	switch e.Kind {
	case Join:
		delete(l.leftAt, e.Upstream)
	case Leave:
		if _, ok := l.leftAt[e.Upstream]; !ok {
			l.leftAt[e.Upstream] = e.At
		}
	case Grant, Dispatch:
		left, ok := l.leftAt[e.Upstream]
		if ok && e.At > left+drainTimeout {
			return []string{fmt.Sprintf("upstream %s was given work %v after it announced its leave", e.Upstream, e.At-left)}
		}
	}
	return nil
}

func (l *drainRule) finish(time.Duration) []string { return nil }

// shutdownRule checks Shutdown.
type shutdownRule struct {
	draining map[string]bool
	// inFlight counts each daemon's accepted requests that have not ended.
	inFlight map[string]map[request]int
}

func (s *shutdownRule) promise() Promise { return Shutdown }

func (s *shutdownRule) observe(e Event) []string {
	r := request{workspace: e.Workspace, key: e.Key}
	inFlight := s.inFlight[e.Daemon]
	switch e.Kind {
	case Accept:
		if inFlight == nil {
			inFlight = map[request]int{}
			s.inFlight[e.Daemon] = inFlight
		}
		inFlight[r]++
	case Answer:
		s.endRequest(inFlight, r)
	case Refuse:
		accepted := inFlight[r] > 0
		s.endRequest(inFlight, r)
		if accepted && s.draining[e.Daemon] && e.Code == "draining" {
			return []string{fmt.Sprintf("%s was in flight and refused because of the shutdown", r)}
		}
	case Drain:
		s.draining[e.Daemon] = true
	case Crashed, Started:
		delete(s.inFlight, e.Daemon)
		delete(s.draining, e.Daemon)
	case Stopped:
		delete(s.inFlight, e.Daemon)
		delete(s.draining, e.Daemon)
		return interruptedRequests(inFlight)
	}
	return nil
}

func (s *shutdownRule) endRequest(inFlight map[request]int, r request) {
	if inFlight[r] > 1 {
		inFlight[r]--
		return
	}
	delete(inFlight, r)
}

func interruptedRequests(inFlight map[request]int) []string {
	names := []string{}
	for r := range inFlight {
		names = append(names, r.String())
	}
	if len(names) == 0 {
		return nil
	}
	slices.Sort(names)
	return []string{"in flight at the end of the shutdown: " + strings.Join(names, ", ")}
}

func (s *shutdownRule) finish(time.Duration) []string { return nil }
