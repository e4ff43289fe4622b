package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
)

// Difference is one place where two sets of files differ.
type Difference struct {
	File string `json:"file"`
	// Path is a JSON path such as "$.tiers[0].name"; "$" is the whole file.
	Path string `json:"path"`
	// Yours and Theirs are the values; empty where one side has none.
	Yours  json.RawMessage `json:"yours,omitempty"`
	Theirs json.RawMessage `json:"theirs,omitempty"`
}

// Compare lists where two sets of files differ, the deepest paths, sorted, at
// most so many.
func Compare(yours, theirs Files, most int) []Difference {
	paths := append(yours.Paths(), theirs.Paths()...)
	slices.Sort(paths)
	c := comparison{most: most}
	for _, p := range slices.Compact(paths) {
		c.file = p
		c.compare("$", yours[p], theirs[p])
	}
	return c.found
}

type comparison struct {
	file  string
	most  int
	found []Difference
}

func (c *comparison) compare(path string, a, b json.RawMessage) {
	if len(c.found) >= c.most || bytes.Equal(a, b) {
		return
	}
	objectA, objectB := map[string]json.RawMessage(nil), map[string]json.RawMessage(nil)
	if json.Unmarshal(a, &objectA) == nil && json.Unmarshal(b, &objectB) == nil && objectA != nil && objectB != nil {
		c.objects(path, objectA, objectB)
		return
	}
	listA, listB := []json.RawMessage(nil), []json.RawMessage(nil)
	if json.Unmarshal(a, &listA) == nil && json.Unmarshal(b, &listB) == nil && listA != nil && listB != nil {
		c.lists(path, listA, listB)
		return
	}
	c.found = append(c.found, Difference{File: c.file, Path: path, Yours: a, Theirs: b})
}

func (c *comparison) objects(path string, a, b map[string]json.RawMessage) {
	keys := []string{}
	for k := range a {
		keys = append(keys, k)
	}
	for k := range b {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for _, k := range slices.Compact(keys) {
		c.compare(path+"."+k, a[k], b[k])
	}
}

func (c *comparison) lists(path string, a, b []json.RawMessage) {
	for i := range max(len(a), len(b)) {
		x, y := json.RawMessage(nil), json.RawMessage(nil)
		if i < len(a) {
			x = a[i]
		}
		if i < len(b) {
			y = b[i]
		}
		c.compare(fmt.Sprintf("%s[%d]", path, i), x, y)
	}
}
