package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
)

// Ports of all machines; each has an address of its own.
const (
	portFront     = 8221
	portReady     = 8224
	portDirectory = 8220
	portControl   = 8229
	portPeers     = 7600
	portAdmin     = 9464
)

// machine is a machine of the system with one process on it.
type machine struct {
	name   string
	role   string
	ip     string
	zone   string
	region string
}

func (m machine) address(port int) string { return m.ip + ":" + strconv.Itoa(port) }

// zones are the data centres of the small deployment, with their regions.
var zones = map[string]string{"lima-norte": "region-lima", "lima-este": "region-lima", "sur-uno": "region-sur"}

// values returns the fields of the platform's settings of a machine, by their names in templates.
func (m machine) values(seeds []string, bootstrap bool, dataFolder string) map[string]any {
	v := map[string]any{
		"node_name": m.name, "ip": m.ip, "zone": m.zone, "region": m.region, "seeds": seeds, "bootstrap": bootstrap,
		"heartbeat_interval_ms": 1200, "zones": zones, "port_range.0": portPeers, "listen.directory": m.address(portDirectory),
		"bounds.grace_s": 8, "bounds.retry_budget_ratio": 0.2, "bounds.retry_window_s": 10, "bounds.budget_slack": 58, "bounds.quota_slack": 190000,
	}
	if m.role == "entry" {
		v["listen.front"], v["listen.readiness"] = m.address(portFront), m.address(portReady)
		return v
	}
	v["listen.control"], v["data_dir"] = m.address(portControl), dataFolder
	return v
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}.*?\{\{/([a-z_.]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
)

// render fills in a template of settings. Sections are left out: this deployment has no values
// for them.
func render(template string, values map[string]any) (string, error) {
	failure := error(nil)
	text := section.ReplaceAllString(template, "")
	text = placeholder.ReplaceAllStringFunc(text, func(found string) string {
		parts := placeholder.FindStringSubmatch(found)
		value, known := values[parts[1]]
		if !known {
			failure = fmt.Errorf("the template needs %q", parts[1])
		}
		data, err := json.Marshal(value)
		if err != nil {
			failure = err
		}
		if parts[2] == "" {
			return strings.Trim(string(data), `"`)
		}
		return string(data)
	})
	return text, failure
}

// writeSettings writes the settings of a machine to a file.
func writeSettings(templates, file string, m machine, values map[string]any) error {
	template, err := os.ReadFile(filepath.Join(templates, m.role+".json"))
	if err != nil {
		return err
	}
	text, err := render(string(template), values)
	if err != nil {
		return err
	}
	return os.WriteFile(file, []byte(text), 0o600)
}
