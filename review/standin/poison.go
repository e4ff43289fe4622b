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
	soundInterval  = 100 * time.Millisecond
	soundWork      = 300 * time.Millisecond
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
		r, err := s.addRunner(register, 6, soundWork)
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
	end := time.Now().Add(poisonTime)
	sound := s.sendSound(list, end)
	sentAt := map[string]time.Time{}
	for n := 0; time.Now().Before(end); n++ {
		at := time.Now()
		id, _ := s.attempt(list[n%len(list)], http.MethodPost, poisonPath, "the same entry", 3*time.Second)
		sentAt[id] = at
		time.Sleep(time.Until(at.Add(poisonInterval)))
	}
	return s.judgePoison(sentAt, <-sound)
}

// outcomes counts the answers of sound requests.
type outcomes struct{ served, refused, lost int }

// sendSound sends sound requests one after the other until a time, and returns what became of them.
func (s *site) sendSound(fronts []string, end time.Time) <-chan outcomes {
	out := make(chan outcomes, 1)
	go func() {
		o := outcomes{}
		for n := 0; time.Now().Before(end); n++ {
			_, r := s.attempt(fronts[n%len(fronts)], http.MethodPost, soundPath, fmt.Sprint("entry ", n), 3*time.Second)
			switch r.status {
			case http.StatusOK:
				o.served++
			case http.StatusServiceUnavailable, http.StatusTooManyRequests:
				o.refused++
			default:
				o.lost++
			}
			time.Sleep(soundInterval)
		}
		out <- o
	}()
	return out
}

// judgePoison counts the runs of the request that were sent later than contact_ms after it had
// crashed its third runner.
func (s *site) judgePoison(sentAt map[string]time.Time, sound outcomes) (bool, error) {
	crashes := []run{}
	for _, r := range s.runners {
		crashes = append(crashes, r.ran(poisonPath)...)
	}
	s.note("sound requests beside it: %d served, %d refused, %d lost", sound.served, sound.refused, sound.lost)
	if !s.disturbed {
		if sound.refused+sound.lost > 0 {
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
