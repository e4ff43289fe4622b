package schema

import (
	"cmp"
	"slices"
	"strings"

	"github.com/verbenastep/verbenastep/core/config"
)

// CheckFiles validates a whole configuration: each file against the schema, and
// the sections against each other. Its error is a config.Faults, ordered by file
// and path. The command line and the daemon both use it.
func CheckFiles(files config.Files) error {
	faults := config.Faults{}
	malformed := map[string][]string{}
	for _, file := range files.Paths() {
		for _, f := range Check(Configuration, files[file]) {
			faults = append(faults, config.Fault{File: file, Path: f.Path, Message: f.Message, Remedy: f.Remedy})
			malformed[file] = append(malformed[file], f.Path)
		}
	}
	for _, f := range config.CheckFiles(files) {
		if !Covers(malformed[f.File], f.Path) {
			faults = append(faults, f)
		}
	}
	if len(faults) == 0 {
		return nil
	}
	slices.SortStableFunc(faults, func(a, b config.Fault) int {
		return cmp.Or(strings.Compare(a.File, b.File), strings.Compare(a.Path, b.Path))
	})
	return faults
}
