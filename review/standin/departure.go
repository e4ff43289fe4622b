package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// serveTime is how long the runner that leaves goes on to serve after the
	// acknowledgement: drain_ms and "at times many seconds".
	serveTime = 14 * time.Second
	// restartDelay is the platform's delay before it starts a killed process again.
	restartDelay = 500 * time.Millisecond
	archivePath  = "/archive/"
	archive      = "archive"
	register     = "register"
)

// startWithArchive starts a site with a quiet service, archive, that has a single runner, and waits
// until all machines are in touch.
func (s *site) startWithArchive() (*runner, error) {
	if err := s.start(3, 3); err != nil {
		return nil, err
	}
	for range 3 {
		if _, err := s.addRunner(register, 6, 30*time.Millisecond); err != nil {
			return nil, err
		}
	}
	leaver, err := s.addRunner(archive, 6, 30*time.Millisecond)
	if err != nil {
		return nil, err
	}
	routes := []map[string]any{route("r-1", "/register/", "safe", register, 2), route("r-2", archivePath, "unsafe", archive, 1)}
	if err := s.publish(configuration(routes, register, archive)); err != nil {
		return nil, err
	}
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	for method, path := range map[string]string{http.MethodGet: "/register/1", http.MethodPost: archivePath + "before"} {
		if err := s.awaitServed(method, path); err != nil {
			return nil, err
		}
	}
	time.Sleep(2*contactTime + heartbeatInterval)
	return leaver, nil
}

// playDeparture lets the only runner of a quiet service leave by a DELETE alone. The control daemon
// that acknowledges it is killed right after.
func playDeparture(s *site) (bool, error) {
	leaver, err := s.startWithArchive()
	if err != nil {
		return false, err
	}
	acknowledger := s.controls[0]
	acked, err := leaver.leave(acknowledger)
	if err != nil {
		return false, err
	}
	if s.disturbed {
		s.kill(acknowledger)
	}
	s.note("%s acknowledged that %s is gone, %v before", acknowledger.name, leaver.id, time.Since(acked).Round(time.Microsecond))
	time.Sleep(restartDelay)
	if s.disturbed {
		if err := s.restart(acknowledger); err != nil {
			return false, err
		}
	}
	// All machines are in touch contact_ms after the start.
	time.Sleep(contactTime + 500*time.Millisecond)
	return s.sendToLeaver(leaver, acked)
}

// sendToLeaver sends requests for the service until the runner stops to serve, and judges whether
// one has reached it later than drain_ms after the acknowledgement.
func (s *site) sendToLeaver(leaver *runner, acked time.Time) (bool, error) {
	list, err := s.fronts()
	if err != nil {
		return false, err
	}
	sent := 0
	for time.Since(acked) < serveTime && sent < 3 {
		s.attempt(list[sent%len(list)], http.MethodPost, fmt.Sprintf("%slate-%d", archivePath, sent+1), "entry", 3*time.Second)
		sent++
		time.Sleep(300 * time.Millisecond)
	}
	leaver.close()
	broken := false
	for n := range sent {
		for _, x := range leaver.ran(fmt.Sprintf("%slate-%d", archivePath, n+1)) {
			after := x.at.Sub(acked)
			s.note("DRAIN: %s reached the runner %.2f s after the acknowledgement, drain_ms is %v", x.attempt, after.Seconds(), drainTime)
			broken = broken || after > drainTime
		}
	}
	return broken, nil
}

const (
	// startLead is how long before the departure a runner of another service starts, as in a
	// release, and killDelay how long after its acknowledgement all of the core is killed.
	startLead = 400 * time.Millisecond
	killDelay = 400 * time.Millisecond
)

// playDepartureAll lets the runner leave in the same way, right after a runner of another service has
// started. Then all processes of the core are killed at the same moment, and are back within a second.
func playDepartureAll(s *site) (bool, error) {
	leaver, err := s.startWithArchive()
	if err != nil {
		return false, err
	}
	if _, err := s.addRunner(register, 6, 30*time.Millisecond); err != nil {
		return false, err
	}
	time.Sleep(startLead)
	acked, err := leaver.leave(s.controls[0])
	if err != nil {
		return false, err
	}
	s.note("%s acknowledged that %s is gone", s.controls[0].name, leaver.id)
	time.Sleep(killDelay)
	if s.disturbed {
		for _, p := range s.controls {
			_ = p.cmd.Process.Kill()
		}
		for _, p := range s.controls {
			<-p.gone
			s.note("%s killed", p.name)
		}
	}
	time.Sleep(restartDelay)
	if s.disturbed {
		for _, p := range s.controls {
			if err := s.restart(p); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(contactTime + 500*time.Millisecond)
	return s.sendToLeaver(leaver, acked)
}
