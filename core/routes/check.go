package routes

import (
	"fmt"
	"strings"
)

// Fault is one violation of the rules for tables.
type Fault struct {
	// At is the part of the table, such as "route r-1".
	At      string `json:"at"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// ValidationError lists all faults of a table.
type ValidationError struct {
	Faults []Fault `json:"faults"`
}

// Error returns all faults with their remedies in one line.
func (e *ValidationError) Error() string {
	out := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		out = append(out, fmt.Sprintf("%s: %s; %s", f.At, f.Message, f.Remedy))
	}
	return strings.Join(out, ". ")
}

// Check validates the table. It returns nil, or a *ValidationError that lists
// all faults.
func (t *Table) Check() error {
	e := &ValidationError{}
	add := func(at, remedy, format string, args ...any) {
		e.Faults = append(e.Faults, Fault{At: at, Message: fmt.Sprintf(format, args...), Remedy: remedy})
	}
	if t.Version == 0 {
		add("table", "number versions from 1", "the version is 0 or missing")
	}
	pools := map[string]bool{}
	for _, p := range t.Pools {
		if p.Name == "" || pools[p.Name] {
			add("pool "+p.Name, "give each pool a name of its own", "the name is empty or taken")
		}
		pools[p.Name] = true
	}
	seen := map[string]string{}
	for i := range t.Routes {
		r := &t.Routes[i]
		at := "route " + r.Name
		hostAndPrefix := r.Host + "\x00" + r.Prefix
		if other, ok := seen[hostAndPrefix]; ok {
			add(at, "drop one of the two", "host and prefix are those of route %s", other)
		}
		seen[hostAndPrefix] = r.Name
		r.check(func(remedy, format string, args ...any) { add(at, remedy, format, args...) }, pools)
	}
	keys := map[string]string{}
	for _, w := range t.Workspaces {
		for _, k := range w.Keys {
			if other, ok := keys[k]; ok && other != w.Name {
				add("workspace "+w.Name, "give each workspace keys of its own", "a key is that of workspace %s", other)
			}
			keys[k] = w.Name
		}
	}
	if len(e.Faults) > 0 {
		return e
	}
	return nil
}

func (r *Route) check(add func(remedy, format string, args ...any), pools map[string]bool) {
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		add("give a host, and a prefix between slashes", "host %q or prefix %q is not usable", r.Host, r.Prefix)
	}
	switch r.Kind {
	case Idempotent, AtMostOnce, Stream:
	default:
		add("use idempotent, once or stream", "the kind %q is not known", r.Kind)
	}
	if r.TimeoutMS <= 0 {
		add("give a time above zero", "the timeout is %d ms", r.TimeoutMS)
	}
	total := int64(0)
	for _, t := range r.Targets {
		if !pools[t.Pool] {
			add("declare the pool, or name another", "the pool %q is not declared", t.Pool)
		}
		if t.Weight < 0 {
			add("give weights of zero or more", "the weight of %q is %d", t.Pool, t.Weight)
		}
		total += max(0, t.Weight)
	}
	if total == 0 {
		add("give a target a weight above zero", "the weights add up to zero")
	}
}
