package demo

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/verbenastep/verbenastep/api/client"
	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/core/promise"
)

// Report holds the results of a run.
type Report struct {
	Seed    uint64  `json:"seed"`
	Seconds float64 `json:"seconds"`
	Tiers   []Tier  `json:"tiers"`
	Prefill Prefill `json:"prefill"`
	// ResumedStreams counts resumptions of streams over new connections.
	ResumedStreams int `json:"resumed"`
	// LostRequests counts requests that ended with neither answer nor refusal.
	LostRequests  int       `json:"lost"`
	KilledRunner  Step      `json:"killed"`
	DrainedDaemon Step      `json:"drained"`
	Promises      []Verdict `json:"promises"`
	// StopErrors lists the errors of graceful shutdowns.
	StopErrors []string `json:"faults,omitempty"`
	// Held says that every promise was tested and held, no request was lost and
	// the drained daemon stopped gracefully.
	Held bool `json:"held"`
}

// Tier counts the outcomes of one tier's requests. The counts after Offered sum to
// it.
type Tier struct {
	Name      string `json:"name"`
	GoodputMS int64  `json:"goodput_ms"`
	Offered   int    `json:"offered"`
	// InTime counts complete answers within GoodputMS, Late those after it.
	InTime int `json:"in_time"`
	Late   int `json:"late"`
	// NotRun counts refusals that state that the request did not run.
	NotRun int `json:"not_run"`
	// Failed counts requests that ended with any other error.
	Failed int `json:"failed"`
}

// Goodput returns the share of requests answered completely and in time, or zero
// without requests.
func (t Tier) Goodput() float64 {
	if t.Offered == 0 {
		return 0
	}
	return float64(t.InTime) / float64(t.Offered)
}

// Prefill counts prompt tokens that runners processed.
type Prefill struct {
	Processed int `json:"processed"`
	// Lost counts the tokens of requests without a complete answer, Repeated those
	// whose blocks another live runner held.
	Lost     int `json:"lost"`
	Repeated int `json:"repeated"`
}

// Wasted returns the share of processed tokens that was lost or repeated.
func (p Prefill) Wasted() float64 {
	if p.Processed == 0 {
		return 0
	}
	return float64(p.Lost+p.Repeated) / float64(p.Processed)
}

// Step is a kill or drain during the load. At is its start and Until its end, in
// seconds since the load began; Until is zero for a kill.
type Step struct {
	Name  string  `json:"name"`
	At    float64 `json:"at"`
	Until float64 `json:"until"`
}

// Verdict is the result of checking one promise.
type Verdict struct {
	Promise promise.Promise `json:"promise"`
	// Events counts the events that test the promise; zero means that it was not
	// tested.
	Events     int      `json:"events"`
	Violations []string `json:"broken,omitempty"`
}

// Held reports whether the promise was tested and held.
func (v Verdict) Held() bool { return v.Events > 0 && len(v.Violations) == 0 }

// addStopError adds the error of a graceful shutdown, if any.
func (r *Report) addStopError(err error) {
	if err != nil {
		r.StopErrors = append(r.StopErrors, err.Error())
	}
}

// evidenceKinds holds the kind of event without which a promise is not tested.
var evidenceKinds = map[promise.Promise]promise.Kind{
	promise.DispatchOnce:    promise.Dispatch,
	promise.TierOrder:       promise.Grant,
	promise.OwnAnswer:       promise.Answer,
	promise.NotRun:          promise.Accept,
	promise.ExecuteOnce:     promise.Execute,
	promise.LeavingUpstream: promise.Leave,
	promise.Shutdown:        promise.Stopped,
	promise.Configuration:   promise.InForce,
}

// checkPromises checks all promises on the events of a run.
func checkPromises(events []promise.Event, opt promise.Options) []Verdict {
	counts := map[promise.Kind]int{}
	for _, e := range events {
		counts[e.Kind]++
	}
	violations := map[promise.Promise][]string{}
	for _, v := range promise.Check(events, opt) {
		violations[v.Promise] = append(violations[v.Promise], v.String())
	}
	out := []Verdict{}
	for _, p := range promise.Promises() {
		out = append(out, Verdict{Promise: p, Events: counts[evidenceKinds[p]], Violations: violations[p]})
	}
	return out
}

// countByTier counts the outcomes by tier, in the configuration's order.
func countByTier(c *config.Config, outcomes []outcome) []Tier {
	out := []Tier{}
	for _, t := range c.Tiers {
		out = append(out, Tier{Name: t.Name, GoodputMS: t.GoodputMS})
	}
	for _, o := range outcomes {
		w, _ := c.Workspace(o.workspace)
		i, ok := c.TierIndex(w.Tier)
		if ok {
			out[i].add(o)
		}
	}
	return out
}

// add counts one outcome.
func (t *Tier) add(o outcome) {
	t.Offered++
	switch {
	case o.complete && o.latency <= time.Duration(t.GoodputMS)*time.Millisecond:
		t.InTime++
	case o.complete:
		t.Late++
	case o.failure.Ran == fault.NotRun:
		t.NotRun++
	default:
		t.Failed++
	}
}

// isLost reports whether the caller received neither answer nor refusal.
func (o outcome) isLost() bool {
	return !o.complete && o.failure.Kind == client.ConnectionLost
}

// maxPrintedViolations is how many violations of one promise are printed.
const maxPrintedViolations = 3

// Print writes the report as text.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "%s killed after %.1f s; %s drained from %.1f s to %.1f s; %d streams resumed\n\n", r.KilledRunner.Name, r.KilledRunner.At, r.DrainedDaemon.Name, r.DrainedDaemon.At, r.DrainedDaemon.Until, r.ResumedStreams)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "tier\toffered\tin time\tlate\tnot run\tfailed\tgoodput\t")
	for _, t := range r.Tiers {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%.1f%%\t\n", t.Name, t.Offered, t.InTime, t.Late, t.NotRun, t.Failed, 100*t.Goodput())
	}
	_ = table.Flush()
	fmt.Fprintf(w, "\nprefill: %d prompt tokens processed, %.1f%% wasted (%d for answers that did not arrive whole, %d held by another runner)\n\n",
		r.Prefill.Processed, 100*r.Prefill.Wasted(), r.Prefill.Lost, r.Prefill.Repeated)
	for _, v := range r.Promises {
		printVerdict(w, v)
	}
	if r.LostRequests > 0 {
		fmt.Fprintf(w, "%d requests ended without an answer or a refusal\n", r.LostRequests)
	}
	for _, f := range r.StopErrors {
		fmt.Fprintln(w, f)
	}
	conclusion := "every promise held"
	if !r.Held {
		conclusion = "NOT every promise held"
	}
	fmt.Fprintf(w, "\n%s (seed %d, %.1f s)\n", conclusion, r.Seed, r.Seconds)
}

// printVerdict writes one promise's result and its first violations.
func printVerdict(w io.Writer, v Verdict) {
	state := "held"
	if v.Events == 0 {
		state = "not tested"
	}
	if len(v.Violations) > 0 {
		state = "BROKEN"
	}
	fmt.Fprintf(w, "%-18s %-10s %d events, %d violations\n", v.Promise, state, v.Events, len(v.Violations))
	for i, line := range v.Violations {
		if i == maxPrintedViolations {
			break
		}
		fmt.Fprintf(w, "  %s\n", line)
	}
}
