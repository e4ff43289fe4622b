package routes

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Difference is a part of a table that differs from another version. Old is nil for an added part
// or field, New for a removed one.
type Difference struct {
	// At is the part of the table, such as "route r-1"; Field is empty for a whole part.
	At    string          `json:"at"`
	Field string          `json:"field,omitempty"`
	Old   json.RawMessage `json:"old,omitempty"`
	New   json.RawMessage `json:"new,omitempty"`
}

// String returns the difference in one line.
func (d Difference) String() string {
	at := d.At
	if d.Field != "" {
		at += " " + d.Field
	}
	switch {
	case d.Old == nil:
		return fmt.Sprintf("+ %s: %s", at, d.New)
	case d.New == nil:
		return fmt.Sprintf("- %s: %s", at, d.Old)
	}
	return fmt.Sprintf("~ %s: %s -> %s", at, d.Old, d.New)
}

// Compare returns what differs in a table from an earlier one, ordered by part and field. The
// order of routes, pools and workspaces is not compared: it has no effect.
func Compare(old, updated *Table) ([]Difference, error) {
	before, err := partsOf(old)
	if err != nil {
		return nil, err
	}
	after, err := partsOf(updated)
	if err != nil {
		return nil, err
	}
	out := []Difference{}
	for _, at := range sortedKeys(before, after) {
		was, is := before[at], after[at]
		if was == nil || is == nil {
			out = append(out, Difference{At: at, Old: whole(was), New: whole(is)})
			continue
		}
		for _, field := range sortedKeys(was, is) {
			if string(was[field]) != string(is[field]) {
				out = append(out, Difference{At: at, Field: field, Old: was[field], New: is[field]})
			}
		}
	}
	return out, nil
}

// part holds the fields of a part of a table.
type part map[string]json.RawMessage

// whole returns a part as JSON, nil for none.
func whole(p part) json.RawMessage {
	if p == nil {
		return nil
	}
	data, _ := json.Marshal(p)
	return data
}

func sortedKeys[V any](a, b map[string]V) []string {
	return slices.Compact(slices.SortedFunc(maps.Keys(union(a, b)), cmp.Compare[string]))
}

func union[V any](a, b map[string]V) map[string]V {
	out := maps.Clone(a)
	maps.Copy(out, b)
	return out
}

// partsOf returns the parts of a table by their names.
func partsOf(t *Table) (map[string]part, error) {
	out := map[string]part{}
	err := error(nil)
	add := func(at string, value any) {
		p, encodeErr := fields(value)
		if encodeErr != nil {
			err = encodeErr
		}
		out[at] = p
	}
	add("table", struct {
		Version uint64 `json:"version"`
	}{t.Version})
	add("limits", t.Limits)
	for _, r := range t.Routes {
		add("route "+r.Name, r)
	}
	for _, p := range t.Pools {
		add("pool "+p.Name, p)
	}
	for _, w := range t.Workspaces {
		add("workspace "+w.Name, w)
	}
	return out, err
}

func fields(value any) (part, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	p := part{}
	return p, json.Unmarshal(data, &p)
}
