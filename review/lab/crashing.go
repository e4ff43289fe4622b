package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	pathOrder     = "/orden/pago"
	orderWork     = 60 * time.Millisecond
	orderDeadline = 4 * time.Second
	// orderPause is the time between two sound requests to one entry.
	orderPause = 100 * time.Millisecond
	// crashingBody is the body of the request that crashes each runner which begins to run it.
	crashingBody = `{"order":"4711","amount":"x"}`
	// crashingPause is the time between two sendings of that request; a runner is back by then.
	crashingPause = 3500 * time.Millisecond
	// leaderRestarts is how often the leading control daemon is stopped and started again.
	leaderRestarts = 5
	// coreGrace is the bound grace_s.
	coreGrace = 8 * time.Second
	// allowedRetries is how many retries may reach a runner contactTime after the third crash.
	allowedRetries = 3
	// fatalCrashes is the number of crashes from which contactTime counts.
	fatalCrashes = 3
)

// orderConfig is a configuration with one route for requests that may not be repeated.
const orderConfig = `{"version":3,"routes":[{"name":"r-orden","hostname":"` + hostName + `","path_prefix":"/orden/","route_type":"unsafe","timeout_ms":2000,
"latency_target_ms":400,"priority":2,"backend":"` + serviceName + `","max_attempts":1,"public":false}],
"services":[{"name":"` + serviceName + `","health_path":"/health","max_conns":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":["` + keyOfTenant + `"],"priority":1,"unit":"token_count","plain_tokens":200,"rate_per_s":90028,"burst":90028}]}`

// crash is a runner's crash under the request.
type crash struct {
	at time.Time
	// inTouch is set if the machines were in touch when the request reached the runner.
	inTouch bool
}

// crashingCase holds what the runners of the case saw.
type crashingCase struct {
	*lab
	mu      sync.Mutex
	crashes []crash
	// lost counts sound requests that a crash of their runner took away.
	lost, served atomic.Int64
	// crashDelay is how long a runner works on the request before it crashes, patience how long
	// its client waits for the answer.
	crashDelay, patience time.Duration
}

// serve runs a request: a sound one takes a while, the other one ends the process.
func (c *crashingCase) serve(p *runnerProcess, w http.ResponseWriter, r *http.Request) {
	if readAll(r) == crashingBody {
		now := time.Now()
		c.mu.Lock()
		c.crashes = append(c.crashes, crash{at: now, inTouch: c.isCoreSettled(now)})
		number := len(c.crashes)
		c.mu.Unlock()
		c.note("runner: %s (%s) begins to run %s, the request that crashes runners: crash %d", p.name, p.id, r.Header.Get(headerAttempt), number)
		time.Sleep(c.crashDelay)
		p.end("has crashed")
		p.restartLater(crashDownTime)
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get(headerAttempt)
	c.note("runner: %s runs %s", p.name, id)
	if !p.work(r, orderWork) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(headerSeal, p.id+"."+id)
	_, _ = fmt.Fprint(w, strings.Repeat("x", 800))
}

// playCrashingRequest sends the same request again and again, each time in a new client attempt
// and at another entry, while the leading control daemon is stopped and started as in a rolling
// restart. The request crashes each runner that begins to run it.
func playCrashingRequest(l *lab) error {
	c := &crashingCase{lab: l, crashDelay: crashDelay, patience: orderDeadline}
	return c.play(c.playRestarts)
}

// play runs the system with sound requests while a case sends the crashing one.
func (c *crashingCase) play(send func() error) error {
	if err := c.prepare(); err != nil {
		return err
	}
	stop := make(chan struct{})
	traffic := sync.WaitGroup{}
	for _, m := range c.ofRole("entry") {
		traffic.Go(func() { c.sendOrders(m, stop) })
	}
	err := send()
	close(stop)
	traffic.Wait()
	if err != nil {
		return err
	}
	return c.judge()
}

// prepare starts the system, three runners and the configuration.
func (c *crashingCase) prepare() error {
	if err := c.startSystem(); err != nil {
		return err
	}
	if err := c.putConfig(orderConfig); err != nil {
		return err
	}
	for i, m := range c.ofRole("control") {
		if err := c.newRunner(i, m).startRunner(); err != nil {
			return err
		}
	}
	if err := c.awaitEntries(); err != nil {
		return err
	}
	for _, m := range c.ofRole("entry") {
		client := newClient(m, orderDeadline)
		if err := c.await(m.name+" serves", func() bool {
			return send(client, m, http.MethodPost, pathOrder, "sound", orderDeadline, nil).status == http.StatusOK
		}); err != nil {
			return err
		}
	}
	c.sleep(contactTime + time.Second)
	return nil
}

// newRunner returns a runner in the zone of a machine.
func (c *crashingCase) newRunner(number int, m machine) *runner {
	return &runner{lab: c.lab, name: fmt.Sprintf("runner-%d", number+1), address: fmt.Sprintf("%s:8308", c.ip(100+number)), zone: m.zone, service: serviceName, version: "v1", slots: 6, serve: c.serve}
}

// sendOrders sends sound requests to an entry until stop closes.
func (c *crashingCase) sendOrders(m machine, stop chan struct{}) {
	client := newClient(m, orderDeadline)
	calls := sync.WaitGroup{}
	defer calls.Wait()
	for {
		calls.Go(func() {
			a := send(client, m, http.MethodPost, pathOrder, "sound", orderDeadline, nil)
			c.note("client: sound request %s at %s: %s", a.id, m.name, a.outcome())
			switch {
			case a.status == http.StatusOK && a.err == nil:
				c.served.Add(1)
			case a.status != http.StatusServiceUnavailable:
				c.lost.Add(1)
			}
		})
		select {
		case <-time.After(orderPause):
		case <-stop:
			return
		}
	}
}

// playRestarts sends the crashing request twice between two restarts of the leader.
func (c *crashingCase) playRestarts() error {
	entries := c.ofRole("entry")
	turn := 0
	for n := range leaderRestarts + 1 {
		for range fatalCrashes - 1 {
			c.sendCrashing(entries[turn%len(entries)])
			turn++
			c.sleep(crashingPause)
		}
		if n == leaderRestarts {
			return nil
		}
		if c.trouble {
			m, err := c.leader()
			if err != nil {
				return err
			}
			if err := c.restart(m, syscall.SIGTERM, coreGrace); err != nil {
				return err
			}
		}
		c.sleep(contactTime + 500*time.Millisecond)
	}
	return nil
}

// sendCrashing sends the crashing request in a new client attempt.
func (c *crashingCase) sendCrashing(m machine) {
	a := send(newClient(m, c.patience), m, http.MethodPost, pathOrder, crashingBody, orderDeadline, nil)
	c.note("client: crashing request %s at %s: %s", a.id, m.name, a.outcome())
}

// judge counts the retries that reached a runner in spite of three crashes.
func (c *crashingCase) judge() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	late := 0
	for i, x := range c.crashes {
		if i >= fatalCrashes && x.inTouch && x.at.Sub(c.crashes[fatalCrashes-1].at) > contactTime {
			late++
		}
	}
	c.note("sound requests: %d answered, %d lost", c.served.Load(), c.lost.Load())
	c.note("crashes: %d; retries that reached a runner over %s after the third: %d, allowed: %d", len(c.crashes), contactTime, late, allowedRetries)
	if len(c.crashes) < fatalCrashes {
		return fmt.Errorf("the request crashed %d runners only", len(c.crashes))
	}
	if late > allowedRetries {
		return fmt.Errorf("%w: BUDGET: %d retries", errBroken, late)
	}
	return nil
}
