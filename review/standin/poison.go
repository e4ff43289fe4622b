package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	// poisonPath is the path of the request that crashes each runner which begins to run it.
	poisonPath = "/register/transfer/poison"
	soundPath  = "/register/transfer/sound"
	// poisonInterval is the time between two attempts of its client, poisonTime how long it goes on.
	poisonInterval = 700 * time.Millisecond
	poisonTime     = 40 * time.Second
	downTime       = 4 * time.Second
	// maxLateRetries is the number of retries that the rule allows later than contact_ms after the
	// third crash.
	maxLateRetries = 3
)

// playPoison lets a client repeat a request that crashes each runner which runs it.
func playPoison(s *site) (bool, error) {
	if err := s.start(3, 3); err != nil {
		return false, err
	}
	for range 3 {
		r, err := s.addRunner(register, 6, 30*time.Millisecond)
		if err != nil {
			return false, err
		}
		r.downTime = downTime
		if s.disturbed {
			r.crashesOn = poisonPath
		}
	}
	if err := s.publish(configuration([]map[string]any{route("r-1", "/register/", "unsafe", register, 1)}, register)); err != nil {
		return false, err
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	if err := s.awaitServed(http.MethodPost, soundPath); err != nil {
		return false, err
	}
	time.Sleep(2 * contactTime)
	list, err := s.fronts()
	if err != nil {
		return false, err
	}
	sentAt := map[string]time.Time{}
	served, failed := 0, 0
	for n, end := 0, time.Now().Add(poisonTime); time.Now().Before(end); n++ {
		at := time.Now()
		id, _ := s.attempt(list[n%len(list)], http.MethodPost, poisonPath, "the same entry", 3*time.Second)
		sentAt[id] = at
		if _, r := s.attempt(list[(n+1)%len(list)], http.MethodPost, soundPath, fmt.Sprint("entry ", n), 3*time.Second); r.status == http.StatusOK {
			served++
		} else {
			failed++
		}
		time.Sleep(time.Until(at.Add(poisonInterval)))
	}
	return s.judgePoison(sentAt, served, failed)
}

// judgePoison counts the runs of the request that were sent later than contact_ms after it had
// crashed its third runner.
func (s *site) judgePoison(sentAt map[string]time.Time, served, failed int) (bool, error) {
	crashes := []run{}
	for _, r := range s.runners {
		crashes = append(crashes, r.ran(poisonPath)...)
	}
	s.note("sound requests beside it: %d served, %d not", served, failed)
	if !s.disturbed {
		if failed > 0 {
			return false, errors.New("requests failed without a disruption")
		}
		return false, nil
	}
	s.note("the request has crashed %d runners", len(crashes))
	if len(crashes) < maxLateRetries {
		return false, nil
	}
	third := nthCrash(crashes, 3)
	late := 0
	for _, x := range crashes {
		if sentAt[x.attempt].Sub(third) > contactTime {
			late++
		}
	}
	s.note("BUDGET: %d retries reached runners that were sent later than contact_ms after the third crash; %d are allowed", late, maxLateRetries)
	return late > maxLateRetries, nil
}

// nthCrash returns the time of the n-th crash.
func nthCrash(list []run, n int) time.Time {
	for _, x := range list {
		before := 0
		for _, y := range list {
			if y.at.Before(x.at) {
				before++
			}
		}
		if before == n-1 {
			return x.at
		}
	}
	return time.Time{}
}
