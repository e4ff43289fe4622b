// Package settings reads and checks one daemon's settings file.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
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
	Replicas []Peer `json:"replicas"`
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
	Callers string `json:"callers"`
	// Peers is for other daemons.
	Peers string `json:"peers"`
	// Upstreams is for announcements.
	Upstreams string `json:"upstreams"`
	// Admin is for metrics, state dumps and operators.
	Admin string `json:"admin"`
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
	Path    string
	Message string
	Remedy  string
}

// Error lists every fault of one file.
type Error struct {
	File   string
	Faults []Fault
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

// Parse checks the content of a file; the name is for messages only.
func Parse(file string, data []byte) (*Settings, error) {
	s := &Settings{}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(s); err != nil {
		return nil, &Error{File: file, Faults: []Fault{decodeFault(err)}}
	}
	if faults := s.check(); len(faults) > 0 {
		return nil, &Error{File: file, Faults: faults}
	}
	s.fill()
	return s, nil
}

func decodeFault(err error) Fault {
	typed := (*json.UnmarshalTypeError)(nil)
	if errors.As(err, &typed) {
		return Fault{Path: "$." + typed.Field, Message: "the value is a " + typed.Value, Remedy: "write a " + typed.Type.String()}
	}
	return Fault{Path: "$", Message: err.Error(), Remedy: "see docs/SETTINGS.md"}
}

func (s *Settings) check() []Fault {
	faults := []Fault{}
	add := func(path, message, remedy string) {
		faults = append(faults, Fault{Path: path, Message: message, Remedy: remedy})
	}
	required := []struct{ path, value string }{
		{"$.name", s.Name}, {"$.region", s.Region}, {"$.data_centre", s.DataCentre},
	}
	for _, r := range required {
		if r.value == "" {
			add(r.path, "the value is missing", "give it")
		}
	}
	addresses := []struct{ path, value string }{
		{"$.addresses.callers", s.Addresses.Callers},
		{"$.addresses.peers", s.Addresses.Peers},
		{"$.addresses.upstreams", s.Addresses.Upstreams},
		{"$.addresses.admin", s.Addresses.Admin},
	}
	for _, a := range addresses {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			add(a.path, fmt.Sprintf("%q is not an address", a.value), "write IP:port")
		}
	}
	if len(s.Replicas) == 0 {
		add("$.replicas", "no replica is named", "name the daemons that keep the durable state")
	}
	if s.HasRole(Replica) && s.DataFolder == "" {
		add("$.data_folder", "a replica needs a data folder", "name a folder on its disk")
	}
	return faults
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
}
