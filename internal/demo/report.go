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

// Report is what happened in a run.
type Report struct {
	Seed    uint64  `json:"seed"`
	Seconds float64 `json:"seconds"`
	Tiers   []Tier  `json:"tiers"`
	Prefill Prefill `json:"prefill"`
	// Resumed counts streams picked up again over another connection.
	Resumed int `json:"resumed"`
	// Lost counts requests whose caller was left without answer or refusal.
	Lost     int       `json:"lost"`
	Killed   Step      `json:"killed"`
	Drained  Step      `json:"drained"`
	Promises []Verdict `json:"promises"`
	// Faults are what kept daemons from stopping gracefully.
	Faults []string `json:"faults,omitempty"`
	// Held says that every promise held, nothing was lost and all daemons
	// stopped gracefully.
	Held bool `json:"held"`
}

// Tier is what one tier's callers received. The columns after Offered add up
// to it.
type Tier struct {
	Name      string `json:"name"`
	GoodputMS int64  `json:"goodput_ms"`
	Offered   int    `json:"offered"`
	// InTime counts whole answers within the tier's time, Late those after it.
	InTime int `json:"in_time"`
	Late   int `json:"late"`
	// NotRun counts refusals that promise that the request did not run.
	NotRun int `json:"not_run"`
	// Failed counts requests that ended in another error.
	Failed int `json:"failed"`
}

// Goodput is the share of requests answered whole and in time.
func (t Tier) Goodput() float64 {
	if t.Offered == 0 {
		return 0
	}
	return float64(t.InTime) / float64(t.Offered)
}

// Prefill counts prompt tokens that runners processed.
type Prefill struct {
	Processed int `json:"processed"`
	// Lost went into answers that did not reach their caller whole, Repeated
	// were held by another live runner.
	Lost     int `json:"lost"`
	Repeated int `json:"repeated"`
}

// Wasted is the share of processed tokens that was wasted.
func (p Prefill) Wasted() float64 {
	if p.Processed == 0 {
		return 0
	}
	return float64(p.Lost+p.Repeated) / float64(p.Processed)
}

// Step is a fault or drain on the way, in seconds since the load began.
type Step struct {
	Name  string  `json:"name"`
	At    float64 `json:"at"`
	Until float64 `json:"until"`
}

// Verdict is the checker's on one promise.
type Verdict struct {
	Promise promise.Promise `json:"promise"`
	// Events counts the events that the promise is about; none means that
	// nothing was proved.
	Events int      `json:"events"`
	Broken []string `json:"broken,omitempty"`
}

// Held tells whether the promise was put to the test and held.
func (v Verdict) Held() bool { return v.Events > 0 && len(v.Broken) == 0 }

func (r *Report) failed(err error) {
	if err != nil {
		r.Faults = append(r.Faults, err.Error())
	}
}

// evidence names the events without which a promise was not put to the test.
var evidence = map[promise.Promise]promise.Kind{
	promise.DispatchOnce:    promise.Dispatch,
	promise.TierOrder:       promise.Grant,
	promise.OwnAnswer:       promise.Answer,
	promise.NotRun:          promise.Accept,
	promise.ExecuteOnce:     promise.Execute,
	promise.LeavingUpstream: promise.Leave,
	promise.Shutdown:        promise.Stopped,
	promise.Configuration:   promise.InForce,
}

// judge has the checker read the run.
func judge(events []promise.Event, opt promise.Options) []Verdict {
	count := map[promise.Kind]int{}
	for _, e := range events {
		count[e.Kind]++
	}
	broken := map[promise.Promise][]string{}
	for _, v := range promise.Check(events, opt) {
		broken[v.Promise] = append(broken[v.Promise], v.String())
	}
	out := []Verdict{}
	for _, p := range promise.Promises() {
		out = append(out, Verdict{Promise: p, Events: count[evidence[p]], Broken: broken[p]})
	}
	return out
}

// tally sums the outcomes up by tier.
func tally(c *config.Config, outcomes []outcome) []Tier {
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

func (t *Tier) add(o outcome) {
	t.Offered++
	switch {
	case o.whole && o.took <= time.Duration(t.GoodputMS)*time.Millisecond:
		t.InTime++
	case o.whole:
		t.Late++
	case o.failure.Ran == fault.NotRun:
		t.NotRun++
	default:
		t.Failed++
	}
}

// lost tells whether a caller was left without answer or refusal.
func (o outcome) lost() bool {
	return !o.whole && o.failure.Kind == client.ConnectionLost
}

// shownBroken is how many violations of one promise are printed.
const shownBroken = 3

// Print writes the report for people.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "%s killed after %.1f s; %s drained from %.1f s to %.1f s; %d streams resumed\n\n", r.Killed.Name, r.Killed.At, r.Drained.Name, r.Drained.At, r.Drained.Until, r.Resumed)
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tab, "tier\toffered\tin time\tlate\tnot run\tfailed\tgoodput\t")
	for _, t := range r.Tiers {
		fmt.Fprintf(tab, "%s\t%d\t%d\t%d\t%d\t%d\t%.1f%%\t\n", t.Name, t.Offered, t.InTime, t.Late, t.NotRun, t.Failed, 100*t.Goodput())
	}
	_ = tab.Flush()
	fmt.Fprintf(w, "\nprefill: %d prompt tokens processed, %.1f%% wasted (%d for answers that did not arrive whole, %d held by another runner)\n\n",
		r.Prefill.Processed, 100*r.Prefill.Wasted(), r.Prefill.Lost, r.Prefill.Repeated)
	for _, v := range r.Promises {
		printVerdict(w, v)
	}
	if r.Lost > 0 {
		fmt.Fprintf(w, "%d requests ended without an answer or a refusal\n", r.Lost)
	}
	for _, f := range r.Faults {
		fmt.Fprintln(w, f)
	}
	verdict := "every promise held"
	if !r.Held {
		verdict = "NOT every promise held"
	}
	fmt.Fprintf(w, "\n%s (seed %d, %.1f s)\n", verdict, r.Seed, r.Seconds)
}

func printVerdict(w io.Writer, v Verdict) {
	state := "held"
	if v.Events == 0 {
		state = "not tested"
	}
	if len(v.Broken) > 0 {
		state = "BROKEN"
	}
	fmt.Fprintf(w, "%-18s %-10s %d events, %d violations\n", v.Promise, state, v.Events, len(v.Broken))
	for i, line := range v.Broken {
		if i == shownBroken {
			break
		}
		fmt.Fprintf(w, "  %s\n", line)
	}
}
