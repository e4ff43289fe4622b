package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// drainTime is the bound drain_ms.
	drainTime = 2500 * time.Millisecond
	// cutTime is how long the runner is cut off from the control daemons after its start.
	cutTime = 4 * time.Second
	// leaveDelay is the time from the end of the cut to the runner's farewell.
	leaveDelay = 100 * time.Millisecond
	// lateTime is how long after the end of the cut the bytes arrive that it held up.
	lateTime = 1800 * time.Millisecond
	// serveTime is how long the runner serves after the acknowledgement of its farewell.
	serveTime = drainTime + 3*time.Second
	// heartbeatTimeout is how long a runner waits for the answer to a heartbeat.
	heartbeatTimeout = time.Second
	// leavingOrderPause is the time between two requests to one entry.
	leavingOrderPause = 30 * time.Millisecond
)

// leavingCase has a runner that starts and leaves while its first heartbeats are still on the way.
type leavingCase struct {
	*lab
	// leaving is the process that leaves, ackedAt when its farewell was acknowledged.
	leaving *runnerProcess
	// cutUntil is when the cut ends, heldUntil when the bytes that it held up arrive.
	cutUntil, heldUntil time.Time

	mu           sync.Mutex
	ackedAt      time.Time
	acked        bool
	late         int
	lost, served atomic.Int64
}

// serve runs an order.
func (c *leavingCase) serve(p *runnerProcess, w http.ResponseWriter, r *http.Request) {
	id, now := r.Header.Get(headerAttempt), time.Now()
	c.mu.Lock()
	isLate := p == c.leaving && c.acked && now.Sub(c.ackedAt) > drainTime
	if isLate {
		c.late++
	}
	since := now.Sub(c.ackedAt)
	c.mu.Unlock()
	c.note("runner: %s (%s) runs %s", p.name, p.id, id)
	if isLate {
		c.note("runner: %s got %s %d ms after its farewell was acknowledged", p.id, id, since.Milliseconds())
	}
	if !p.work(r, orderWork) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(headerSeal, p.id+"."+id)
	_, _ = fmt.Fprint(w, strings.Repeat("x", 800))
}

// playLateHeartbeat starts a third runner behind a cut from the control daemons. It leaves as soon
// as the cut ends; its earlier heartbeats arrive after that.
func playLateHeartbeat(l *lab) error {
	c := &leavingCase{lab: l}
	if err := c.prepare(); err != nil {
		return err
	}
	stop := make(chan struct{})
	traffic := sync.WaitGroup{}
	for _, m := range c.ofRole("entry") {
		traffic.Go(func() { c.sendOrders(m, stop) })
	}
	err := c.startAndLeave()
	close(stop)
	traffic.Wait()
	if err != nil {
		return err
	}
	return c.judge()
}

// prepare starts the system, two runners and the configuration.
func (c *leavingCase) prepare() error {
	if err := c.startSystem(); err != nil {
		return err
	}
	if err := c.putConfig(orderConfig); err != nil {
		return err
	}
	for i := range 2 {
		if err := c.newRunner(i).startRunner(); err != nil {
			return err
		}
	}
	if err := c.awaitEntries(); err != nil {
		return err
	}
	c.sleep(contactTime + time.Second)
	return nil
}

func (c *leavingCase) newRunner(number int) *runner {
	m := c.ofRole("control")[number]
	return &runner{lab: c.lab, name: fmt.Sprintf("runner-%d", number+1), address: fmt.Sprintf("%s:8308", c.ip(100+number)), zone: m.zone, service: serviceName, version: "v1", slots: 6, serve: c.serve}
}

// sendOrders sends requests to an entry until stop closes.
func (c *leavingCase) sendOrders(m machine, stop chan struct{}) {
	client := newClient(m, orderDeadline)
	calls := sync.WaitGroup{}
	defer calls.Wait()
	for {
		calls.Go(func() {
			a := send(client, m, http.MethodPost, pathOrder, "sound", orderDeadline, nil)
			c.note("client: request %s at %s: %s", a.id, m.name, a.outcome())
			switch {
			case a.status == http.StatusOK && a.err == nil:
				c.served.Add(1)
			case a.status != http.StatusServiceUnavailable:
				c.lost.Add(1)
			}
		})
		select {
		case <-time.After(leavingOrderPause):
		case <-stop:
			return
		}
	}
}

