package routes

import (
	"fmt"
	"strings"
)

// Severity says what a finding means for the table.
type Severity string

// Severities of findings.
const (
	// Invalid findings are faults: the control daemons reject the table.
	Invalid Severity = "fault"
	// Warning findings are accepted, but probably not meant.
	Warning Severity = "warning"
)

// maxUsefulAttempts is how many upstreams a request may run on before each further one is more
// likely to add load than to help.
const maxUsefulAttempts = 5

// Finding is a fault of a table, or something in it that is probably not meant.
type Finding struct {
	Severity Severity `json:"severity"`
	Fault
}

// String returns the finding with its remedy in one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: %s; %s", f.Severity, f.At, f.Message, f.Remedy)
}

// reviewer collects the findings of a table.
type reviewer struct {
	table    *Table
	findings []Finding
}

func (v *reviewer) warn(at, remedy, format string, args ...any) {
	v.findings = append(v.findings, Finding{Severity: Warning, Fault: Fault{At: at, Message: fmt.Sprintf(format, args...), Remedy: remedy}})
}

// Review returns the faults of a table, as Check finds them, followed by warnings in the order of
// the table. The result is empty if there are none.
func Review(t *Table) []Finding {
	v := &reviewer{table: t, findings: []Finding{}}
	if e, ok := t.Check().(*ValidationError); ok {
		for _, f := range e.Faults {
			v.findings = append(v.findings, Finding{Severity: Invalid, Fault: f})
		}
	}
	for i := range t.Routes {
		v.reviewMatch(&t.Routes[i])
		v.reviewTimes(&t.Routes[i])
		v.reviewAttempts(&t.Routes[i])
	}
	v.reviewPools()
	v.reviewWorkspaces()
	v.reviewLimits()
	return v.findings
}

// reviewMatch reports a route that no request, or hardly any, can match.
func (v *reviewer) reviewMatch(r *Route) {
	at := "route " + r.Name
	switch {
	case strings.Contains(r.Host, ":"):
		v.warn(at, "give the host without a port", "no request matches host %q: the port of a request is not compared", r.Host)
	case strings.ContainsAny(r.Host, "/ *"):
		v.warn(at, "give one host name; patterns and URLs are not supported", "no request matches host %q", r.Host)
	case r.Host != strings.ToLower(r.Host):
		v.warn(at, "write the host in lower case, as clients send it", "host %q only matches requests that write it the same way", r.Host)
	}
	if strings.ContainsAny(r.Prefix, "?# ") {
		v.warn(at, "give a prefix of the path only", "no request matches prefix %q: paths have no query, fragment or space", r.Prefix)
	}
	for i := range v.table.Routes {
		other := &v.table.Routes[i]
		if other == r {
			return
		}
		if strings.EqualFold(other.Host, r.Host) && other.Host != r.Host && other.Prefix == r.Prefix {
			v.warn(at, "keep one of the two", "host and prefix differ from those of route %s only in upper and lower case", other.Name)
		}
		if other.Host == r.Host && other.Prefix == r.Prefix {
			v.warn(at, "drop one of the two", "the route never matches: route %s comes first with the same host and prefix", other.Name)
		}
	}
}

// reviewTimes reports times of a route that contradict each other.
func (v *reviewer) reviewTimes(r *Route) {
	at := "route " + r.Name
	switch {
	case r.LatencyTargetMS <= 0:
		v.warn(at, "give aim_ms above zero", "without a latency target every request counts as late")
	case r.TimeoutMS > 0 && r.TimeoutMS < r.LatencyTargetMS:
		v.warn(at, "raise timeout_ms or lower aim_ms", "the timeout of %d ms ends requests before their latency target of %d ms", r.TimeoutMS, r.LatencyTargetMS)
	}
	switch {
	case r.GapMS > 0 && r.Kind != Stream:
		v.warn(at, "drop gap_ms", "gap_ms has no effect on a route of kind %q", r.Kind)
	case r.TimeoutMS > 0 && r.GapMS > r.TimeoutMS:
		v.warn(at, "lower gap_ms", "the longest pause of %d ms exceeds the timeout of %d ms", r.GapMS, r.TimeoutMS)
	}
	if r.Resumable && r.Kind != Stream {
		v.warn(at, "drop resumable", "resumable has no effect on a route of kind %q", r.Kind)
	}
}

