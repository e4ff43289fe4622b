package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// CheckFiles merges files as far as they can be read and reports every fault
// between sections, each with the file and the path in which it stands. Faults
// of a file's shape are the schema's matter and passed over.
func CheckFiles(files Files) Faults {
	whole := &Config{}
	from := origins{}
	faults := Faults{}
	timeouts := ""
	for _, p := range files.Paths() {
		part := Config{}
		// A value of the wrong type leaves its field empty and the rest whole.
		_ = json.Unmarshal(files[p], &part)
		if part.Timeouts != nil && timeouts != "" {
			faults = append(faults, Fault{File: p, Path: "$.timeouts", Message: fmt.Sprintf("timeouts are declared in %s too", timeouts), Remedy: "keep them in one file"})
		}
		if part.Timeouts != nil {
			timeouts = p
		}
		from.add(p, &part)
		whole.add(&part)
	}
	found := Faults{}
	if errors.As(Check(whole), &found) {
		for _, f := range found {
			faults = append(faults, from.locate(f))
		}
	}
	return faults
}

// origin is where an element of a merged section came from.
type origin struct {
	file  string
	index int
}

// origins holds the elements' origins by section.
type origins map[string][]origin

func (o origins) add(file string, part *Config) {
	sizes := []struct {
		section string
		size    int
	}{
		{"tiers", len(part.Tiers)},
		{"workspaces", len(part.Workspaces)},
		{"regions", len(part.Regions)},
		{"models", len(part.Models)},
		{"services", len(part.Services)},
		{"operators", len(part.Operators)},
	}
	for _, s := range sizes {
		for i := range s.size {
			o[s.section] = append(o[s.section], origin{file: file, index: i})
		}
	}
}

// locate turns a path in the merged whole into a file and the path in it.
func (o origins) locate(f Fault) Fault {
	section, rest, ok := strings.Cut(strings.TrimPrefix(f.Path, "$."), "[")
	number, rest, closed := strings.Cut(rest, "]")
	i, err := strconv.Atoi(number)
	if !ok || !closed || err != nil || i >= len(o[section]) {
		return f
	}
	at := o[section][i]
	f.File = at.file
	f.Path = fmt.Sprintf("$.%s[%d]%s", section, at.index, rest)
	return f
}

// Check reports every fault that lies between sections: duplicate names,
// dangling references, values out of range. The shape of each file is the
// schema's matter.
func Check(c *Config) error {
	k := &checker{}
	k.tiers(c)
	k.regions(c)
	k.workspaces(c)
	k.models(c)
	k.services(c)
	k.operators(c)
	if len(k.faults) > 0 {
		return k.faults
	}
	return nil
}

type checker struct {
	faults Faults
}

func (k *checker) add(remedy, path, format string, args ...any) {
	f := Fault{Path: path, Message: fmt.Sprintf(format, args...), Remedy: remedy}
	k.faults = append(k.faults, f)
}

func (k *checker) unique(section string, names []string) {
	seen := map[string]bool{}
	for i, n := range names {
		path := fmt.Sprintf("$.%s[%d].name", section, i)
		if n == "" {
			k.add("give it a name", path, "the name is empty")
		}
		if seen[n] {
			k.add("rename or remove one of them", path, "%q is declared twice", n)
		}
		seen[n] = true
	}
}

func names[T any](items []T, name func(T) string) []string {
	out := make([]string, 0, len(items))
	for _, it := range items {
		out = append(out, name(it))
	}
	return out
}

func (k *checker) tiers(c *Config) {
	k.unique("tiers", names(c.Tiers, func(t Tier) string { return t.Name }))
	if len(c.Tiers) == 0 {
		k.add("declare at least one tier", "$.tiers", "no tier is declared")
	}
	for i, t := range c.Tiers {
		if t.GoodputMS <= 0 {
			k.add("give milliseconds above zero", fmt.Sprintf("$.tiers[%d].goodput_ms", i), "the time is %d", t.GoodputMS)
		}
		k.limits(fmt.Sprintf("$.tiers[%d].limits", i), t.Limits)
	}
}

