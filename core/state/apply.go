package state

import "github.com/verbenastep/verbenastep/core/config"

// version is one accepted configuration.
type version struct {
	number uint64
	files  config.Files
	digest string
}

// accepted is what a resent change is recognized by, and its answer.
type accepted struct {
	Number   uint64 `json:"number"`
	Base     uint64 `json:"base"`
	Operator string `json:"operator"`
	Digest   string `json:"digest"`
}

const (
	// keptVersions is how many versions are kept for deltas.
	keptVersions = 128
	// keptAccepted is how many accepted changes are kept for resent ones.
	keptAccepted = 4096
	// shownDifferences bounds the differences in a conflict's answer.
	shownDifferences = 50
)

// applyConfig accepts a change only on top of the current version. A resent
// change gets its first answer; one that changes nothing gets the current
// version.
func (m *Machine) applyConfig(a *Apply) Result {
	digest := a.Files.Digest()
	for _, v := range m.applied {
		if v.Base == a.Base && v.Digest == digest && v.Operator == a.Operator {
			return Result{Status: OK, Version: v.Number, Digest: v.Digest}
		}
	}
	cur := m.current()
	if cur.number != a.Base {
		return m.conflict(a, cur)
	}
	if cur.number > 0 && cur.digest == digest {
		return Result{Status: OK, Version: cur.number, Digest: cur.digest}
	}
	next := version{number: cur.number + 1, files: share(cur.files, a.Files), digest: digest}
	m.versions = keep(append(m.versions, next), keptVersions)
	m.applied = keep(append(m.applied, accepted{Number: next.number, Base: a.Base, Operator: a.Operator, Digest: digest}), keptAccepted)
	return Result{Status: OK, Version: next.number, Digest: next.digest}
}

func keep[T any](list []T, most int) []T {
	if len(list) <= most {
		return list
	}
	return append([]T{}, list[len(list)-most:]...)
}

// share takes unchanged files from the version before, so that kept versions
// cost only what changed.
func share(from, to config.Files) config.Files {
	out := config.Files{}
	for p, content := range to {
		if old, ok := from[p]; ok && string(old) == string(content) {
			content = old
		}
		out[p] = content
	}
	return out
}

func (m *Machine) conflict(a *Apply, cur version) Result {
	r := Result{Status: Conflict, Version: cur.number, Digest: cur.digest}
	for _, v := range m.applied {
		if v.Number == a.Base+1 || v.Number == cur.number {
			r.Winner = v.Operator
			break
		}
	}
	r.Differences = config.Compare(a.Files, cur.files, shownDifferences)
	return r
}

// DeltaSince returns the delta from a version that a daemon has in force to
// the current one, or a snapshot where that version is not kept or differs.
// It returns false where the daemon is up to date.
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
