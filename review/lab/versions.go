package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	pathDispute  = "/disputa/prov"
	modelService = "modelo-cruce"
	// streamEvents is the number of events of a stream, eventPause the time between two.
	streamEvents = 30
	eventPause   = 100 * time.Millisecond
	firstEvent   = 90 * time.Millisecond
	// streamDeadline is how long a client waits for its whole answer, in all attempts together.
	streamDeadline = 6 * time.Second
	modelSlots     = 5
	modelRunners   = 3
	// releaseDownTime is how long a runner is down between its old and its new version.
	releaseDownTime = time.Second
	// releaseGap is the time between the releases of two runners, serveDelay that from the first
	// heartbeat of a process until it serves.
	releaseGap = 700 * time.Millisecond
	serveDelay = 300 * time.Millisecond
	// lateTimeOfCalls is how late the calls of the runners arrive at the control daemons.
	lateTimeOfCalls = 5 * time.Second
	// drainingCalls is how many control daemons a runner tells that it is draining, exitDelay the
	// time from the last answer, or the end of drain_ms, to its end.
	drainingCalls = 2
	exitDelay     = 200 * time.Millisecond
	// streamDelay is the time from the begin of the release to that of the streams.
	streamDelay = 800 * time.Millisecond
	// takeUpPause is the time after which a client takes up a broken stream.
	takeUpPause = 250 * time.Millisecond
	streams     = 9
)

// streamConfig is a configuration with a route for streams that may be resumed.
const streamConfig = `{"version":3,"routes":[{"name":"r-disputa","hostname":"` + hostName + `","path_prefix":"/disputa/","route_type":"stream","timeout_ms":6000,
"latency_target_ms":800,"priority":1,"backend":"` + modelService + `","max_attempts":2,"public":false,"sticky":true,"resumable":true,"gap_target_ms":300}],
"services":[{"name":"` + modelService + `","health_path":"/health","max_conns":370,"protocol":"h1","tls":false,"engine":{"slots":5,"kv_capacity":510863,"stride":3,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":["` + keyOfTenant + `"],"priority":1,"unit":"token_count","plain_tokens":200,"rate_per_s":90028,"burst":90028}]}`

// versionCase has the runners of a service start again in place, with another version of their
// software.
type versionCase struct {
	*lab
	joined, whole, broken atomic.Int64
}

// serve streams events whose text tells the version of the runner.
func (c *versionCase) serve(p *runnerProcess, w http.ResponseWriter, r *http.Request) {
	id, content := r.Header.Get(headerAttempt), readAll(r)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	c.note("runner: %s (%s, version %s) runs %s, %s after event %d", p.name, p.id, p.version, id, content, last)
	if !p.work(r, firstEvent) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(headerSeal, p.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	for event := last + 1; event <= streamEvents; event++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s of %s\n\n", event, content, p.version)
		_ = http.NewResponseController(w).Flush()
		if !p.work(r, eventPause) {
			panic(http.ErrAbortHandler)
		}
	}
}

// playLateVersion releases a new version while streams run, one runner after the other. Each leaves
// and starts again under its id, while the calls of the runners arrive late.
func playLateVersion(l *lab) error {
	c := &versionCase{lab: l}
	runners, err := c.prepare()
	if err != nil {
		return err
	}
	calls := sync.WaitGroup{}
	calls.Go(func() {
		for _, r := range runners {
			calls.Go(func() { c.release(r, "v2") })
			c.sleep(releaseGap)
		}
	})
	c.sleep(streamDelay)
	entries := c.ofRole("entry")
	for n := range streams {
		calls.Go(func() { c.readStream(fmt.Sprintf("dispute %d", n), entries, n) })
	}
	calls.Wait()
	return c.judge()
}

// prepare starts the system, the runners and the configuration.
func (c *versionCase) prepare() ([]*runner, error) {
	if err := c.startSystem(); err != nil {
		return nil, err
	}
	if err := c.putConfig(streamConfig); err != nil {
		return nil, err
	}
	runners := []*runner{}
	for i, m := range c.ofRole("control") {
		r := &runner{
			lab: c.lab, name: fmt.Sprintf("runner-%d", i+1), address: fmt.Sprintf("%s:8308", c.ip(100+i)), zone: m.zone,
			service: modelService, version: "v1", slots: modelSlots, serve: c.serve,
		}
		if err := r.startRunner(); err != nil {
			return nil, err
		}
		runners = append(runners, r)
	}
	if err := c.awaitEntries(); err != nil {
		return nil, err
	}
	c.sleep(contactTime + time.Second)
	return runners, nil
}

