// Package settings reads and validates the settings file of a daemon. Validation
// reports all faults of a file at once, each with its JSON path and a remedy.
package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/verbenastep/verbenastep/internal/schema"
)

// Role is a task of a daemon in addition to serving callers.
type Role string

// Replica is the role of a daemon that stores the replicated log on disk.
const Replica Role = "replica"

// Settings holds the settings of a daemon. The fields do not change after Parse;
// see KnownSeeds and KnownReplicas for reloaded values.
type Settings struct {
	// Name is unique among the daemons.
	Name       string    `json:"name"`
	Region     string    `json:"region"`
	DataCentre string    `json:"data_centre"`
	Addresses  Addresses `json:"addresses"`
	Roles      []Role    `json:"roles,omitempty"`
	// DataFolder is the folder for a replica's files.
	DataFolder string `json:"data_folder,omitempty"`
	// Replicas lists the daemons with the role Replica.
	Replicas []Peer `json:"replicas,omitempty"`
	// Seeds are peers' addresses of daemons through which this one joins.
	Seeds []string `json:"seeds,omitempty"`
	// OperatorKeys are hashes of operators' keys that are valid before any
	// configuration is accepted; each is "sha256:" and 64 hex digits.
	OperatorKeys []string `json:"operator_keys,omitempty"`
	// UpstreamKeys are hashes of the keys with which upstreams authenticate, in the
	// same form.
	UpstreamKeys []string `json:"upstream_keys,omitempty"`
	// PeerKeyFile names the file with the secret that the daemons share.
	PeerKeyFile string `json:"peer_key_file,omitempty"`
	Limits      Limits `json:"limits,omitempty"`
	TLS         TLS    `json:"tls,omitempty"`
	Log         Log    `json:"log,omitempty"`
	// Routing is set if the daemon serves a published route table.
	Routing *Routing `json:"routing,omitempty"`

	reloaded *reloadable
}

// Peer is another daemon.
type Peer struct {
	Name string `json:"name"`
	// Address is the address at which its peers reach it.
	Address string `json:"address"`
}

// Addresses are the addresses on which the daemon listens, each IP:port.
type Addresses struct {
	// Callers is for requests.
	Callers string `json:"callers,omitempty"`
	// Peers is for other daemons.
	Peers string `json:"peers"`
	// Upstreams is for upstreams' announcements.
	Upstreams string `json:"upstreams,omitempty"`
	// Admin is for metrics, state dumps and operators.
	Admin string `json:"admin,omitempty"`
}

// Limits bound what callers may send.
type Limits struct {
	// BodyBytes is the maximum size of a body; zero means DefaultBodyBytes.
	BodyBytes int64 `json:"body_bytes,omitempty"`
	// HeaderBytes is the maximum size of a header; zero means DefaultHeaderBytes.
	HeaderBytes int `json:"header_bytes,omitempty"`
	// Connections is the maximum number of callers' connections; zero means
	// DefaultConnections.
	Connections int `json:"connections,omitempty"`
}

// Defaults for Limits.
const (
	DefaultBodyBytes   = 8 << 20
	DefaultHeaderBytes = 16 << 10
	DefaultConnections = 10_000
)

// TLS names the files for mutual TLS between daemons. Without them, daemons
// connect by plain TCP.
type TLS struct {
	CertFile string `json:"cert_file,omitempty"`
	KeyFile  string `json:"key_file,omitempty"`
	CAFile   string `json:"ca_file,omitempty"`
}

// Log configures the daemon's log.
type Log struct {
	// Format is "console" or "json".
	Format string `json:"format,omitempty"`
	// Level is "debug", "info", "warn" or "error".
	Level string `json:"level,omitempty"`
	// Stdout writes to standard output instead of standard error.
	Stdout bool `json:"stdout,omitempty"`
}

// Farthest is the distance of a daemon in another region; see Distance.
const Farthest = 2

// Distance returns 0 for a daemon in this one's data centre, 1 for one in its region and Farthest
// for others.
func (s *Settings) Distance(dataCentre, region string) int {
	switch {
	case dataCentre == s.DataCentre:
		return 0
	case region == s.Region:
		return 1
	}
	return Farthest
}

// HasRole reports whether the daemon has a role.
func (s *Settings) HasRole(r Role) bool {
	for _, have := range s.Roles {
		if have == r {
			return true
		}
	}
	return false
}

// Fault is a single error in a settings file.
type Fault struct {
	// Path is a JSON path such as "$.addresses.callers".
	Path    string `json:"path"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// Error lists all faults of a settings file.
type Error struct {
	File   string  `json:"file"`
	Faults []Fault `json:"faults"`
}

// Error returns one line per fault.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, fmt.Sprintf("%s: %s: %s; %s", e.File, f.Path, f.Message, f.Remedy))
	}
	return strings.Join(lines, "\n")
}

// Load reads and validates a file. Its error is an *Error.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{File: file, Faults: []Fault{{Path: "$", Message: err.Error(), Remedy: "name a readable file with -settings"}}}
	}
	return Parse(file, data)
}

// Parse validates the content of a file and sets defaults; the file's name is for
// messages only. Its error is an *Error with all faults.
func Parse(file string, data []byte) (*Settings, error) {
	s := &Settings{}
	e := &Error{File: file}
	paths := []string{}
	for _, f := range schema.Check(schema.Settings, data) {
		e.Faults = append(e.Faults, Fault(f))
		paths = append(paths, f.Path)
	}
	// A value of the wrong type leaves its field empty, and all others are decoded. The
	// schema reports it except for an integer in a form that Go does not decode, such as 1e3.
	if err := json.Unmarshal(data, s); err != nil && len(e.Faults) == 0 {
		e.Faults = append(e.Faults, Fault{Path: "$", Message: err.Error(), Remedy: "write integers without fraction or exponent"})
	}
	for _, f := range s.check() {
		if !schema.Covers(paths, f.Path) {
			e.Faults = append(e.Faults, f)
		}
	}
	slices.SortStableFunc(e.Faults, func(a, b Fault) int { return strings.Compare(a.Path, b.Path) })
	if len(e.Faults) > 0 {
		return nil, e
	}
	s.applyDefaults()
	return s, nil
}

// applyDefaults sets the defaults of unset values.
func (s *Settings) applyDefaults() {
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
		s.Routing.applyDefaults()
		s.applySeeds()
	}
	s.reloaded = &reloadable{seeds: s.Seeds, replicas: s.Replicas}
}
