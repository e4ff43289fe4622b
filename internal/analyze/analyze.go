// Package analyze tells from the logs of entries why requests were late, refused or failed, and how
// well the estimates of the broker were met. The command "verbenastep analyze" prints its report.
package analyze

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/verbenastep/verbenastep/internal/explain"
)

// Causes of what became of a request. Each request has one.
const (
	OnTime            = "on time"
	LateWaited        = "late: waited for an upstream"
	LateExpected      = "late: expected to be, at its upstream"
	LateUpstream      = "late: slower than expected"
	LatePause         = "late: pause between events"
	LateSecondAttempt = "late: second attempt"
	RefusedAlone      = "refused: entry without broker"
	RefusedShed       = "refused: rank is shed"
	RefusedFull       = "refused: would be too late"
	otherPrefix       = "ended: "
)

// Messages and reasons in the log lines of package forward.
const (
	messageGranted = "granted"
	messageEnded   = "request ended"
	outcomeAnswer  = "answered"
	outcomeLoaded  = "overloaded"
	reasonShed     = "all requests of its rank"
	byBroker       = "broker"
)

const millisecondsPerSecond = 1000

// line holds the fields of the two messages; decode turns all times into seconds.
type line struct {
	Route    string  `json:"route"`
	Pool     string  `json:"pool"`
	Upstream string  `json:"upstream"`
	By       string  `json:"by"`
	Rank     int     `json:"rank"`
	Outcome  string  `json:"outcome"`
	Reason   string  `json:"why"`
	Events   int     `json:"events"`
	Waited   float64 `json:"waited"`
	Expected float64 `json:"expected"`
	First    float64 `json:"first"`
	Pause    float64 `json:"longest_pause"`
	Took     float64 `json:"took"`
	Target   float64 `json:"target_ms"`
	MaxPause float64 `json:"max_pause_ms"`
}

// Group counts the requests of a route by cause.
type Group struct {
	Pool   string         `json:"pool"`
	Route  string         `json:"route"`
	Total  int            `json:"total"`
	Causes map[string]int `json:"causes"`
}

// Ratio is the actual over the expected time to the first event of requests that had one attempt:
// the values below which 10, 50, 90 and 99 in 100 lie.
type Ratio struct {
	Pool     string `json:"pool"`
	Rank     int    `json:"rank"`
	Upstream string `json:"upstream,omitempty"`
	Requests int    `json:"requests"`
	P10      float64
	P50      float64
	P90      float64
	P99      float64
}

// Second counts the requests that arrived in a second by cause.
type Second struct {
	At     time.Time      `json:"at"`
	Causes map[string]int `json:"causes"`
}

// Report is the analysis of the logs of any number of entries.
type Report struct {
	Groups    []Group  `json:"groups"`
	Ranks     []Ratio  `json:"ranks"`
	Upstreams []Ratio  `json:"upstreams"`
	Seconds   []Second `json:"seconds"`
}

type ratioKey struct {
	pool, upstream string
	rank           int
}

type groupKey struct{ pool, route string }

// Analyze reads the lines of entries. Other lines are ignored.
func Analyze(lines []explain.Line) (Report, error) {
	grants := map[string][]line{}
	groups := map[groupKey]*Group{}
	seconds := map[int64]*Second{}
	byRank, byUpstream := map[ratioKey][]float64{}, map[ratioKey][]float64{}
	for _, l := range lines {
		if l.Message != messageGranted && l.Message != messageEnded {
			continue
		}
		x, err := decode(l)
		if err != nil {
			return Report{}, err
		}
		if l.Message == messageGranted {
			grants[l.Request] = append(grants[l.Request], x)
			continue
		}
		granted := grants[l.Request]
		delete(grants, l.Request)
		cause := x.cause(granted)
		key := groupKey{x.Pool, x.Route}
		if groups[key] == nil {
			groups[key] = &Group{Pool: x.Pool, Route: x.Route, Causes: map[string]int{}}
		}
		groups[key].Total++
		groups[key].Causes[cause]++
		at := l.Time.Add(-time.Duration(x.Took * float64(time.Second))).Truncate(time.Second)
		if seconds[at.Unix()] == nil {
			seconds[at.Unix()] = &Second{At: at, Causes: map[string]int{}}
		}
		seconds[at.Unix()].Causes[cause]++
		if len(granted) == 1 && x.Outcome == outcomeAnswer && x.first() > 0 && granted[0].Expected > 0 {
			g := granted[0]
			ratio := (x.first() - x.Waited) / g.Expected
			byRank[ratioKey{pool: x.Pool, rank: g.Rank}] = append(byRank[ratioKey{pool: x.Pool, rank: g.Rank}], ratio)
			byUpstream[ratioKey{pool: x.Pool, upstream: g.Upstream}] = append(byUpstream[ratioKey{pool: x.Pool, upstream: g.Upstream}], ratio)
		}
	}
	r := Report{Ranks: ratios(byRank), Upstreams: ratios(byUpstream)}
	for _, g := range groups {
		r.Groups = append(r.Groups, *g)
	}
	slices.SortFunc(r.Groups, func(a, b Group) int {
		return cmp.Or(strings.Compare(a.Pool, b.Pool), strings.Compare(a.Route, b.Route))
	})
	for _, at := range slices.Sorted(maps.Keys(seconds)) {
		r.Seconds = append(r.Seconds, *seconds[at])
	}
	return r, nil
}

func decode(l explain.Line) (line, error) {
	x := line{}
	data, err := json.Marshal(l.Fields)
	if err != nil {
		return x, err
	}
	err = json.Unmarshal(data, &x)
	x.Target /= millisecondsPerSecond
	x.MaxPause /= millisecondsPerSecond
	return x, err
}

// first returns the time from the arrival to the first event, or to the answer of a call.
func (x *line) first() float64 {
	if x.Events == 0 {
		return x.Took
	}
	return x.First
}

// cause returns what became of a request, given its grants.
func (x *line) cause(granted []line) string {
	switch {
	case x.Outcome == outcomeLoaded && strings.Contains(x.Reason, reasonShed):
		return RefusedShed
	case x.Outcome == outcomeLoaded && x.By != byBroker:
		return RefusedAlone
	case x.Outcome == outcomeLoaded:
		return RefusedFull
	case x.Outcome != outcomeAnswer:
		return otherPrefix + x.Outcome
	case x.Target == 0 || x.first() <= x.Target && (x.MaxPause == 0 || x.Pause <= x.MaxPause):
		return OnTime
	case x.first() <= x.Target:
		return LatePause
	case len(granted) > 1:
		return LateSecondAttempt
	case x.Waited > x.Target/2:
		return LateWaited
	case len(granted) == 1 && x.Waited+granted[0].Expected > x.Target:
		return LateExpected
	}
	return LateUpstream
}

// ratios returns the quantiles of each list, by pool, rank and upstream.
func ratios(lists map[ratioKey][]float64) []Ratio {
	out := []Ratio{}
	for key, list := range lists {
		slices.Sort(list)
		at := func(part float64) float64 { return list[int(part*float64(len(list)-1))] }
		out = append(out, Ratio{Pool: key.pool, Rank: key.rank, Upstream: key.upstream, Requests: len(list), P10: at(.1), P50: at(.5), P90: at(.9), P99: at(.99)})
	}
	slices.SortFunc(out, func(a, b Ratio) int {
		return cmp.Or(strings.Compare(a.Pool, b.Pool), a.Rank-b.Rank, strings.Compare(a.Upstream, b.Upstream))
	})
	return out
}
