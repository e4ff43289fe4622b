// Package operator defines the messages of a daemon's administrative API: JSON
// over HTTP, authenticated with a bearer key. The client package and the daemon's
// administrative server share it.
package operator

import "encoding/json"

// Paths on the administrative address.
const (
	// PathConfig returns a Config by GET; by POST it takes an Apply and returns an
	// Applied.
	PathConfig = "/operator/v1/config"
	// PathTable returns the route table in force on the daemon, in the project's own form.
	PathTable = "/operator/v1/table"
	// PathStatus returns a Status.
	PathStatus = "/operator/v1/status"
	// PathState returns a State.
	PathState = "/debug/state"
	// PathExplain returns the record of how the request with ?key= was routed,
	// queued or refused.
	PathExplain = "/operator/v1/explain"
)

// Files maps the path of each configuration file, relative to the configuration's
// folder, to its content.
type Files map[string]json.RawMessage

// Config is the configuration that is in force on a daemon.
type Config struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	Files   Files  `json:"files"`
}

// Apply is a request to replace the whole configuration.
type Apply struct {
	// Base is the version that the change is based on; the change is refused as a
	// conflict if another version is current.
	Base  uint64 `json:"base"`
	Files Files  `json:"files"`
}

// Applied is the answer to an Apply that was accepted.
type Applied struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
}

// Status is one daemon's view of the system.
type Status struct {
	Daemon  string         `json:"daemon"`
	Version uint64         `json:"version"`
	Digest  string         `json:"digest"`
	Members []MemberStatus `json:"members"`
	// Failing maps the daemon's unhealthy services to their errors.
	Failing map[string]string `json:"failing,omitempty"`
}

// MemberStatus describes one live daemon.
type MemberStatus struct {
	Name       string `json:"name"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	Callers    string `json:"callers"`
	Version    uint64 `json:"version"`
	// Lags means that an older configuration is in force on the daemon.
	Lags    bool `json:"lags"`
	Replica bool `json:"replica"`
}

// State maps the names of a daemon's services to dumps of their state.
type State map[string]json.RawMessage
