// Package operator defines the messages between operators and a daemon's
// administrative address: JSON over HTTP, with a bearer key.
package operator

import "encoding/json"

// Paths on the administrative address.
const (
	// PathConfig answers a Config by GET and takes an Apply by POST.
	PathConfig = "/operator/v1/config"
	// PathStatus answers a Status.
	PathStatus = "/operator/v1/status"
	// PathState answers the state dump of all services.
	PathState = "/debug/state"
	// PathExplain answers, with ?key=, why a request went where it did.
	PathExplain = "/operator/v1/explain"
)

// Files maps a file's path below the configuration's folder to its content.
type Files map[string]json.RawMessage

// Config is the accepted configuration as a daemon has it in force.
type Config struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	Files   Files  `json:"files"`
}

// Apply replaces the configuration as a whole.
type Apply struct {
	// Base is the version that the change started from.
	Base  uint64 `json:"base"`
	Files Files  `json:"files"`
}

// Applied answers an Apply that was accepted.
type Applied struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
}

// Status is what one daemon knows of the system.
type Status struct {
	Daemon  string         `json:"daemon"`
	Version uint64         `json:"version"`
	Digest  string         `json:"digest"`
	Members []MemberStatus `json:"members"`
	// Failing maps unhealthy services to their errors.
	Failing map[string]string `json:"failing,omitempty"`
}

// MemberStatus is one live daemon.
type MemberStatus struct {
	Name       string `json:"name"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	Callers    string `json:"callers"`
	Version    uint64 `json:"version"`
	// Lags says that an older configuration is in force there.
	Lags    bool `json:"lags"`
	Replica bool `json:"replica"`
}

// State is the dump of all services by name.
type State map[string]json.RawMessage
