package state

import (
	"encoding/json"
	"fmt"

	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/core/rollout"
)

// snapshot is the encoded form of the state. The first delta is a snapshot of
// the oldest kept version; each of the others leads to the next version.
type snapshot struct {
	Versions []config.Delta  `json:"versions"`
	Applied  []appliedChange `json:"applied"`
	Leases   []Lease         `json:"leases"`
	Claims   []*Claim        `json:"claims"`
	Suspects []Suspect       `json:"suspects"`
	Table    *Publish        `json:"table,omitempty"`
	Rollouts *rollout.Book   `json:"rollouts,omitempty"`
}

// Frozen is an immutable view of the state at one moment. It may be encoded
// while the machine applies further commands.
type Frozen struct {
	versions []version
	snapshot snapshot
}

// Freeze returns a view of the current state. It shares the claims with the
// machine instead of copying them.
func (m *Machine) Freeze() Frozen {
	f := Frozen{versions: append([]version{}, m.versions...)}
	f.snapshot.Applied = append(f.snapshot.Applied, m.applied...)
	for _, l := range m.leases {
		f.snapshot.Leases = append(f.snapshot.Leases, l)
	}
	for _, k := range m.claimOrder {
		f.snapshot.Claims = append(f.snapshot.Claims, m.claims[k])
	}
	f.snapshot.Suspects = m.Suspects()
	if m.table.Version > 0 {
		table := m.table
		f.snapshot.Table = &table
	}
	if len(m.rollouts.Records()) > 0 {
		f.snapshot.Rollouts = m.rollouts.Clone()
	}
	return f
}

// Encode returns the state as JSON, for Restore.
func (f Frozen) Encode() ([]byte, error) {
	before := config.Files{}
	for i, v := range f.versions {
		d := config.Diff(before, v.files)
		d.Version = v.number
		if i == 0 {
			d.FromDigest = ""
		}
		if i > 0 {
			d.From = f.versions[i-1].number
		}
		f.snapshot.Versions = append(f.snapshot.Versions, d)
		before = v.files
	}
	return json.Marshal(f.snapshot)
}

// Snapshot returns the current state as JSON, for Restore.
func (m *Machine) Snapshot() ([]byte, error) { return m.Freeze().Encode() }

// SnapshotError reports that a snapshot can't be decoded.
type SnapshotError struct {
	Cause error
}

// Error returns the cause and what to do about it.
func (e *SnapshotError) Error() string {
	return fmt.Sprintf("snapshot is not readable: %v; restore it from another replica or a backup", e.Cause)
}

// Unwrap returns the underlying error.
func (e *SnapshotError) Unwrap() error {
	return e.Cause
}

// Restore replaces the state with a snapshot's. It returns a SnapshotError and
// changes nothing if the snapshot can't be decoded.
func (m *Machine) Restore(data []byte) error {
	s := snapshot{}
	if err := json.Unmarshal(data, &s); err != nil {
		return &SnapshotError{Cause: err}
	}
	if len(s.Versions) == 0 {
		return &SnapshotError{Cause: fmt.Errorf("it holds no configuration version")}
	}
	restored := New()
	restored.versions = nil
	restored.applied = s.Applied
	if err := restored.restoreVersions(s.Versions); err != nil {
		return &SnapshotError{Cause: err}
	}
	for _, l := range s.Leases {
		restored.leases[l.Name] = l
	}
	for _, c := range s.Claims {
		if c == nil {
			return &SnapshotError{Cause: fmt.Errorf("it holds an empty claim")}
		}
		k := claimKey{workspace: c.Workspace, key: c.Key}
		if _, duplicate := restored.claims[k]; duplicate {
			return &SnapshotError{Cause: fmt.Errorf("it holds a claim twice")}
		}
		restored.claims[k] = c
		restored.claimOrder = append(restored.claimOrder, k)
		restored.claimBytes += c.sizeBytes()
		restored.answerBytes += int64(len(c.Body))
	}
	for _, x := range s.Suspects {
		restored.suspects[suspectKey{pool: x.Pool, fingerprint: x.Fingerprint}] = x
	}
	if s.Table != nil {
		restored.table = *s.Table
	}
	if s.Rollouts != nil {
		restored.rollouts = *s.Rollouts
	}
	*m = *restored
	return nil
}

func (m *Machine) restoreVersions(deltas []config.Delta) error {
	files := config.Files{}
	for _, d := range deltas {
		next, err := d.Apply(files)
		if err != nil {
			return err
		}
		files = shareUnchanged(files, next)
		m.versions = append(m.versions, version{number: d.Version, files: files, digest: d.Digest})
	}
	return nil
}