// startAndLeave plays the third runner from its start to its end.
func (c *leavingCase) startAndLeave() error {
	r := c.newRunner(2)
	now := time.Now()
	c.cutUntil, c.heldUntil = now.Add(cutTime), now.Add(cutTime+lateTime)
	if !c.trouble {
		c.cutUntil, c.heldUntil = now, now
	}
	p, err := r.listen()
	if err != nil {
		return err
	}
	c.leaving = p
	c.note("platform: %s is cut off from the control daemons for %s", r.name, max(0, time.Until(c.cutUntil)).Round(time.Millisecond))
	leave := make(chan struct{})
	beats := sync.WaitGroup{}
	beats.Go(func() { c.beat(p, leave) })
	c.sleep(cutTime + leaveDelay)
	close(leave)
	beats.Wait()
	if err := c.sayFarewell(p); err != nil {
		return err
	}
	c.sleep(serveTime)
	p.end("has ended, as it said")
	c.sleep(2 * time.Second)
	return nil
}

// beat sends heartbeats to the control daemons in turn until the runner leaves. An answer that
// does not come in time makes it turn to the next one.
func (c *leavingCase) beat(p *runnerProcess, leave chan struct{}) {
	controls := c.ofRole("control")
	turn := rand.IntN(len(controls))
	for seq := 1; ; seq++ {
		for range controls {
			select {
			case <-leave:
				return
			default:
			}
			m := controls[turn%len(controls)]
			if c.sendHeartbeat(p, m, seq, leave) {
				break
			}
			turn++
		}
		select {
		case <-leave:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// sendHeartbeat sends one heartbeat and reports whether it is acknowledged in time. While the cut
// lasts the bytes are held up, and they arrive some time after it.
func (c *leavingCase) sendHeartbeat(p *runnerProcess, m machine, seq int, leave chan struct{}) bool {
	body := p.heartbeat(seq)
	if time.Now().After(c.cutUntil) {
		status, _ := c.call(http.MethodPut, m.address(portControl), "/instances/"+p.id, body)
		c.note("runner: heartbeat %d of %s to %s: %d", seq, p.id, m.name, status)
		return status == http.StatusOK
	}
	c.note("runner: heartbeat %d of %s to %s is held up", seq, p.id, m.name)
	go c.deliverLate(p, m, seq, body)
	select {
	case <-time.After(heartbeatTimeout):
	case <-leave:
	}
	return false
}

// deliverLate lets the bytes of a heartbeat arrive after the cut.
func (c *leavingCase) deliverLate(p *runnerProcess, m machine, seq int, body string) {
	c.sleep(time.Until(c.heldUntil))
	conn, err := net.Dial("tcp", m.address(portControl))
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "PUT /instances/%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", p.id, m.address(portControl), len(body), body)
	_ = conn.SetReadDeadline(time.Now().Add(heartbeatTimeout))
	answer, _ := io.ReadAll(conn)
	status, _, _ := strings.Cut(string(answer), "\r\n")
	c.note("runner: heartbeat %d of %s, held up by the cut, arrives at %s: %s", seq, p.id, m.name, status)
}

// sayFarewell sends the runner's farewell until a control daemon acknowledges it.
func (c *leavingCase) sayFarewell(p *runnerProcess) error {
	controls := c.ofRole("control")
	for i := range 3 * len(controls) {
		m := controls[i%len(controls)]
		status, _ := c.call(http.MethodDelete, m.address(portControl), "/instances/"+p.id, "")
		c.note("runner: farewell of %s to %s: %d", p.id, m.name, status)
		if status == http.StatusOK {
			c.mu.Lock()
			c.ackedAt, c.acked = time.Now(), true
			c.mu.Unlock()
			return nil
		}
	}
	return fmt.Errorf("no control daemon acknowledged the farewell")
}

// judge counts the requests that the runner got too late.
func (c *leavingCase) judge() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.note("requests: %d answered, %d lost", c.served.Load(), c.lost.Load())
	c.note("requests that reached the runner over %s after the acknowledgement of its farewell: %d", drainTime, c.late)
	if c.late > 0 {
		return fmt.Errorf("%w: DRAIN: %d requests", errBroken, c.late)
	}
	return nil
}
