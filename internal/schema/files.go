package schema

import (
	"cmp"
	"slices"
	"strings"

	"github.com/verbenastep/verbenastep/core/config"
)

// CheckFiles reports every fault of a whole configuration: those of each
// file's shape and those between sections. Its error is config.Faults, in the
// order of files and paths. The command and the daemon both use it.
func CheckFiles(files config.Files) error {
	faults := config.Faults{}
	shape := map[string][]string{}
	for _, file := range files.Paths() {
		for _, f := range Check(Configuration, files[file]) {
			faults = append(faults, config.Fault{File: file, Path: f.Path, Message: f.Message, Remedy: f.Remedy})
			shape[file] = append(shape[file], f.Path)
		}
	}
	for _, f := range config.CheckFiles(files) {
		if !Covers(shape[f.File], f.Path) {
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
