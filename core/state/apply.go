package state

import "github.com/verbenastep/verbenastep/core/config"

// version is one accepted configuration.
type version struct {
	number uint64
	files  config.Files
	digest string
}

// appliedChange identifies an accepted configuration change, so that a resent
// one gets the same result.
type appliedChange struct {
	Number   uint64 `json:"number"`
	Base     uint64 `json:"base"`
	Operator string `json:"operator"`
	Digest   string `json:"digest"`
}

const (
	// maxVersions bounds the configuration versions kept for deltas.
	maxVersions = 128
	// maxAppliedChanges bounds the accepted changes kept to recognize resent
	// ones.
	maxAppliedChanges = 4096
	// maxDifferences bounds the differences listed in a conflict's result.
	maxDifferences = 50
)

// applyConfig accepts a change only if it is based on the current version. A
// resent change gets the result of its first application; a change without
// effect gets the current version.
func (m *Machine) applyConfig(a *Apply) Result {
	digest := a.Files.Digest()
	for _, v := range m.applied {
		if v.Base == a.Base && v.Digest == digest && v.Operator == a.Operator {
			return Result{Status: OK, Version: v.Number, Digest: v.Digest}
		}
	}
	current := m.current()
	if current.number != a.Base {
		return m.conflictResult(a, current)
	}
	if current.number > 0 && current.digest == digest {
		return Result{Status: OK, Version: current.number, Digest: current.digest}
	}
	next := version{number: current.number + 1, files: shareUnchanged(current.files, a.Files), digest: digest}
	m.versions = lastN(append(m.versions, next), maxVersions)
	m.applied = lastN(append(m.applied, appliedChange{Number: next.number, Base: a.Base, Operator: a.Operator, Digest: digest}), maxAppliedChanges)
	return Result{Status: OK, Version: next.number, Digest: next.digest}
}

func lastN[T any](list []T, limit int) []T {
	if len(list) <= limit {
		return list
	}
	return append([]T{}, list[len(list)-limit:]...)
}

// shareUnchanged returns the files of to, with the contents that equal those in
// from shared, so that a kept version takes memory only for changed files.
func shareUnchanged(from, to config.Files) config.Files {
	out := config.Files{}
	for p, content := range to {
		if old, ok := from[p]; ok && string(old) == string(content) {
			content = old
		}
		out[p] = content
	}
	return out
}

func (m *Machine) conflictResult(a *Apply, cur version) Result {
	r := Result{Status: Conflict, Version: cur.number, Digest: cur.digest}
	for _, v := range m.applied {
		if v.Number == a.Base+1 || v.Number == cur.number {
			r.Winner = v.Operator
			break
		}
	}
	r.Differences = config.Compare(a.Files, cur.files, maxDifferences)
	return r
}

// DeltaSince returns the delta from the version in force on a daemon to the
// current one, or a snapshot if that version is no longer kept or has another
// digest. It returns false if the daemon is up to date.
func (m *Machine) DeltaSince(number uint64, digest string) (config.Delta, bool) {
	cur := m.current()
	if number == cur.number && digest == cur.digest {
		return config.Delta{}, false
	}
	for _, v := range m.versions {
		if v.number == number && v.digest == digest {
			d := config.Diff(v.files, cur.files)
			d.From = v.number
			d.Version = cur.number
			return d, true
		}
	}
	return config.Delta{Version: cur.number, Digest: cur.digest, Set: cur.files}, true
}
