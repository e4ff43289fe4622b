package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// contactTime is contact_ms.
	contactTime = 4 * time.Second
	// allowedRetries is how many retries BUDGET allows later than contactTime after the third crash.
	allowedRetries = 3
	thirdCrash     = 3
	// backAfter is how long a crashed runner is away.
	backAfter = 4 * time.Second
	// crashingPause is the time after an answer at which the client sends the crashing request again, if
	// Retry-After names no longer one, and crashingTime for how long it goes on.
	crashingPause = 2 * time.Second
	crashingTime  = 40 * time.Second
	// crashingDeadline is the deadline of the crashing request.
	crashingDeadline = 6 * time.Second
	// plainRunners is the number of runners of the service.
	plainRunners = 2
	// otherClients send sound requests all the while, each after otherPause.
	otherClients = 4
	otherPause   = 300 * time.Millisecond
)

// crashes counts the runs of the crashing request. No machine of the system is disturbed, so that all
// are in touch all the while.
type crashes struct {
	rec    *record
	mu     sync.Mutex
	runs   int
	third  time.Duration
	late   int
	sentAt map[string]time.Duration
}

// crashed records a run of the crashing request.
func (x *crashes) crashed(attempt string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.runs++
	counts := x.runs > thirdCrash && x.sentAt[attempt] > x.third+contactTime
	if counts {
		x.late++
	}
	if x.runs == thirdCrash {
		x.third = x.rec.now()
	}
	x.rec.add("crash-counted", "attempt", attempt, "crashes", x.runs, "counts", counts, "late_retries", x.late)
}

// movedRunners sends a request that crashes each runner which begins to run it, again and again as its
// client does. A runner is back some seconds after its crash, as a new incarnation with a new id and,
// unless the disruption is left out, at a new address.
func movedRunners(o options) (bool, error) {
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
	x := &crashes{rec: o.rec, sentAt: map[string]time.Duration{}}
	stop := make(chan struct{})
	defer close(stop)
	for i := range plainRunners {
		slot := &runnerSlot{
			c: c, name: fmt.Sprintf("r%d", i+1), pool: serviceName, address: fmt.Sprintf("%s:%d", c.ip(200+i), portRunner), role: "runner",
			onLine: func(what, _, attempt string) {
				if what == "crash" {
					x.crashed(attempt)
				}
			},
		}
		if o.trouble {
			slot.addressOf = func(generation int) string {
				return fmt.Sprintf("%s:%d", c.ip(200+i), portRunner+generation)
			}
		}
		go slot.keep(stop, backAfter)
	}
	if err := c.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	others := &bystanders{client: newClient(o.rec, "sound-")}
	for i := range otherClients {
		go others.send(stop, c.entries[i%len(c.entries)].ip)
	}
	crasher := newClient(o.rec, "crash-")
	for n, end := 0, o.rec.now()+crashingTime; o.rec.now() < end; n++ {
		a := x.retry(crasher, c.entries[n%len(c.entries)].ip)
		time.Sleep(a.patience(crashingPause, crashingDeadline))
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	o.rec.add("result", "crashes", x.runs, "late_retries", x.late, "allowed", allowedRetries, "sound_requests", others.sent.Load(),
		"sound_requests_answered", others.answered.Load(), "sound_requests_lost", others.lost.Load())
	return x.late > allowedRetries, nil
}

// bystanders send requests that crash nothing. Those that run on a crashing runner are lost: they may
// run once only.
type bystanders struct {
	client   *client
	sent     atomic.Int64
	answered atomic.Int64
	lost     atomic.Int64
}

func (b *bystanders) send(stop <-chan struct{}, ip string) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(otherPause):
		}
		a := b.client.send(http.MethodPost, ip, hostName, pathOnce+"sound", "transfer", 6*time.Second)
		b.sent.Add(1)
		switch a.status {
		case http.StatusOK:
			b.answered.Add(1)
		case http.StatusBadGateway:
			b.lost.Add(1)
		}
	}
}

// retry sends the crashing request: the same path, caller and body each time.
func (x *crashes) retry(c *client, ip string) answer {
	x.mu.Lock()
	x.sentAt[fmt.Sprintf("%s%d", c.prefix, c.number.Load()+1)] = x.rec.now()
	x.mu.Unlock()
	return c.send(http.MethodPost, ip, hostName, pathOnce+"117", "transfer 117 "+crashWord, crashingDeadline)
}
