package promise

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// request identifies a request over all its resends.
type request struct {
	workspace string
	key       string
}

// String gives workspace and key.
func (r request) String() string { return r.workspace + "/" + r.key }

// index knows which stream belongs to which request, and checks DispatchOnce.
type index struct {
	streams    map[string]request
	dispatched map[request]string
	once       map[request]bool
}

func newIndex() *index {
	return &index{streams: map[string]request{}, dispatched: map[request]string{}, once: map[request]bool{}}
}

// request finds an event's request by its key, or else by its stream.
func (x *index) request(e Event) (request, bool) {
	if e.Key != "" {
		return request{workspace: e.Workspace, key: e.Key}, true
	}
	r, ok := x.streams[e.Stream]
	return r, ok
}

func (x *index) promise() Promise { return DispatchOnce }

func (x *index) feed(e Event) []string {
	r, known := x.request(e)
	if known && e.Once {
		x.once[r] = true
	}
	if e.Kind != Dispatch {
		return nil
	}
	if !known {
		return []string{"the dispatch names no request"}
	}
	if owner, taken := x.streams[e.Stream]; taken && owner != r {
		return []string{fmt.Sprintf("stream %s belongs to %s", e.Stream, owner)}
	}
	if e.Stream != "" {
		x.streams[e.Stream] = r
	}
	first, again := x.dispatched[r]
	if again {
		return []string{fmt.Sprintf("%s was dispatched to %s before", r, first)}
	}
	x.dispatched[r] = e.Upstream
	return nil
}

func (x *index) finish(time.Duration) []string { return nil }

// answerRule checks OwnAnswer.
type answerRule struct {
	opt   Options
	index *index
	sent  map[string]string
	open  map[request]bool
}

func newAnswerRule(opt Options, x *index) *answerRule {
	return &answerRule{opt: opt, index: x, sent: map[string]string{}, open: map[request]bool{}}
}

func (a *answerRule) promise() Promise { return OwnAnswer }

func (a *answerRule) feed(e Event) []string {
	r, known := a.index.request(e)
	switch e.Kind {
	case Accept:
		if !known {
			return []string{"the request has no key"}
		}
		a.open[r] = true
	case Refuse:
		delete(a.open, r)
	case Answer:
		delete(a.open, r)
		return a.answer(e, r, known)
	}
	if e.Stream != "" && e.Sent != "" {
		a.sent[e.Stream] = e.Sent
	}
	return nil
}

func (a *answerRule) answer(e Event, r request, known bool) []string {
	if !known {
		return []string{"the answer names no request"}
	}
	if !e.Whole {
		return []string{"the answer ended without its explicit end"}
	}
	out := []string{}
	_, ran := a.index.dispatched[r]
	if !ran && !a.opt.Partial {
		out = append(out, fmt.Sprintf("%s was answered but never dispatched", r))
	}
	if owner, ok := a.index.streams[e.Stream]; ok && owner != r {
		out = append(out, fmt.Sprintf("stream %s answers %s", e.Stream, owner))
	}
	if e.Sent != "" && e.Got != e.Sent {
		out = append(out, "the caller received other bytes than the entry")
	}
	if sent, ok := a.sent[e.Stream]; ok && e.Got != sent {
		out = append(out, "the caller received other bytes than the upstream sent")
	}
	return out
}

func (a *answerRule) finish(time.Duration) []string {
	if a.opt.Open {
		return nil
	}
	out := []string{}
	for r := range a.open {
		out = append(out, fmt.Sprintf("the caller of %s was left without an answer or a refusal", r))
	}
	slices.Sort(out)
	return out
}

// executeRule checks ExecuteOnce.
type executeRule struct {
	opt   Options
	index *index
	runs  map[request]int
}

func (x *executeRule) promise() Promise { return ExecuteOnce }

func (x *executeRule) feed(e Event) []string {
	if e.Kind != Execute {
		return nil
	}
	r, known := x.index.request(e)
	if !known {
		if x.opt.Partial {
			return nil
		}
		return []string{fmt.Sprintf("stream %s runs without a dispatch", e.Stream)}
	}
	x.runs[r]++
	if x.index.once[r] && x.runs[r] > 1 {
		return []string{fmt.Sprintf("%s executes for the %d. time", r, x.runs[r])}
	}
	return nil
}

func (x *executeRule) finish(time.Duration) []string { return nil }

// attempt is a request at the entry that accepted it.
type attempt struct {
	request request
	daemon  string
}

