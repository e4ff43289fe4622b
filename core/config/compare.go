package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
)

// Difference is one JSON value that differs between two sets of files.
type Difference struct {
	File string `json:"file"`
	// Path is a JSON path such as "$.tiers[0].name"; "$" is the whole file.
	Path string `json:"path"`
	// Yours and Theirs are the values; empty if one side has none.
	Yours  json.RawMessage `json:"yours,omitempty"`
	Theirs json.RawMessage `json:"theirs,omitempty"`
}

// Compare returns the differences between two sets of files, each at the
// deepest differing path, sorted by file and path, and at most limit of them.
func Compare(yours, theirs Files, limit int) []Difference {
	paths := append(yours.Paths(), theirs.Paths()...)
	slices.Sort(paths)
	c := comparer{limit: limit}
	for _, p := range slices.Compact(paths) {
		c.file = p
		c.compare("$", yours[p], theirs[p])
	}
	return c.differences
}

type comparer struct {
	file        string
	limit       int
	differences []Difference
}

func (c *comparer) compare(path string, a, b json.RawMessage) {
	if len(c.differences) >= c.limit || bytes.Equal(a, b) {
		return
	}
	objectA, objectB := map[string]json.RawMessage(nil), map[string]json.RawMessage(nil)
	if json.Unmarshal(a, &objectA) == nil && json.Unmarshal(b, &objectB) == nil && objectA != nil && objectB != nil {
		c.compareObjects(path, objectA, objectB)
		return
	}
	listA, listB := []json.RawMessage(nil), []json.RawMessage(nil)
	if json.Unmarshal(a, &listA) == nil && json.Unmarshal(b, &listB) == nil && listA != nil && listB != nil {
		c.compareLists(path, listA, listB)
		return
	}
	c.differences = append(c.differences, Difference{File: c.file, Path: path, Yours: a, Theirs: b})
}

func (c *comparer) compareObjects(path string, a, b map[string]json.RawMessage) {
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

func (c *comparer) compareLists(path string, a, b []json.RawMessage) {
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
