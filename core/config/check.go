package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// CheckFiles merges the readable parts of the files and returns every fault
// that Check finds, each with the file and the JSON path where it occurs. Files
// that violate the schema are not reported; that is the schema validator's
// task.
func CheckFiles(files Files) Faults {
	merged := &Config{}
	elementOrigins := origins{}
	faults := Faults{}
	timeoutsFile := ""
	for _, p := range files.Paths() {
		part := Config{}
		// A value of the wrong type leaves its field empty; the other fields
		// are still decoded.
		_ = json.Unmarshal(files[p], &part)
		if part.Timeouts != nil && timeoutsFile != "" {
			faults = append(faults, Fault{File: p, Path: "$.timeouts", Message: fmt.Sprintf("timeouts are declared in %s too", timeoutsFile), Remedy: "keep them in one file"})
		}
		if part.Timeouts != nil {
			timeoutsFile = p
		}
		elementOrigins.record(p, &part)
		merged.appendSections(&part)
	}
	mergedFaults := Faults{}
	if errors.As(Check(merged), &mergedFaults) {
		for _, f := range mergedFaults {
			faults = append(faults, elementOrigins.locate(f))
		}
	}
	return faults
}

// origin is the file, and the index in that file's section, of an element of a
// merged section.
type origin struct {
	file  string
	index int
}

// origins maps each section to the origins of its merged elements, in order.
type origins map[string][]origin

func (o origins) record(file string, part *Config) {
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

// locate replaces a path in the merged configuration by the file and the path
// in that file. Faults that concern no list element are returned unchanged.
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

// Check validates what the schema of a single file can't: unique names,
// references between sections and value ranges. It returns all faults as
// Faults, or nil.
func Check(c *Config) error {
	k := &checker{}
	k.checkTiers(c)
	k.checkRegions(c)
	k.checkWorkspaces(c)
	k.checkModels(c)
	k.checkServices(c)
	k.checkOperators(c)
	if len(k.faults) > 0 {
		return k.faults
	}
	return nil
}

type checker struct {
	faults Faults
}

func (k *checker) addFault(remedy, path, format string, args ...any) {
	f := Fault{Path: path, Message: fmt.Sprintf(format, args...), Remedy: remedy}
	k.faults = append(k.faults, f)
}

func (k *checker) checkUniqueNames(section string, names []string) {
	seen := map[string]bool{}
	for i, n := range names {
		path := fmt.Sprintf("$.%s[%d].name", section, i)
		if n == "" {
			k.addFault("give it a name", path, "the name is empty")
		}
		if seen[n] {
			k.addFault("rename or remove one of them", path, "%q is declared twice", n)
		}
		seen[n] = true
	}
}

func mapNames[T any](items []T, name func(T) string) []string {
	out := make([]string, 0, len(items))
	for _, it := range items {
		out = append(out, name(it))
	}
	return out
}

func (k *checker) checkTiers(c *Config) {
	k.checkUniqueNames("tiers", mapNames(c.Tiers, func(t Tier) string { return t.Name }))
	if len(c.Tiers) == 0 {
		k.addFault("declare at least one tier", "$.tiers", "no tier is declared")
	}
	for i, t := range c.Tiers {
		if t.GoodputMS <= 0 {
			k.addFault("give milliseconds above zero", fmt.Sprintf("$.tiers[%d].goodput_ms", i), "the time is %d", t.GoodputMS)
		}
		k.checkLimits(fmt.Sprintf("$.tiers[%d].limits", i), t.Limits)
	}
}

func (k *checker) checkLimits(path string, l *Limits) {
	if l == nil {
		return
	}
	if l.RequestsPerMinute < 0 || l.Concurrency < 0 || l.TokensPerHour < 0 {
		k.addFault("give zero for no limit, or a number above it", path, "a limit is negative")
	}
}

func (k *checker) checkRegions(c *Config) {
	k.checkUniqueNames("regions", mapNames(c.Regions, func(r Region) string { return r.Name }))
	owner := map[string]string{}
	for i, r := range c.Regions {
		for j, dc := range r.DataCentres {
			path := fmt.Sprintf("$.regions[%d].data_centres[%d]", i, j)
			if other, ok := owner[dc]; ok {
				k.addFault("rename or remove one of them", path, "%q is declared in region %q too", dc, other)
			}
			owner[dc] = r.Name
		}
	}
}

func (k *checker) checkWorkspaces(c *Config) {
	k.checkUniqueNames("workspaces", mapNames(c.Workspaces, func(w Workspace) string { return w.Name }))
	regions := map[string]bool{}
	for _, r := range c.Regions {
		regions[r.Name] = true
	}
	owner := map[string]string{}
	for i, w := range c.Workspaces {
		path := fmt.Sprintf("$.workspaces[%d]", i)
		if _, ok := c.TierIndex(w.Tier); !ok {
			k.addFault("declare the tier or name another", path+".tier", "tier %q is not declared", w.Tier)
		}
		if !regions[w.HomeRegion] {
			k.addFault("declare the region or name another", path+".home_region", "region %q is not declared", w.HomeRegion)
		}
		if w.Weight < 0 {
			k.addFault("give a weight of 1 or more, or leave it out", path+".weight", "the weight is %d", w.Weight)
		}
		k.checkLimits(path+".limits", w.Limits)
		k.checkKeys(path+".keys", w.Name, w.Keys, owner)
	}
}

// checkKeys checks the format of key hashes and that no two owners share a key.
func (k *checker) checkKeys(path, name string, keys []string, owner map[string]string) {
	for i, key := range keys {
		at := fmt.Sprintf("%s[%d]", path, i)
		if !isKeyHash(key) {
			k.addFault(`write "sha256:" and the 64 hex digits of the key's SHA-256`, at, "the key's hash is malformed")
		}
		if other, ok := owner[key]; ok {
			k.addFault("give each its own key", at, "the key belongs to %q too", other)
		}
		owner[key] = name
	}
}

func (k *checker) checkModels(c *Config) {
	k.checkUniqueNames("models", mapNames(c.Models, func(m Model) string { return m.Name }))
	for i, m := range c.Models {
		if m.MaxTokens < 0 || m.BlockTokens < 0 {
			k.addFault("give tokens above zero, or leave it out", fmt.Sprintf("$.models[%d]", i), "a token count is negative")
		}
		if _, clash := c.Service(m.Name); clash {
			k.addFault("rename one of them", fmt.Sprintf("$.models[%d].name", i), "%q is a service too", m.Name)
		}
	}
}

func (k *checker) checkServices(c *Config) {
	k.checkUniqueNames("services", mapNames(c.Services, func(s Service) string { return s.Name }))
	for i, s := range c.Services {
		path := fmt.Sprintf("$.services[%d]", i)
		k.checkUniqueNames(fmt.Sprintf("services[%d].operations", i), mapNames(s.Operations, func(o Operation) string { return o.Name }))
		if len(s.Operations) == 0 {
			k.addFault("declare its operations", path+".operations", "service %q has no operation", s.Name)
		}
		for j, o := range s.Operations {
			if !strings.HasPrefix(o.Path, "/") {
				k.addFault(`start the path with "/"`, fmt.Sprintf("%s.operations[%d].path", path, j), "the path is %q", o.Path)
			}
		}
	}
}

func (k *checker) checkOperators(c *Config) {
	k.checkUniqueNames("operators", mapNames(c.Operators, func(o Operator) string { return o.Name }))
	owner := map[string]string{}
	for i, o := range c.Operators {
		k.checkKeys(fmt.Sprintf("$.operators[%d].keys", i), o.Name, o.Keys, owner)
	}
}
