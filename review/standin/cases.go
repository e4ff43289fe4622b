package main

import (
	"errors"
	"net/http"
	"time"
)

// route returns a route of a configuration.
func route(name, prefix, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "hostname": host, "path_prefix": prefix, "route_type": kind, "timeout_ms": 3000, "latency_target_ms": 400, "priority": 1,
		"backend": service, "max_attempts": attempts, "public": false, "sticky": false, "resumable": false,
	}
}

// configuration returns the first configuration with some routes to services.
func configuration(routes []map[string]any, services ...string) map[string]any {
	list := []map[string]any{}
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": 1, "routes": routes, "services": list,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "club", "api_keys": []string{apiKey}, "priority": 1, "unit": "token_count", "plain_tokens": 200, "rate_per_s": 75894, "burst": 75894}},
	}
}

// awaitServed waits until a request to a path is answered with 200 at each entry.
func (s *site) awaitServed(method, path string) error {
	for _, p := range s.entries {
		front := s.at(p.ip, s.ports.callers)
		for end := time.Now().Add(startTimeout); ; time.Sleep(200 * time.Millisecond) {
			if _, r := s.attempt(front, method, path, "", 3*time.Second); r.status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return errors.New("requests are not served")
			}
		}
	}
	return nil
}

// fronts returns the addresses that the directory names.
func (s *site) fronts() ([]string, error) {
	for range 20 {
		for _, p := range s.entries {
			if list := s.resolve(p); len(list) > 0 {
				return list, nil
			}
		}
		time.Sleep(pollInterval)
	}
	return nil, errors.New("the directory names no front")
}
