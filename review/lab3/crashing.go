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
	// maxLateRetries is how many retries BUDGET allows later than contact_ms after the third crash.
	maxLateRetries = 3
	crashesBefore  = 2
	// backAfter is how long a crashed runner is away.
	backAfter = 2 * time.Second
	// retryInterval is how long the client waits before it sends the crashing request again.
	retryInterval = 4500 * time.Millisecond
	// otherClients send sound requests all the while.
	otherClients = 6
)

// crashes counts the runs of the crashing request.
type crashes struct {
	rec *record
	mu  sync.Mutex
	// third is when the third runner crashed, late the number of runs that count.
	runs  int
	third time.Duration
	late  int
	// disturbed is when a core machine was last stopped or started.
	disturbed time.Duration
	sentAt    map[string]time.Duration
}

func (x *crashes) disturb() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.disturbed = x.rec.now()
}

// crashed records a run of the crashing request.
func (x *crashes) crashed(attempt string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.runs++
	now := x.rec.now()
	sent := x.sentAt[attempt]
	isInTouch := x.disturbed == 0 || sent-x.disturbed > contactTime
	counts := x.runs > crashesBefore+1 && sent > x.third+contactTime && isInTouch
	if counts {
		x.late++
	}
	if x.runs == crashesBefore+1 {
		x.third = now
	}
	x.rec.add("crash-counted", "attempt", attempt, "crashes", x.runs, "in_touch", isInTouch, "counts", counts, "late_retries", x.late)
}

// crashingRequest sends a request that crashes each runner which begins to run it, again and again
// as its client does, while an operator restarts the control daemons in turn, the leading one
// first. BUDGET allows three retries that reach runners later than contact_ms after the third crash.
func crashingRequest(o options) (bool, error) {
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
	for i := range 4 {
		slot := &runnerSlot{c: c, name: fmt.Sprintf("r%d", i+1), pool: serviceName, address: fmt.Sprintf("%s:%d", c.ip(201+i), portRunner), onLine: func(what, _, attempt string) {
			if what == "crash" {
				x.crashed(attempt)
			}
		}}
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
	// Two retries, then three times: a restart of the leading control daemon, and two more retries once
	// all machines are in touch.
	crasher := newClient(o.rec, "crash-")
	for turn := range 4 {
		if turn > 0 && o.trouble {
			leader := c.leader()
			if leader == nil {
				return false, errNoLeader
			}
			x.disturb()
			if err := c.restart(leader); err != nil {
				return false, err
			}
			x.disturb()
			time.Sleep(contactTime + time.Second)
		}
		for i := range 2 {
			x.retry(crasher, c.entries[(turn+i)%len(c.entries)].ip)
			time.Sleep(retryInterval)
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	o.rec.add("result", "crashes", x.runs, "late_retries", x.late, "allowed", maxLateRetries, "sound_requests", others.sent.Load(), "sound_requests_lost", others.lost.Load())
	return x.late > maxLateRetries, nil
}

// bystanders send requests that crash nothing. Those that run on a crashing runner are lost: they may
// run once only.
type bystanders struct {
	client *client
	sent   atomic.Int64
	lost   atomic.Int64
}

func (b *bystanders) send(stop <-chan struct{}, ip string) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		a := b.client.send(http.MethodPost, ip, hostName, pathOnce+"sound", "transfer", 6*time.Second)
		b.sent.Add(1)
		if a.status == http.StatusBadGateway {
			b.lost.Add(1)
		}
	}
}

// retry sends the crashing request: the same path, caller and body each time.
func (x *crashes) retry(c *client, ip string) {
	x.mu.Lock()
	x.sentAt[fmt.Sprintf("%s%d", c.prefix, c.number.Load()+1)] = x.rec.now()
	x.mu.Unlock()
	c.send(http.MethodPost, ip, hostName, pathOnce+"117", "transfer 117 "+crashWord, 6*time.Second)
}
