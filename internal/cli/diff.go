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

// change is one value that differs between two configurations. Old is nil for an
// added value, New for a removed one.
type change struct {
	File string          `json:"file"`
	Path string          `json:"path"`
	Old  json.RawMessage `json:"old,omitempty"`
	New  json.RawMessage `json:"new,omitempty"`
}

// differenceError reports that a folder differs from the configuration in force.
type differenceError struct {
	changes []change
	version uint64
}

// Error returns the number of differences.
func (e *differenceError) Error() string {
	return fmt.Sprintf("%s from version %d", plural(len(e.changes), "difference"), e.version)
}

func (e *differenceError) detail() any { return e.changes }

func diffCommand() *Command {
	t := &operatorTarget{}
	return &Command{
		Name: "diff", Summary: "show what applying a folder would change; exit code 1 where anything would", Args: "FOLDER", Example: "verbenastep diff examples/karoo",
		Flags: t.registerFlags,
		Run: func(ctx context.Context, std IO, args []string) error {
			files, err := readValidFolder(args)
			if err != nil {
				return err
			}
			current, err := queryFirst(ctx, t, currentConfig)
			if err != nil {
				return err
			}
			changes := compareFiles(config.Files(current.Files), files)
			if std.JSON {
				err = printJSON(std.Out, changes)
			} else {
				printChanges(std.Out, changes)
			}
			if err == nil && len(changes) > 0 {
				err = &differenceError{changes: changes, version: current.Version}
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

// compareFiles returns the values that differ, ordered by file and path.
func compareFiles(from, to config.Files) []change {
	paths := slices.Concat(from.Paths(), to.Paths())
	slices.Sort(paths)
	out := []change{}
	for _, p := range slices.Compact(paths) {
		c := &fileComparison{file: p}
		c.compare("$", from[p], to[p])
		out = append(out, c.out...)
	}
	return out
}

// fileComparison collects the differences between two versions of a file.
type fileComparison struct {
	file string
	out  []change
}

// compare records the differences below path. It descends while both sides are
// objects or lists of named objects; a difference in nothing but their order is
// recorded for the path as a whole.
func (c *fileComparison) compare(path string, old, updated json.RawMessage) {
	if bytes.Equal(old, updated) {
		return
	}
	oldMembers, oldHasMembers := namedMembers(old)
	newMembers, newHasMembers := namedMembers(updated)
	if !oldHasMembers || !newHasMembers {
		c.out = append(c.out, change{File: c.file, Path: path, Old: old, New: updated})
		return
	}
	names := []string{}
	for n := range oldMembers {
		names = append(names, n)
	}
	for n := range newMembers {
		names = append(names, n)
	}
	slices.Sort(names)
	recorded := len(c.out)
	for _, n := range slices.Compact(names) {
		c.compare(path+n, oldMembers[n], newMembers[n])
	}
	if len(c.out) == recorded {
		c.out = append(c.out, change{File: c.file, Path: path + " (order)", Old: old, New: updated})
	}
}

// namedMembers returns the values of an object by ".field", or the items of a
// list of uniquely named objects by "[name]". It returns false for any other
// value.
func namedMembers(data json.RawMessage) (map[string]json.RawMessage, bool) {
	object := map[string]json.RawMessage{}
	if json.Unmarshal(data, &object) == nil && object != nil {
		return prefixFields(object), true
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

func prefixFields(object map[string]json.RawMessage) map[string]json.RawMessage {
	out := make(map[string]json.RawMessage, len(object))
	for k, v := range object {
		out["."+strings.TrimSpace(k)] = v
	}
	return out
}
