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

// Files maps a file's path below the configuration's folder, with slashes, to
// its content.
type Files map[string]json.RawMessage

// Digest identifies a set of files: SHA-256 over sorted paths and contents.
func (f Files) Digest() string {
	h := sha256.New()
	for _, p := range f.Paths() {
		sum := sha256.Sum256(f[p])
		fmt.Fprintf(h, "%d:%s:%x\n", len(p), p, sum)
	}
	return "sha256:" + hex.EncodeToString(h.Sum(nil))
}

// Paths returns the sorted paths.
func (f Files) Paths() []string {
	paths := make([]string, 0, len(f))
	for p := range f {
		paths = append(paths, p)
	}
	sort.Strings(paths)
	return paths
}

// Compact returns the files with insignificant space removed, so that the
// digest depends on content alone.
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

// Fault is one thing wrong with the declared configuration.
type Fault struct {
	// File is the file's path; empty where the fault lies between files.
	File string `json:"file"`
	// Path is a JSON path such as "$.tiers[0].name".
	Path    string `json:"path"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// Error gives the fault on one line.
func (f Fault) Error() string {
	if f.File == "" {
		return fmt.Sprintf("%s: %s; %s", f.Path, f.Message, f.Remedy)
	}
	return fmt.Sprintf("%s: %s: %s; %s", f.File, f.Path, f.Message, f.Remedy)
}

// Faults is every fault found in one check.
type Faults []Fault

// Error lists the faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}

// Merge joins the files into one configuration. Sections of the same name are
// appended in the order of the files' paths.
func Merge(files Files) (*Config, error) {
	whole := &Config{}
	faults := Faults{}
	for _, p := range files.Paths() {
		part := Config{}
		dec := json.NewDecoder(bytes.NewReader(files[p]))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&part); err != nil {
			faults = append(faults, Fault{File: p, Path: "$", Message: err.Error(), Remedy: "see the published JSON Schema"})
			continue
		}
		if part.Timeouts != nil && whole.Timeouts != nil {
			faults = append(faults, Fault{File: p, Path: "$.timeouts", Message: "timeouts are declared twice", Remedy: "keep them in one file"})
		}
		whole.add(&part)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	whole.index = newIndex(whole)
	return whole, nil
}

func (c *Config) add(part *Config) {
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

// Delta turns one version of the files into the next.
type Delta struct {
	// From and FromDigest name the version the delta applies to; a From of
	// zero with an empty digest makes the delta a snapshot.
	From       uint64 `json:"from"`
	FromDigest string `json:"from_digest"`
	Version    uint64 `json:"version"`
	Digest     string `json:"digest"`
	Set        Files  `json:"set,omitempty"`
	// Removed lists paths that the new version no longer has.
	Removed []string `json:"removed,omitempty"`
}

// Diff returns the delta's content between two sets of files; the caller fills
// in versions.
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

// DigestError says that a delta does not lead to the digest it names, or does
// not start from the files at hand.
type DigestError struct {
	Want, Got string
}

// Error names the remedy.
func (e *DigestError) Error() string {
	return fmt.Sprintf("configuration digest is %s, the delta names %s; ask for a snapshot", e.Got, e.Want)
}

// Apply returns the files after the delta; the receiver stays as it was.
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
