package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"syscall"
	"time"
)

const (
	catchUpTime = 4 * time.Second
	gracePeriod = 8 * time.Second
	recoverTime = 12 * time.Second
	// orderDelay is the time from the end of the machine that is replaced to the operator's next
	// configuration, wipeTime how long the daemon that loses its disk is down.
	orderDelay = time.Second
	wipeTime   = time.Second
)

// playReplacement replaces a machine of the core as planned: the successor first, the SIGTERM once
// it has had more than catch_up_s. Then the operator sends a configuration, and the daemon that
// acknowledges it loses its disk.
func playReplacement(s *site) (bool, error) {
	if err := s.start(3, 2); err != nil {
		return false, err
	}
	for range 3 {
		if _, err := s.addRunner(register, 6, 30*time.Millisecond); err != nil {
			return false, err
		}
	}
	routes := []map[string]any{route("r-1", "/register/", "safe", register, 2)}
	if err := s.publish(configuration(routes, register)); err != nil {
		return false, err
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	if err := s.awaitServed(http.MethodGet, "/register/1"); err != nil {
		return false, err
	}
	time.Sleep(2 * contactTime)
	removed := s.controls[2]
	if err := s.replaceAsPlanned(removed); err != nil {
		return false, err
	}
	time.Sleep(orderDelay)
	second := configuration(append(routes, route("r-2", "/register/new/", "safe", register, 2)), register)
	second["version"] = 2
	acknowledger, err := s.order(second)
	if err != nil {
		return false, err
	}
	if s.disturbed {
		if err := s.wipe(acknowledger); err != nil {
			return false, err
		}
	}
	time.Sleep(recoverTime + contactTime)
	return s.readBack(2)
}

// replaceAsPlanned starts a successor with an empty disk at another address, and stops the old
// daemon for good once the successor has had its time.
func (s *site) replaceAsPlanned(old *process) error {
	seeds := []string{}
	for _, p := range s.controls {
		seeds = append(seeds, s.at(p.ip, s.ports.control))
	}
	next := s.newProcess("core-4", address(100), seeds)
	next.settings["roles"], next.settings["data_folder"] = []string{"replica"}, s.folder+"/data-"+next.name
	next.settings["routing"].(map[string]any)["control"] = s.at(next.ip, s.ports.control)
	if err := s.launch(next); err != nil {
		return err
	}
	s.controls = append(s.controls, next)
	time.Sleep(2 * catchUpTime)
	if err := old.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	s.note("%s gets SIGTERM", old.name)
	select {
	case <-old.gone:
		s.note("%s has ended, and does not come back", old.name)
	case <-time.After(gracePeriod):
		s.kill(old)
	}
	for n, p := range s.controls {
		if p == old {
			s.controls = append(append([]*process{}, s.controls[:n]...), s.controls[n+1:]...)
			break
		}
	}
	return nil
}

// order sends a configuration to one daemon after the other and returns the one that acknowledged.
func (s *site) order(c map[string]any) (*process, error) {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		for _, p := range s.controls {
			if s.call(http.MethodPut, s.at(p.ip, s.ports.control), "/config", c) == http.StatusOK {
				s.note("operator: version %v acknowledged by %s", c["version"], p.name)
				return p, nil
			}
		}
	}
	return nil, fmt.Errorf("version %v was not acknowledged", c["version"])
}

// wipe kills a daemon and starts it again with an empty disk at its address.
func (s *site) wipe(p *process) error {
	s.kill(p)
	if err := os.RemoveAll(p.settings["data_folder"].(string)); err != nil {
		return err
	}
	s.note("the disk of %s is lost", p.name)
	time.Sleep(wipeTime)
	return s.restart(p)
}

// readBack reads the configuration at all daemons for contact_ms. The rule is broken if it does not
// come, or is older than a version.
func (s *site) readBack(version int) (bool, error) {
	answered, older := 0, 0
	for end := time.Now().Add(contactTime); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, p := range s.controls {
			status, got := s.read(p)
			s.note("operator: %s answers the read of the configuration with %d, version %d", p.name, status, got)
			if status == http.StatusOK {
				answered++
				if got < version {
					older++
				}
			}
		}
	}
	s.note("CONFIG: %d reads brought a configuration, %d of them an older one than version %d", answered, older, version)
	return answered == 0 || older > 0, nil
}

// read reads the configuration at one daemon.
func (s *site) read(p *process) (status, version int) {
	resp, err := s.caller.Get("http://" + s.at(p.ip, s.ports.control) + "/config")
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	c := struct {
		Version int `json:"version"`
	}{}
	if err != nil || resp.StatusCode == http.StatusOK && json.Unmarshal(data, &c) != nil {
		return 0, 0
	}
	return resp.StatusCode, c.Version
}
