package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	pathReview   = "/cruce/total"
	modelService = "modelo-cruce"
	// promptTokens and outputTokens are what each request states; a request counts as the sum.
	promptTokens = 3800
	outputTokens = 200
	// tenantRate and tenantBurst are the quota of the tenant, in tokens per second and tokens.
	tenantRate  = 90028
	tenantBurst = 90028
	// quotaWindow, quotaOvershoot and quotaSlack are the bounds of the deployment.
	quotaWindow    = 8 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 190000
	// hotRequests is the number of requests a second while the tenant sends many times its usual.
	// Its quota is 1.8 times the usual, so this is 4.2 times the quota.
	hotRequests = 95
	// hotTime is how long it does, shedShare the share of requests that runners shed meanwhile.
	hotTime   = 11 * time.Second
	shedTime  = 13 * time.Second
	shedShare = 0.45
	// reviewWork is the time that a runner takes for a request.
	reviewWork     = 60 * time.Millisecond
	reviewDeadline = 12 * time.Second
	modelRunners   = 12
	modelSlots     = 5
)

// quotaConfig is a configuration with a route to engines and a tenant with a quota.
var quotaConfig = fmt.Sprintf(`{"version":3,"routes":[{"name":"r-cruce","hostname":%q,"path_prefix":"/cruce/","route_type":"stream","timeout_ms":12000,
"latency_target_ms":1000,"priority":0,"backend":%q,"max_attempts":1,"public":false,"sticky":true,"resumable":false,"gap_target_ms":300}],
"services":[{"name":%q,"health_path":"/health","max_conns":370,"protocol":"h1","tls":false,"engine":{"slots":5,"kv_capacity":510863,"stride":3,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":[%q],"priority":1,"unit":"token_count","plain_tokens":200,"rate_per_s":%d,"burst":%d}]}`,
	hostName, modelService, modelService, keyOfTenant, tenantRate, tenantBurst)

// ran is a request that a runner ran.
type ran struct {
	sentAt time.Time
	at     time.Time
}

// quotaCase holds what clients sent and runners ran.
type quotaCase struct {
	*lab
	sheds atomic.Bool

	mu sync.Mutex
	// sent holds when each request was sent, by its id.
	sent map[string]time.Time
	runs []ran
	// shed counts the rejections, answers the answers by status.
	shed    int
	answers map[int]int
}

func (c *quotaCase) serve(p *runnerProcess, w http.ResponseWriter, r *http.Request) {
	id, now := r.Header.Get(headerAttempt), time.Now()
	if c.sheds.Load() && rand.Float64() < shedShare {
		c.mu.Lock()
		c.shed++
		c.mu.Unlock()
		c.note("runner: %s sheds %s", p.name, id)
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	c.mu.Lock()
	c.runs = append(c.runs, ran{sentAt: c.sent[id], at: now})
	c.mu.Unlock()
	c.note("runner: %s runs %s of tenant %s", p.name, id, r.Header.Get("X-Tenant"))
	w.Header().Set(headerSeal, p.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	if !p.work(r, reviewWork) {
		panic(http.ErrAbortHandler)
	}
	for event := range 3 {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: text\n\n", event+1)
	}
}

// playQuota has one tenant send far more than its quota while the runners shed a part of their
// requests, which says that these have not run.
func playQuota(l *lab) error {
	c := &quotaCase{lab: l, sent: map[string]time.Time{}, answers: map[int]int{}}
	if err := c.prepare(); err != nil {
		return err
	}
	c.sheds.Store(c.trouble)
	end := time.AfterFunc(shedTime, func() { c.sheds.Store(false) })
	defer end.Stop()
	c.sendHot()
	return c.judge()
}

// prepare starts the system, the runners and the configuration.
func (c *quotaCase) prepare() error {
	if err := c.startSystem(); err != nil {
		return err
	}
	if err := c.putConfig(quotaConfig); err != nil {
		return err
	}
	controls := c.ofRole("control")
	for i := range modelRunners {
		r := &runner{
			lab: c.lab, name: fmt.Sprintf("runner-%d", i+1), address: fmt.Sprintf("%s:8308", c.ip(100+i)), zone: controls[i%len(controls)].zone,
			service: modelService, version: "v1", slots: modelSlots, serve: c.serve,
		}
		if err := r.startRunner(); err != nil {
			return err
		}
	}
	if err := c.awaitEntries(); err != nil {
		return err
	}
	for _, m := range c.ofRole("entry") {
		client := newClient(m, reviewDeadline)
		if err := c.await(m.name+" serves", func() bool { return c.sendReview(client, m).status == http.StatusOK }); err != nil {
			return err
		}
	}
	// A usual load, within the quota, until the upstreams are known and the quota is full again.
	return c.sendUsual(contactTime + quotaWindow/2)
}

// sendUsual sends a load well within the quota.
func (c *quotaCase) sendUsual(d time.Duration) error {
	entries := c.ofRole("entry")
	calls := sync.WaitGroup{}
	for i, end := 0, time.Now().Add(d); time.Now().Before(end); i++ {
		m := entries[i%len(entries)]
		calls.Go(func() { c.sendReview(newClient(m, reviewDeadline), m) })
		c.sleep(time.Second / 12)
	}
	calls.Wait()
	return nil
}

// sendReview sends one request of the tenant.
func (c *quotaCase) sendReview(client *http.Client, m machine) attempt {
	id := newID()
	c.mu.Lock()
	c.sent[id] = time.Now()
	c.mu.Unlock()
	a := send(client, m, http.MethodPost, pathReview, "invoice "+id, reviewDeadline, map[string]string{
		headerAttempt: id, "X-Model": "m", "X-Token-Usage": fmt.Sprintf("%d,%d", promptTokens, outputTokens), "X-Prompt-Prefix": id[:8] + ":3800",
	})
	c.mu.Lock()
	c.answers[a.status]++
	c.mu.Unlock()
	c.note("client: %s at %s: %s", id, m.name, a.outcome())
	return a
}

// sendHot sends the load of the hot tenant over all entries.
func (c *quotaCase) sendHot() {
	entries := c.ofRole("entry")
	clients := []*http.Client{}
	for _, m := range entries {
		clients = append(clients, newClient(m, reviewDeadline))
	}
	c.note("client: the tenant sends %d requests of %d tokens a second for %s", hotRequests, promptTokens+outputTokens, hotTime)
	calls := sync.WaitGroup{}
	began := time.Now()
	for i := range int(hotTime.Seconds() * hotRequests) {
		c.sleep(time.Until(began.Add(time.Duration(i) * time.Second / hotRequests)))
		n := i % len(entries)
		calls.Go(func() { c.sendReview(clients[n], entries[n]) })
	}
	calls.Wait()
}

// judge compares the tokens that were sent and run in each window with the quota.
func (c *quotaCase) judge() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	allowed := (tenantRate*quotaWindow.Seconds()+tenantBurst)*(1+quotaOvershoot) + quotaSlack
	most := 0
	for _, first := range c.runs {
		tokens := 0
		for _, x := range c.runs {
			if !x.sentAt.Before(first.sentAt) && x.at.Before(first.sentAt.Add(quotaWindow)) {
				tokens += promptTokens + outputTokens
			}
		}
		most = max(most, tokens)
	}
	c.note("requests: %d sent, %d run, %d rejections by runners; answers by status: %v", len(c.sent), len(c.runs), c.shed, c.answers)
	c.note("tokens sent and run within %s: %d, allowed: %.0f", quotaWindow, most, allowed)
	if float64(most) > allowed {
		return fmt.Errorf("%w: QUOTA: %d tokens", errBroken, most)
	}
	return nil
}