func (k *checker) limits(path string, l *Limits) {
	if l == nil {
		return
	}
	if l.RequestsPerMinute < 0 || l.Concurrency < 0 || l.TokensPerHour < 0 {
		k.add("give zero for no limit, or a number above it", path, "a limit is negative")
	}
}

func (k *checker) regions(c *Config) {
	k.unique("regions", names(c.Regions, func(r Region) string { return r.Name }))
	owner := map[string]string{}
	for i, r := range c.Regions {
		for j, dc := range r.DataCentres {
			path := fmt.Sprintf("$.regions[%d].data_centres[%d]", i, j)
			if other, ok := owner[dc]; ok {
				k.add("rename or remove one of them", path, "%q is declared in region %q too", dc, other)
			}
			owner[dc] = r.Name
		}
	}
}

func (k *checker) workspaces(c *Config) {
	k.unique("workspaces", names(c.Workspaces, func(w Workspace) string { return w.Name }))
	regions := map[string]bool{}
	for _, r := range c.Regions {
		regions[r.Name] = true
	}
	owner := map[string]string{}
	for i, w := range c.Workspaces {
		path := fmt.Sprintf("$.workspaces[%d]", i)
		if _, ok := c.TierIndex(w.Tier); !ok {
			k.add("declare the tier or name another", path+".tier", "tier %q is not declared", w.Tier)
		}
		if !regions[w.HomeRegion] {
			k.add("declare the region or name another", path+".home_region", "region %q is not declared", w.HomeRegion)
		}
		if w.Weight < 0 {
			k.add("give a weight of 1 or more, or leave it out", path+".weight", "the weight is %d", w.Weight)
		}
		k.limits(path+".limits", w.Limits)
		k.keys(path+".keys", w.Name, w.Keys, owner)
	}
}

// keys checks the form of hashed keys and that no two owners share one.
func (k *checker) keys(path, name string, keys []string, owner map[string]string) {
	for i, key := range keys {
		at := fmt.Sprintf("%s[%d]", path, i)
		if !validKeyHash(key) {
			k.add(`write "sha256:" and the 64 hex digits of the key's SHA-256`, at, "the key's hash is malformed")
		}
		if other, ok := owner[key]; ok {
			k.add("give each its own key", at, "the key belongs to %q too", other)
		}
		owner[key] = name
	}
}

func (k *checker) models(c *Config) {
	k.unique("models", names(c.Models, func(m Model) string { return m.Name }))
	for i, m := range c.Models {
		if m.MaxTokens < 0 || m.BlockTokens < 0 {
			k.add("give tokens above zero, or leave it out", fmt.Sprintf("$.models[%d]", i), "a token count is negative")
		}
		if _, clash := c.Service(m.Name); clash {
			k.add("rename one of them", fmt.Sprintf("$.models[%d].name", i), "%q is a service too", m.Name)
		}
	}
}

func (k *checker) services(c *Config) {
	k.unique("services", names(c.Services, func(s Service) string { return s.Name }))
	for i, s := range c.Services {
		path := fmt.Sprintf("$.services[%d]", i)
		k.unique(fmt.Sprintf("services[%d].operations", i), names(s.Operations, func(o Operation) string { return o.Name }))
		if len(s.Operations) == 0 {
			k.add("declare its operations", path+".operations", "service %q has no operation", s.Name)
		}
		for j, o := range s.Operations {
			if !strings.HasPrefix(o.Path, "/") {
				k.add(`start the path with "/"`, fmt.Sprintf("%s.operations[%d].path", path, j), "the path is %q", o.Path)
			}
		}
	}
}

func (k *checker) operators(c *Config) {
	k.unique("operators", names(c.Operators, func(o Operator) string { return o.Name }))
	owner := map[string]string{}
	for i, o := range c.Operators {
		k.keys(fmt.Sprintf("$.operators[%d].keys", i), o.Name, o.Keys, owner)
	}
}