// reviewAttempts reports a number of attempts that makes no sense for the kind of route.
func (v *reviewer) reviewAttempts(r *Route) {
	at := "route " + r.Name
	switch {
	case r.MaxAttempts < 1:
		v.warn(at, "give attempts of 1 or more", "%d attempts count as 1", r.MaxAttempts)
	case !r.Repeatable() && r.MaxAttempts > 1:
		v.warn(at, "give attempts of 1, or make the route idempotent or resumable", "a request of kind %q that may have run is never run again; %d attempts have no effect", r.Kind, r.MaxAttempts)
	case r.MaxAttempts > maxUsefulAttempts:
		v.warn(at, fmt.Sprintf("give at most %d attempts", maxUsefulAttempts), "%d attempts multiply the load while upstreams fail", r.MaxAttempts)
	}
}

// reviewPools reports pools without requests, and engines that can't run any.
func (v *reviewer) reviewPools() {
	used := map[string]bool{}
	for i := range v.table.Routes {
		for _, t := range v.table.Routes[i].Targets {
			used[t.Pool] = used[t.Pool] || t.Weight > 0
		}
	}
	for i := range v.table.Pools {
		p := &v.table.Pools[i]
		at := "pool " + p.Name
		if !used[p.Name] {
			v.warn(at, "give a route a target with this pool and a weight above zero, or drop the pool", "no route uses the pool")
		}
		if p.MaxConnections < 0 {
			v.warn(at, "give connections of zero or more", "the limit of connections is %d", p.MaxConnections)
		}
		if p.Engine == nil {
			continue
		}
		if p.Engine.Slots <= 0 {
			v.warn(at, "give the engine's slots", "the engine has %d slots", p.Engine.Slots)
		}
		if p.Engine.MemoryTokens <= 0 {
			v.warn(at, "give the engine's memory_tokens", "without memory_tokens an engine may be given more than it can hold")
		}
	}
}

// reviewWorkspaces reports workspaces that can send nothing, and quotas that contradict their
// requests.
func (v *reviewer) reviewWorkspaces() {
	hasPublic := false
	for i := range v.table.Routes {
		hasPublic = hasPublic || v.table.Routes[i].Public
	}
	for i := range v.table.Workspaces {
		w := &v.table.Workspaces[i]
		at := "workspace " + w.Name
		if len(w.Keys) == 0 {
			reason := "the workspace has no keys, so that no request belongs to it"
			if !hasPublic {
				reason = "the workspace has no keys and no route is public, so that it can send nothing"
			}
			v.warn(at, "give the workspace a key, or drop it", "%s", reason)
		}
		v.reviewQuota(at, w)
	}
}

func (v *reviewer) reviewQuota(at string, w *Workspace) {
	switch {
	case w.TokensPerSecond < 0 || w.TokenBurst < 0 || w.DefaultTokens < 0:
		v.warn(at, "give numbers of zero or more", "rate, burst or plain_tokens is below zero")
	case w.TokensPerSecond == 0 && w.TokenBurst > 0:
		v.warn(at, "give tokens_per_second, or drop token_burst", "without a rate the burst of %d tokens has no effect", w.TokenBurst)
	case w.TokensPerSecond > 0 && w.TokenBurst == 0:
		v.warn(at, "give token_burst the size of the largest request at least", "with a rate and no burst requests are refused for their quota")
	case w.TokensPerSecond > 0 && w.TokenBurst < w.DefaultTokens:
		v.warn(at, "raise token_burst to plain_tokens at least", "the burst of %d tokens is below the %d that a request without counts is charged", w.TokenBurst, w.DefaultTokens)
	case w.TokensPerSecond > 0 && w.TokenBurst < v.largestRequest():
		v.warn(at, "raise token_burst to the size of the largest request, or lower body_bytes", "the burst of %d tokens is below the %d of a prompt that fills the body limit", w.TokenBurst, v.largestRequest())
	}
}

// bytesPerToken is the usual size of a token in a prompt.
const bytesPerToken = 4

// largestRequest returns the tokens of the largest prompt that any engine of the table can run
// and the body limit admits; zero if there is no such limit.
func (v *reviewer) largestRequest() int64 {
	memory := int64(0)
	for i := range v.table.Pools {
		if e := v.table.Pools[i].Engine; e != nil {
			memory = max(memory, e.MemoryTokens)
		}
	}
	return min(memory, max(0, v.table.Limits.BodyBytes)/bytesPerToken)
}

// reviewLimits reports limits of callers' requests that are missing or unusable.
func (v *reviewer) reviewLimits() {
	for _, l := range []struct {
		name  string
		value int64
	}{
		{"body_bytes", v.table.Limits.BodyBytes},
		{"header_bytes", int64(v.table.Limits.HeaderBytes)},
		{"header_ms", v.table.Limits.HeaderMS},
		{"idle_ms", v.table.Limits.IdleMS},
	} {
		if l.value <= 0 {
			v.warn("limits", "give "+l.name+" above zero", "%s is %d, for which the daemons' default applies", l.name, l.value)
		}
	}
}