// release has a runner leave and start again with another version under the same id. A process
// announces itself before it serves.
func (c *versionCase) release(r *runner, version string) {
	r.mu.Lock()
	old := r.process
	r.mu.Unlock()
	old.leaves.Store(true)
	if c.sayDraining(old) {
		c.sleep(drainTime + exitDelay)
		status, _ := c.call(http.MethodDelete, c.ofRole("control")[0].address(portControl), "/instances/"+old.id, "")
		c.note("runner: farewell of %s: %d", old.id, status)
	} else {
		c.sleep(exitDelay)
	}
	old.end("ends for its release")
	c.sleep(releaseDownTime)
	r.version = version
	p := r.newProcess(old.id)
	go func() {
		if c.trouble {
			c.note("runner: the heartbeats of %s (%s) arrive %s late", r.name, version, lateTimeOfCalls)
			c.sleep(lateTimeOfCalls)
		}
		p.beat()
	}()
	c.sleep(serveDelay)
	if err := p.serveRequests(); err != nil {
		c.note("runner: %s does not serve: %v", r.name, err)
	}
}

// sayDraining reports that a process is draining, to one control daemon after the other, and
// whether that is acknowledged. With the disruption the calls arrive late, and the runner ends
// without an acknowledgement.
func (c *versionCase) sayDraining(p *runnerProcess) bool {
	controls := c.ofRole("control")
	for i := range drainingCalls {
		m, body := controls[i%len(controls)], p.report(int(p.lastSeq.Load())+1+i, "draining")
		answered := make(chan int, 1)
		go func() {
			if c.trouble {
				c.sleep(lateTimeOfCalls)
			}
			status, _ := c.call(http.MethodPut, m.address(portControl), "/instances/"+p.id, body)
			c.note("runner: %s (%s) says to %s that it is draining: %d", p.name, p.id, m.name, status)
			answered <- status
		}()
		select {
		case status := <-answered:
			if status == http.StatusOK {
				return true
			}
		case <-time.After(heartbeatTimeout):
			c.note("runner: %s (%s) has no answer from %s that it is draining", p.name, p.id, m.name)
		}
	}
	return false
}

// readStream reads one stream, and takes it up where it broke off.
func (c *versionCase) readStream(content string, entries []machine, turn int) {
	last, versions := 0, []string{}
	for end := time.Now().Add(streamDeadline); last < streamEvents && time.Now().Before(end); turn++ {
		m := entries[turn%len(entries)]
		id := newID()
		request, err := http.NewRequest(http.MethodPost, "http://"+hostName+pathDispute, strings.NewReader(content))
		if err != nil {
			return
		}
		for name, value := range map[string]string{
			headerAttempt: id, headerDeadline: fmt.Sprint(time.Until(end).Milliseconds()), "Authorization": "Token " + keyOfTenant,
			"X-Model": "m", "X-Token-Usage": "1000,90", "X-Prompt-Prefix": "aa:60," + strings.Map(hexOnly, content) + ":940",
		} {
			request.Header.Set(name, value)
		}
		if last > 0 {
			request.Header.Set("Last-Event-Id", strconv.Itoa(last))
		}
		c.note("client: %s sent to %s as %s after event %d", content, m.name, id, last)
		status, seen := c.readEvents(newClient(m, time.Until(end)), request, content, &last)
		c.note("client: %s as %s: status %d, up to event %d, versions %v", content, id, status, last, seen)
		versions = appendNew(versions, seen)
		c.sleep(takeUpPause)
	}
	switch {
	case len(versions) > 1:
		c.joined.Add(1)
		c.note("client: %s is joined from the versions %v", content, versions)
	case last == streamEvents:
		c.whole.Add(1)
	default:
		c.broken.Add(1)
	}
}

// hexOnly keeps the hexadecimal digits of a text.
func hexOnly(r rune) rune {
	if strings.ContainsRune("0123456789abcdef", r) {
		return r
	}
	return -1
}

// appendNew appends the texts that are not in a list yet.
func appendNew(list, more []string) []string {
	for _, text := range more {
		if len(list) == 0 || list[len(list)-1] != text {
			list = append(list, text)
		}
	}
	return list
}

// readEvents reads the events of one answer. It returns its status and the versions that wrote them,
// and moves last on.
func (c *versionCase) readEvents(client *http.Client, request *http.Request, content string, last *int) (int, []string) {
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	versions := []string{}
	if response.StatusCode != http.StatusOK {
		return response.StatusCode, versions
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			*last, _ = strconv.Atoi(text)
		}
		if version, ok := strings.CutPrefix(lines.Text(), "data: "+content+" of "); ok {
			versions = appendNew(versions, []string{version})
		}
	}
	return response.StatusCode, versions
}

// judge reports whether a stream was joined from two versions.
func (c *versionCase) judge() error {
	c.note("streams: %d joined from two versions, %d whole from one, %d not finished", c.joined.Load(), c.whole.Load(), c.broken.Load())
	if n := c.joined.Load(); n > 0 {
		return fmt.Errorf("%w: ORDER: %d streams are joined from two versions", errBroken, n)
	}
	return nil
}