// notRunRule checks NotRun.
type notRunRule struct {
	index *index
	// digest is the content that was dispatched under a key.
	digest   map[request]string
	offered  map[attempt]string
	open     map[attempt]int
	executed map[request]bool
	refused  map[request]bool
}

func newNotRunRule(x *index) *notRunRule {
	return &notRunRule{index: x, digest: map[request]string{}, offered: map[attempt]string{}, open: map[attempt]int{}, executed: map[request]bool{}, refused: map[request]bool{}}
}

func (n *notRunRule) promise() Promise { return NotRun }

func (n *notRunRule) feed(e Event) []string {
	r, known := n.index.request(e)
	if !known {
		return nil
	}
	at := attempt{request: r, daemon: e.Daemon}
	switch e.Kind {
	case Accept:
		n.open[at]++
		n.offered[at] = e.Digest
	case Answer:
		n.open[at]--
	case Refuse:
		n.open[at]--
		return n.refuse(e, r)
	case Execute:
		n.executed[r] = true
	case Dispatch:
		n.digest[r] = n.offered[at]
		if n.refused[r] && n.open[at] <= 0 {
			return []string{fmt.Sprintf("%s was refused with not_run and not sent again", r)}
		}
	}
	return nil
}

// refuse checks a refusal. One for a conflict speaks of another content than
// the one that runs under the key.
func (n *notRunRule) refuse(e Event, r request) []string {
	if e.Ran != "not_run" {
		return nil
	}
	if e.Code == "conflict" && e.Digest != n.digest[r] {
		return nil
	}
	n.refused[r] = true
	if n.executed[r] {
		return []string{fmt.Sprintf("%s was executed", r)}
	}
	if to, ok := n.index.dispatched[r]; ok {
		return []string{fmt.Sprintf("%s was dispatched to %s", r, to)}
	}
	return nil
}

func (n *notRunRule) finish(time.Duration) []string { return nil }

// leaveRule checks LeavingUpstream.
type leaveRule struct {
	left map[string]time.Duration
}

func (l *leaveRule) promise() Promise { return LeavingUpstream }

func (l *leaveRule) feed(e Event) []string {
	switch e.Kind {
	case Join:
		delete(l.left, e.Upstream)
	case Leave:
		if _, ok := l.left[e.Upstream]; !ok {
			l.left[e.Upstream] = e.At
		}
	case Grant, Dispatch:
		left, ok := l.left[e.Upstream]
		if ok && e.At > left+leaveWithin {
			return []string{fmt.Sprintf("%s left %v before", e.Upstream, e.At-left)}
		}
	}
	return nil
}

func (l *leaveRule) finish(time.Duration) []string { return nil }

// shutdownRule checks Shutdown.
type shutdownRule struct {
	draining map[string]bool
	// open counts each daemon's requests without an end.
	open map[string]map[request]int
}

func (s *shutdownRule) promise() Promise { return Shutdown }

func (s *shutdownRule) feed(e Event) []string {
	r := request{workspace: e.Workspace, key: e.Key}
	mine := s.open[e.Daemon]
	switch e.Kind {
	case Accept:
		if mine == nil {
			mine = map[request]int{}
			s.open[e.Daemon] = mine
		}
		mine[r]++
	case Answer:
		s.end(mine, r)
	case Refuse:
		accepted := mine[r] > 0
		s.end(mine, r)
		if accepted && s.draining[e.Daemon] && e.Code == "draining" {
			return []string{fmt.Sprintf("%s was in flight and refused for the shutdown", r)}
		}
	case Drain:
		s.draining[e.Daemon] = true
	case Crashed, Started:
		delete(s.open, e.Daemon)
		delete(s.draining, e.Daemon)
	case Stopped:
		delete(s.open, e.Daemon)
		delete(s.draining, e.Daemon)
		return interrupted(mine)
	}
	return nil
}

func (s *shutdownRule) end(mine map[request]int, r request) {
	if mine[r] > 1 {
		mine[r]--
		return
	}
	delete(mine, r)
}

func interrupted(mine map[request]int) []string {
	names := []string{}
	for r := range mine {
		names = append(names, r.String())
	}
	if len(names) == 0 {
		return nil
	}
	slices.Sort(names)
	return []string{"in flight at the end of the shutdown: " + strings.Join(names, ", ")}
}

func (s *shutdownRule) finish(time.Duration) []string { return nil }
