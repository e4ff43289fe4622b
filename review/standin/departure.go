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

// playDeparture lets the only runner of a quiet service leave by a DELETE alone. The control daemon
// that acknowledges it is killed right after.
func playDeparture(s *site) (bool, error) {
	if err := s.start(3, 3); err != nil {
		return false, err
	}
	for range 3 {
		if _, err := s.addRunner(register, 6, 30*time.Millisecond); err != nil {
			return false, err
		}
	}
	leaver, err := s.addRunner(archive, 6, 30*time.Millisecond)
	if err != nil {
		return false, err
	}
	routes := []map[string]any{route("r-1", "/register/", "safe", register, 2), route("r-2", archivePath, "unsafe", archive, 1)}
	if err := s.publish(configuration(routes, register, archive)); err != nil {
		return false, err
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	for method, path := range map[string]string{http.MethodGet: "/register/1", http.MethodPost: archivePath + "before"} {
		if err := s.awaitServed(method, path); err != nil {
			return false, err
		}
	}
	time.Sleep(2*contactTime + heartbeatInterval)
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
