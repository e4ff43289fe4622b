// Package settings reads and checks one daemon's settings file.
package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/verbenastep/verbenastep/internal/schema"
)

// Role is what a daemon does besides serving callers.
type Role string

// Replica keeps the durable state on disk.
const Replica Role = "replica"

// Settings are one daemon's.
type Settings struct {
	// Name is unique among the daemons.
	Name       string    `json:"name"`
	Region     string    `json:"region"`
	DataCentre string    `json:"data_centre"`
	Addresses  Addresses `json:"addresses"`
	Roles      []Role    `json:"roles,omitempty"`
	// DataFolder is where a replica keeps its files.
	DataFolder string `json:"data_folder,omitempty"`
	// Replicas lists the daemons that hold the durable state.
	Replicas []Peer `json:"replicas,omitempty"`
	// Seeds are peer addresses of daemons to join through.
	Seeds []string `json:"seeds,omitempty"`
	// OperatorKeys are hashes of keys that may apply configuration even before
	// any is accepted; each "sha256:" and 64 hex digits.
	OperatorKeys []string `json:"operator_keys,omitempty"`
	// UpstreamKeys are hashes of keys that upstreams present.
	UpstreamKeys []string `json:"upstream_keys,omitempty"`
	// PeerKeyFile holds the secret that the daemons share.
	PeerKeyFile string `json:"peer_key_file,omitempty"`
	Limits      Limits `json:"limits,omitempty"`
	TLS         TLS    `json:"tls,omitempty"`
	Log         Log    `json:"log,omitempty"`
	// Routing is set where the daemon serves a published route table.
	Routing *Routing `json:"routing,omitempty"`

	seeds *seedList
}

// Peer is another daemon.
type Peer struct {
	Name string `json:"name"`
	// Address is its peers' address.
	Address string `json:"address"`
}

// Addresses are where the daemon listens, each IP:port.
type Addresses struct {
	// Callers is for requests.
	Callers string `json:"callers,omitempty"`
	// Peers is for other daemons.
	Peers string `json:"peers"`
	// Upstreams is for announcements.
	Upstreams string `json:"upstreams,omitempty"`
	// Admin is for metrics, state dumps and operators.
	Admin string `json:"admin,omitempty"`
}

// Limits bound what callers may send.
type Limits struct {
	// BodyBytes is the largest body; zero means DefaultBodyBytes.
	BodyBytes int64 `json:"body_bytes,omitempty"`
	// HeaderBytes is the largest header; zero means DefaultHeaderBytes.
	HeaderBytes int `json:"header_bytes,omitempty"`
	// Connections is the most callers' connections; zero means DefaultConnections.
	Connections int `json:"connections,omitempty"`
}

// Defaults for Limits.
const (
	DefaultBodyBytes   = 8 << 20
	DefaultHeaderBytes = 16 << 10
	DefaultConnections = 10_000
)

// TLS names the files for mutual TLS between daemons; none means plain TCP.
type TLS struct {
	CertFile string `json:"cert_file,omitempty"`
	KeyFile  string `json:"key_file,omitempty"`
	CAFile   string `json:"ca_file,omitempty"`
}

// Log steers the daemon's own log.
type Log struct {
	// Format is "console" or "json".
	Format string `json:"format,omitempty"`
	// Level is "debug", "info", "warn" or "error".
	Level string `json:"level,omitempty"`
	// Stdout writes to standard output instead of standard error.
	Stdout bool `json:"stdout,omitempty"`
}

// HasRole tells whether the daemon has a role.
func (s *Settings) HasRole(r Role) bool {
	for _, have := range s.Roles {
		if have == r {
			return true
		}
	}
	return false
}

// Fault is one thing wrong with the settings.
type Fault struct {
	// Path is a JSON path such as "$.addresses.callers".
	Path    string `json:"path"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// Error lists every fault of one file.
type Error struct {
	File   string  `json:"file"`
	Faults []Fault `json:"faults"`
}

// Error gives a line a fault.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, fmt.Sprintf("%s: %s: %s; %s", e.File, f.Path, f.Message, f.Remedy))
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks a file.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{File: file, Faults: []Fault{{Path: "$", Message: err.Error(), Remedy: "name a readable file with -settings"}}}
	}
	return Parse(file, data)
}

// Parse checks the content of a file; the name is for messages only. Its error
// is an *Error that holds every fault.
func Parse(file string, data []byte) (*Settings, error) {
	s := &Settings{}
	e := &Error{File: file}
	paths := []string{}
	for _, f := range schema.Check(schema.Settings, data) {
		e.Faults = append(e.Faults, Fault(f))
		paths = append(paths, f.Path)
	}
	// A value of the wrong type leaves its field empty and the rest whole.
	_ = json.Unmarshal(data, s)
	for _, f := range s.check() {
		if !schema.Covers(paths, f.Path) {
			e.Faults = append(e.Faults, f)
		}
	}
	slices.SortStableFunc(e.Faults, func(a, b Fault) int { return strings.Compare(a.Path, b.Path) })
	if len(e.Faults) > 0 {
		return nil, e
	}
	s.fill()
	return s, nil
}

func (s *Settings) fill() {
	if s.Limits.BodyBytes == 0 {
		s.Limits.BodyBytes = DefaultBodyBytes
	}
	if s.Limits.HeaderBytes == 0 {
		s.Limits.HeaderBytes = DefaultHeaderBytes
	}
	if s.Limits.Connections == 0 {
		s.Limits.Connections = DefaultConnections
	}
	if s.Routing != nil {
		s.Routing.fill()
		s.followSeeds()
	}
	s.seeds = &seedList{seeds: s.Seeds, replicas: s.Replicas}
}
