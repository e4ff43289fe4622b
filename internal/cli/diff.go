package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/verbenastep/verbenastep/api/client"
	"github.com/verbenastep/verbenastep/api/operator"
	"github.com/verbenastep/verbenastep/core/config"
)

// change is one value that differs. A missing side is nil.
type change struct {
	File string          `json:"file"`
	Path string          `json:"path"`
	Old  json.RawMessage `json:"old,omitempty"`
	New  json.RawMessage `json:"new,omitempty"`
}

// differentError says that a folder differs from what is in force.
type differentError struct {
	changes []change
	version uint64
}

// Error counts the changes.
func (e *differentError) Error() string {
	return fmt.Sprintf("%s from version %d", plural(len(e.changes), "difference"), e.version)
}

func (e *differentError) detail() any { return e.changes }

func diffCommand() *Command {
	t := &target{}
	return &Command{
		Name: "diff", Summary: "show what applying a folder would change; exit code 1 where anything would", Args: "FOLDER", Example: "verbenastep diff examples/karoo",
		Flags: t.flags,
		Run: func(ctx context.Context, std IO, args []string) error {
			files, err := checkedFolder(args)
			if err != nil {
				return err
			}
			current, err := ask(ctx, t, currentConfig)
			if err != nil {
				return err
			}
			changes := compare(config.Files(current.Files), files)
			if std.JSON {
				err = printJSON(std.Out, changes)
			} else {
				printChanges(std.Out, changes)
			}
			if err == nil && len(changes) > 0 {
				err = &differentError{changes: changes, version: current.Version}
			}
			return err
		},
	}
}

func currentConfig(ctx context.Context, o *client.Operator) (operator.Config, error) {
	return o.Config(ctx)
}

func printChanges(w io.Writer, changes []change) {
	for _, c := range changes {
		switch {
		case c.Old == nil:
			fmt.Fprintf(w, "+ %s %s: %s\n", c.File, c.Path, c.New)
		case c.New == nil:
			fmt.Fprintf(w, "- %s %s: %s\n", c.File, c.Path, c.Old)
		default:
			fmt.Fprintf(w, "~ %s %s: %s -> %s\n", c.File, c.Path, c.Old, c.New)
		}
	}
}

// compare lists the values that differ, by file and path.
func compare(from, to config.Files) []change {
	paths := slices.Concat(from.Paths(), to.Paths())
	slices.Sort(paths)
	out := []change{}
	for _, p := range slices.Compact(paths) {
		w := &walk{file: p}
		w.compare("$", from[p], to[p])
		out = append(out, w.out...)
	}
	return out
}

// walk compares two documents of one file.
type walk struct {
	file string
	out  []change
}

// compare descends as long as both sides are objects, or lists of named ones.
func (w *walk) compare(path string, old, now json.RawMessage) {
	if bytes.Equal(old, now) {
		return
	}
	a, isA := members(old)
	b, isB := members(now)
	if !isA || !isB {
		w.out = append(w.out, change{File: w.file, Path: path, Old: old, New: now})
		return
	}
	names := []string{}
	for n := range a {
		names = append(names, n)
	}
	for n := range b {
		names = append(names, n)
	}
	slices.Sort(names)
	before := len(w.out)
	for _, n := range slices.Compact(names) {
		w.compare(path+n, a[n], b[n])
	}
	if len(w.out) == before {
		w.out = append(w.out, change{File: w.file, Path: path + " (order)", Old: old, New: now})
	}
}

// members returns an object's values under ".field", or those of a list of
// named objects under "[name]".
func members(data json.RawMessage) (map[string]json.RawMessage, bool) {
	object := map[string]json.RawMessage{}
	if json.Unmarshal(data, &object) == nil && object != nil {
		return prefixed(object), true
	}
	items := []json.RawMessage{}
	if json.Unmarshal(data, &items) != nil {
		return nil, false
	}
	out := map[string]json.RawMessage{}
	for _, item := range items {
		named := struct {
			Name string `json:"name"`
		}{}
		if json.Unmarshal(item, &named) != nil || named.Name == "" {
			return nil, false
		}
		out["["+named.Name+"]"] = item
	}
	return out, len(out) == len(items)
}

func prefixed(object map[string]json.RawMessage) map[string]json.RawMessage {
	out := make(map[string]json.RawMessage, len(object))
	for k, v := range object {
		out["."+strings.TrimSpace(k)] = v
	}
	return out
}
