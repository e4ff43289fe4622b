package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// answerLife is three times the ttl_s of the directory's answers.
	answerLife = 3 * time.Second
	// lateSend is how long after SIGTERM a request may be sent and be cut off at the end of grace_s.
	lateSend = 3 * time.Second
	// fastToken and slowToken are the times of a token at the runners; their ratio is that of the speeds
	// 3.0 and 0.68 of a site file.
	fastToken = 10 * time.Millisecond
	slowToken = 44 * time.Millisecond
	// lateTokens is the length of the late streams, otherTokens that of the others.
	lateTokens   = 150
	otherTokens  = 700
	promptTokens = 200
	// firstEngines is the number of runners at first, addedEngines that of those which are added: a
	// share of 0.29.
	firstEngines = 7
	addedEngines = 2
	addedAfter   = 2 * time.Second
	addedGap     = 800 * time.Millisecond
)

// lateStream stops an entry as planned while new runners are added that are slower than the others. A
// client whose answer of the directory still names the entry sends it a stream a little later than 3 s
// after SIGTERM. LOST allows no such request to be passed on and then cut off.
func lateStream(o options) (bool, error) {
	c, err := newCluster(o.rec, o.program, 3, 3)
	if err != nil {
		return false, err
	}
	defer c.stop(o.keep)
	if err := c.startAll(); err != nil {
		return false, err
	}
	if err := c.configure(configuration(7)); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	defer close(stop)
	x := &passedOn{ran: map[string]string{}}
	for i := range firstEngines {
		go x.engine(c, i, fastToken).keep(stop, time.Hour)
	}
	if err := c.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	cl := newClient(o.rec, "s-")
	x.learn(c, cl)
	// The streams of other clients, at the other entries, fill the runners until the end.
	for i := range firstEngines * engineSlots {
		go cl.stream(c.entries[1+i%2].ip, promptTokens, otherTokens)
	}
	stopped := c.entries[0]
	term := o.rec.now()
	if o.trouble {
		c.signal(stopped, syscall.SIGTERM)
	}
	named := lastNamed(c, stopped, term)
	o.rec.add("directory", "named", stopped.name, "until", named)
	// Planned work: runners are added.
	for i := range addedEngines {
		time.Sleep(term + addedAfter + time.Duration(i)*addedGap - o.rec.now())
		go x.engine(c, firstEngines+i, slowToken).keep(stop, time.Hour)
	}
	// The client's answer is valid until 3 s after it was given.
	time.Sleep(term + lateSend + max(5*time.Millisecond, min(named-term-10*time.Millisecond, 100*time.Millisecond)) - o.rec.now())
	late, results := newClient(o.rec, "late-"), make(chan streamAnswer, addedEngines)
	for range addedEngines {
		go func() { results <- late.stream(stopped.ip, promptTokens, lateTokens) }()
	}
	broken := false
	for range addedEngines {
		r := <-results
		runner := x.runner(r.attempt)
		isLost := r.status == http.StatusOK && !r.whole && runner != "" && r.sent > term+lateSend && r.sent <= named+answerLife && r.ended-r.sent < 11*time.Second
		o.rec.add("late", "attempt", r.attempt, "sent_after_sigterm", r.sent-term, "answer_of_directory_is_valid_until", named+answerLife-term, "runner", runner,
			"status", r.status, "events", r.events, "whole", r.whole, "ended_after_sigterm", r.ended-term, "lost", isLost)
		broken = broken || isLost
	}
	return broken, nil
}

// passedOn holds the runners that ran a request.
type passedOn struct {
	mu  sync.Mutex
	ran map[string]string
}

func (x *passedOn) runner(attempt string) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.ran[attempt]
}

// engine returns the place of a model runner with a time of a token.
func (x *passedOn) engine(c *cluster, n int, token time.Duration) *runnerSlot {
	return &runnerSlot{
		c: c, name: fmt.Sprintf("e%d", n+1), pool: engineService, address: fmt.Sprintf("%s:%d", c.ip(201+n), portRunner), role: "engine",
		args: []string{"-token", token.String()},
		onLine: func(what, id, attempt string) {
			x.mu.Lock()
			defer x.mu.Unlock()
			if what == "run" {
				x.ran[attempt] = id
			}
		},
	}
}

// learn sends streams through all entries, one after the other at each, as in the time before.
func (x *passedOn) learn(c *cluster, cl *client) {
	all := sync.WaitGroup{}
	for _, e := range c.entries {
		all.Go(func() {
			for range 6 {
				cl.stream(e.ip, promptTokens, 60)
			}
		})
	}
	all.Wait()
	time.Sleep(5 * time.Second)
}

// lastNamed asks the directories of the other entries for a second and returns when one last named an
// entry; the caller keeps that answer.
func lastNamed(c *cluster, stopped *daemon, from time.Duration) time.Duration {
	last := from
	for c.rec.now() < from+time.Second {
		for _, e := range c.entries[1:] {
			asked := c.rec.now()
			if slices.Contains(resolve(e.ip), fmt.Sprintf("%s:%d", stopped.ip, portCallers)) {
				last = asked
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	return last
}

// resolve returns the addresses that a directory names.
func resolve(ip string) []string {
	resp, err := (&http.Client{Timeout: time.Second}).Get(fmt.Sprintf("http://%s:%d/resolve?name=%s&region=region-a&zone=zone-a", ip, portDirectory, hostName))
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	found := struct {
		Addresses []string `json:"addresses"`
	}{}
	if json.NewDecoder(resp.Body).Decode(&found) != nil {
		return nil
	}
	return found.Addresses
}
