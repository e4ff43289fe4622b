package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// client sends requests to entries, each on a new connection or on kept ones.
type client struct {
	rec    *record
	http   *http.Client
	number atomic.Int64
	prefix string
}

func newClient(rec *record, prefix string) *client {
	return &client{rec: rec, prefix: prefix, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}, Timeout: 20 * time.Second}}
}

// answer is what a client got.
type answer struct {
	attempt string
	status  int
	body    string
	header  http.Header
	err     error
}

// send sends a request with an attempt id of its own and records it with its answer.
func (c *client) send(method, ip, host, path, body string, deadline time.Duration) answer {
	a := answer{attempt: fmt.Sprintf("%s%d", c.prefix, c.number.Add(1))}
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", ip, portCallers, path), strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", a.attempt)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Token "+apiKey)
	c.rec.add("send", "attempt", a.attempt, "to", ip, "path", path)
	resp, err := c.http.Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.status, a.body, a.header = resp.StatusCode, string(data), resp.Header
	}
	a.err = err
	fields := []any{"attempt", a.attempt, "status", a.status, "seal", a.header.Get("X-Response-Seal"), "retry_after", a.header.Get("Retry-After")}
	if a.status >= http.StatusBadRequest {
		fields = append(fields, "body", strconv.Quote(strings.TrimSpace(a.body)))
	}
	c.rec.add("answered", append(fields, "error", errors.Join(err))...)
	return a
}

// patience is for how long a client that honours Retry-After waits after this answer to a request with the
// given deadline: a third of the time left at most, as the pages say, and the given pause at least.
func (a answer) patience(pause, left time.Duration) time.Duration {
	seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	if err != nil {
		return pause
	}
	return max(pause, min(time.Duration(seconds*float64(time.Second)), left/3))
}

// Names of the configuration.
const (
	hostName    = "club.example"
	apiKey      = "k7f3n2v9x1q8"
	serviceName = "register-api"
	pathOnce    = "/transfers/"
	pathSafe    = "/records/"
	pathStream  = "/reports/"
	pathLong    = "/exports/"
	// engineService is the service of model runners.
	engineService = "logbook-model"
)

// configuration returns a configuration like that of a small deployment, with one plain service.
func configuration(version int) map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "hostname": hostName, "path_prefix": prefix, "route_type": kind, "timeout_ms": 3000, "latency_target_ms": 400,
			"priority": 2, "backend": serviceName, "max_attempts": attempts, "public": false, "sticky": false, "resumable": false, "gap_target_ms": 0,
		}
	}
	stream := route("r-stream", pathStream, "stream", 1)
	stream["backend"], stream["timeout_ms"], stream["latency_target_ms"], stream["gap_target_ms"], stream["sticky"] = engineService, 12000, 1000, 300, true
	long := route("r-long", pathLong, "unsafe", 1)
	long["timeout_ms"] = 12000
	engine := map[string]any{
		"slots": engineSlots, "kv_capacity": 510863, "kv_token_bytes": 35136, "link_mbps": 740000.0, "moves": true, "backups": true,
		"stride": tokensPerEvent, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
	}
	return map[string]any{
		"version": version,
		"routes":  []any{route("r-once", pathOnce, "unsafe", 1), route("r-safe", pathSafe, "safe", 2), long, stream},
		"services": []any{
			map[string]any{"name": serviceName, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false},
			map[string]any{"name": engineService, "health_path": "/health", "max_conns": 370, "protocol": "h1", "tls": false, "engine": engine},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "club-a", "api_keys": []string{apiKey}, "priority": 1, "unit": "token_count", "plain_tokens": 200, "rate_per_s": 90028, "burst": 90028}},
	}
}
