package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// manyRunners is the number of runners, and manySenders that of the clients that send the crashing
	// request, each again after manyPause or, if that is longer, the time that Retry-After names.
	manyRunners = 12
	manySenders = 10
	manyPause   = 500 * time.Millisecond
	// crashAfter is how long a runner works on the crashing request before it crashes.
	crashAfter = 8 * time.Second
	// manyBack is how long a crashed runner is away.
	manyBack = 3 * time.Second
	manyTime = 50 * time.Second
	// manyDeadline is the deadline of the crashing request.
	manyDeadline = 12 * time.Second
	// arrivalSlack is the time from a machine's sending to the record of the run, at most.
	arrivalSlack = 200 * time.Millisecond
)

// arrivals counts the runs of the crashing request and its crashes. lateArrivals counts the runs that a
// machine has sent to the runner later than contactTime after the third crash, which BUDGET limits, and late
// those whose client, too, has sent the request so late.
type arrivals struct {
	rec          *record
	mu           sync.Mutex
	crashes      int
	third        time.Duration
	late         int
	lateArrivals int
	sentAt       map[string]time.Duration
}

func (x *arrivals) seen(what, attempt string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	sent, isCrashing := x.sentAt[attempt]
	if what == "run" && isCrashing && x.third != 0 && x.rec.now() > x.third+contactTime+arrivalSlack {
		x.lateArrivals++
	}
	switch {
	case what == "crash":
		x.crashes++
		if x.crashes == thirdCrash {
			x.third = x.rec.now()
		}
		x.rec.add("crash-counted", "attempt", attempt, "crashes", x.crashes)
	case what == "run" && isCrashing && x.third != 0 && sent > x.third+contactTime:
		x.late++
		x.rec.add("late-retry", "attempt", attempt, "after_third_crash", sent-x.third, "late_retries", x.late)
	}
}

// manyClients has several clients of one caller send a request that crashes each runner some seconds
// after it has begun to run it. Without the disruption one client sends it.
func manyClients(o options) (bool, error) {
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
	x := &arrivals{rec: o.rec, sentAt: map[string]time.Duration{}}
	stop := make(chan struct{})
	defer close(stop)
	for i := range manyRunners {
		slot := &runnerSlot{
			c: c, name: fmt.Sprintf("r%d", i+1), pool: serviceName, address: fmt.Sprintf("%s:%d", c.ip(200+i), portRunner), role: "runner",
			args: []string{"-crash-after", crashAfter.String()}, onLine: func(what, _, attempt string) { x.seen(what, attempt) },
		}
		go slot.keep(stop, manyBack)
	}
	if err := c.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	others := &bystanders{client: newClient(o.rec, "sound-")}
	for i := range otherClients {
		go others.send(stop, c.entries[i%len(c.entries)].ip)
	}
	time.Sleep(3 * time.Second)
	senders := manySenders
	if !o.trouble {
		senders = 1
	}
	all := sync.WaitGroup{}
	end := o.rec.now() + manyTime
	for i := range senders {
		cl := newClient(o.rec, fmt.Sprintf("crash-%d-", i+1))
		all.Go(func() {
			for n := 0; o.rec.now() < end; n++ {
				x.mu.Lock()
				x.sentAt[fmt.Sprintf("%s%d", cl.prefix, cl.number.Load()+1)] = o.rec.now()
				x.mu.Unlock()
				a := cl.send(http.MethodPost, c.entries[(i+n)%len(c.entries)].ip, hostName, pathLong+"117", "export 117 "+crashWord, manyDeadline)
				time.Sleep(a.patience(manyPause, manyDeadline))
			}
		})
	}
	all.Wait()
	x.mu.Lock()
	defer x.mu.Unlock()
	o.rec.add("result", "crashes", x.crashes, "late_retries", x.late, "sent_late_by_machines", x.lateArrivals, "allowed", allowedRetries, "sound_requests", others.sent.Load(),
		"sound_requests_answered", others.answered.Load(), "sound_requests_lost", others.lost.Load())
	return x.lateArrivals > allowedRetries, nil
}
