package state

import (
	"encoding/json"
	"fmt"

	"github.com/verbenastep/verbenastep/core/config"
)

// savedState is the snapshot's form. The first of the deltas is a snapshot of
// the oldest kept version; each other one leads to the next version.
type savedState struct {
	Versions []config.Delta `json:"versions"`
	Applied  []accepted     `json:"applied"`
	Leases   []Lease        `json:"leases"`
	Claims   []*Claim       `json:"claims"`
	Suspects []Suspect      `json:"suspects"`
	Table    *Publish       `json:"table,omitempty"`
}

// Frozen is the state at one moment. It may be encoded while the machine goes
// on.
type Frozen struct {
	versions []version
	saved    savedState
}

// Freeze returns the state as it is now; it copies no claim.
func (m *Machine) Freeze() Frozen {
	f := Frozen{versions: append([]version{}, m.versions...)}
	f.saved.Applied = append(f.saved.Applied, m.applied...)
	for _, l := range m.leases {
		f.saved.Leases = append(f.saved.Leases, l)
	}
	for _, k := range m.order {
		f.saved.Claims = append(f.saved.Claims, m.claims[k])
	}
	f.saved.Suspects = m.Suspects()
	if m.table.Version > 0 {
		table := m.table
		f.saved.Table = &table
	}
	return f
}

// Encode gives the snapshot's bytes.
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
		f.saved.Versions = append(f.saved.Versions, d)
		before = v.files
	}
	return json.Marshal(f.saved)
}

// Snapshot encodes the whole state.
func (m *Machine) Snapshot() ([]byte, error) { return m.Freeze().Encode() }

// SnapshotError says that a snapshot can't be decoded.
type SnapshotError struct {
	Cause error
}

// Error names the remedy.
func (e *SnapshotError) Error() string {
	return fmt.Sprintf("snapshot is not readable: %v; restore it from another replica or a backup", e.Cause)
}

// Unwrap returns the cause.
func (e *SnapshotError) Unwrap() error {
	return e.Cause
}

// Restore replaces the state by a snapshot's; on an error nothing changes.
func (m *Machine) Restore(data []byte) error {
	s := savedState{}
	if err := json.Unmarshal(data, &s); err != nil {
		return &SnapshotError{Cause: err}
	}
	if len(s.Versions) == 0 {
		return &SnapshotError{Cause: fmt.Errorf("it holds no configuration version")}
	}
	fresh := New()
	fresh.versions = nil
	fresh.applied = s.Applied
	if err := fresh.restoreVersions(s.Versions); err != nil {
		return &SnapshotError{Cause: err}
	}
	for _, l := range s.Leases {
		fresh.leases[l.Name] = l
	}
	for _, c := range s.Claims {
		if c == nil {
			return &SnapshotError{Cause: fmt.Errorf("it holds an empty claim")}
		}
		k := claimKey{workspace: c.Workspace, key: c.Key}
		if _, twice := fresh.claims[k]; twice {
			return &SnapshotError{Cause: fmt.Errorf("it holds a claim twice")}
		}
		fresh.claims[k] = c
		fresh.order = append(fresh.order, k)
		fresh.claimBytes += c.size()
		fresh.answerBytes += int64(len(c.Body))
	}
	for _, x := range s.Suspects {
		fresh.suspects[suspectKey{pool: x.Pool, fingerprint: x.Fingerprint}] = x
	}
	if s.Table != nil {
		fresh.table = *s.Table
	}
	*m = *fresh
	return nil
}

func (m *Machine) restoreVersions(deltas []config.Delta) error {
	files := config.Files{}
	for _, d := range deltas {
		next, err := d.Apply(files)
		if err != nil {
			return err
		}
		files = share(files, next)
		m.versions = append(m.versions, version{number: d.Version, files: files, digest: d.Digest})
	}
	return nil
}
