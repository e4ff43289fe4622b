package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

// foundingDelay is how long after its start the first machine of the core loses its disk.
const foundingDelay = 300 * time.Millisecond

// foundingRounds is how many requests are sent to each entry afterwards.
const foundingRounds = 4

// playFounding lets the core machine with the lowest address lose its disk right after the first
// start of the whole system. It is down for restartDelay.
func playFounding(s *site) (bool, error) {
	if err := s.start(3, 3); err != nil {
		return false, err
	}
	for range 3 {
		if _, err := s.addRunner(register, 6, 30*time.Millisecond); err != nil {
			return false, err
		}
	}
	if s.disturbed {
		first := s.controls[0]
		time.Sleep(foundingDelay)
		s.kill(first)
		if err := os.RemoveAll(first.settings["data_folder"].(string)); err != nil {
			return false, err
		}
		s.note("the disk of %s is lost", first.name)
		time.Sleep(restartDelay)
		if err := s.restart(first); err != nil {
			return false, err
		}
	}
	if err := s.publish(configuration([]map[string]any{route("r-1", "/register/", "safe", register, 2)}, register)); err != nil {
		s.note("no configuration was acknowledged in %v", startTimeout)
	}
	served := 0
	for n := range foundingRounds {
		for _, p := range s.entries {
			if _, r := s.attempt(s.at(p.ip, s.ports.callers), http.MethodGet, fmt.Sprintf("/register/%d", n), "", 3*time.Second); r.status == http.StatusOK {
				served++
			}
		}
	}
	s.note("Fault: %d of %d requests are served", served, foundingRounds*len(s.entries))
	return served == 0, nil
}
