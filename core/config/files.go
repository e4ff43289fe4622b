package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
)

// Files maps the slash-separated path of each configuration file, relative to
// the configuration folder, to its content.
type Files map[string]json.RawMessage

// Digest returns "sha256:" and the hex SHA-256 over the sorted paths and the
// contents.
func (f Files) Digest() string {
	h := sha256.New()
	for _, p := range f.Paths() {
		sum := sha256.Sum256(f[p])
		fmt.Fprintf(h, "%d:%s:%x\n", len(p), p, sum)
	}
	return "sha256:" + hex.EncodeToString(h.Sum(nil))
}

// Paths returns the paths in sorted order.
func (f Files) Paths() []string {
	paths := make([]string, 0, len(f))
	for p := range f {
		paths = append(paths, p)
	}
	sort.Strings(paths)
	return paths
}

// Compact returns the files without insignificant white space, so that the
// digest does not depend on formatting. It returns Faults if any file is not
// valid JSON.
func (f Files) Compact() (Files, error) {
	out := Files{}
	faults := Faults{}
	for _, p := range f.Paths() {
		buf := bytes.Buffer{}
		if err := json.Compact(&buf, f[p]); err != nil {
			faults = append(faults, Fault{File: p, Path: "", Message: err.Error(), Remedy: "write the file as one JSON object"})
			continue
		}
		out[p] = buf.Bytes()
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return out, nil
}

// Fault is one error in the declared configuration.
type Fault struct {
	// File is the path of the file; empty if the fault concerns several files.
	File string `json:"file"`
	// Path is a JSON path such as "$.tiers[0].name".
	Path    string `json:"path"`
	Message string `json:"message"`
	// Remedy is what the operator can do about it.
	Remedy string `json:"remedy"`
}

// Error returns the fault on one line.
func (f Fault) Error() string {
	if f.File == "" {
		return fmt.Sprintf("%s: %s; %s", f.Path, f.Message, f.Remedy)
	}
	return fmt.Sprintf("%s: %s: %s; %s", f.File, f.Path, f.Message, f.Remedy)
}

// Faults lists all faults found by one check.
type Faults []Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}

// Merge combines the files into one configuration. Sections of the same name
// are concatenated in the order of the files' paths. It returns Faults for
// unknown fields, values of the wrong type and timeouts declared twice.
func Merge(files Files) (*Config, error) {
	merged := &Config{}
	faults := Faults{}
	for _, p := range files.Paths() {
		part := Config{}
		dec := json.NewDecoder(bytes.NewReader(files[p]))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&part); err != nil {
			faults = append(faults, Fault{File: p, Path: "$", Message: err.Error(), Remedy: "see the published JSON Schema"})
			continue
		}
		if part.Timeouts != nil && merged.Timeouts != nil {
			faults = append(faults, Fault{File: p, Path: "$.timeouts", Message: "timeouts are declared twice", Remedy: "keep them in one file"})
		}
		merged.appendSections(&part)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	merged.index = newWorkspaceIndex(merged)
	return merged, nil
}

func (c *Config) appendSections(part *Config) {
	c.Tiers = append(c.Tiers, part.Tiers...)
	c.Workspaces = append(c.Workspaces, part.Workspaces...)
	c.Regions = append(c.Regions, part.Regions...)
	c.Models = append(c.Models, part.Models...)
	c.Services = append(c.Services, part.Services...)
	c.Operators = append(c.Operators, part.Operators...)
	if part.Timeouts != nil {
		c.Timeouts = part.Timeouts
	}
}

// Delta is the change from one version of the files to a later one.
type Delta struct {
	// From and FromDigest identify the version that the delta applies to. A
	// From of zero with an empty digest makes the delta a snapshot.
	From       uint64 `json:"from"`
	FromDigest string `json:"from_digest"`
	Version    uint64 `json:"version"`
	Digest     string `json:"digest"`
	// Set holds the added and changed files.
	Set Files `json:"set,omitempty"`
	// Removed lists the paths that the new version no longer has.
	Removed []string `json:"removed,omitempty"`
}

// Diff returns the delta between two sets of files. The caller fills in From
// and Version.
func Diff(from, to Files) Delta {
	d := Delta{FromDigest: from.Digest(), Digest: to.Digest(), Set: Files{}}
	for _, p := range to.Paths() {
		if old, ok := from[p]; !ok || !bytes.Equal(old, to[p]) {
			d.Set[p] = to[p]
		}
	}
	for _, p := range from.Paths() {
		if _, ok := to[p]; !ok {
			d.Removed = append(d.Removed, p)
		}
	}
	return d
}

// DigestError reports that a delta does not apply to the given files, or does
// not result in the digest that it names.
type DigestError struct {
	Want, Got string
}

// Error returns both digests and what to do about it.
func (e *DigestError) Error() string {
	return fmt.Sprintf("configuration digest is %s, the delta names %s; ask for a snapshot", e.Got, e.Want)
}

// Apply returns the files that result from the delta and leaves from unchanged.
// It returns a DigestError if from or the result has another digest than the
// delta names.
func (d Delta) Apply(from Files) (Files, error) {
	snapshot := d.From == 0 && d.FromDigest == ""
	if snapshot {
		from = Files{}
	}
	if !snapshot && from.Digest() != d.FromDigest {
		return nil, &DigestError{Want: d.FromDigest, Got: from.Digest()}
	}
	out := Files{}
	for p, content := range from {
		out[p] = content
	}
	for _, p := range d.Removed {
		delete(out, p)
	}
	for p, content := range d.Set {
		out[p] = content
	}
	if out.Digest() != d.Digest {
		return nil, &DigestError{Want: d.Digest, Got: out.Digest()}
	}
	return out, nil
}
