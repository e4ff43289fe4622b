package forward

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/verbenastep/verbenastep/core/routes"
)

// randomPlay is one request with upstreams, a broker and a caller that behave at random.
type randomPlay struct {
	t    *testing.T
	seed uint64
	// route is that of the request; attempts is how many upstreams may run it.
	route    string
	attempts int
	runs     atomic.Int64

	mu   sync.Mutex
	rand *rand.Rand
}

func newRandomPlay(t *testing.T, seed uint64) *randomPlay {
	return &randomPlay{
		t: t, seed: seed, route: []string{"idempotent", "resumable"}[seed%2], attempts: 2 + int(seed/2%2),
		rand: rand.New(rand.NewPCG(seed, 1)),
	}
}

func (p *randomPlay) draw(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rand.IntN(n)
}

// respond is the script of all upstreams.
func (p *randomPlay) respond(c net.Conn, r *http.Request, body string) {
	time.Sleep([]time.Duration{0, 0, 150 * time.Millisecond, 400 * time.Millisecond, 900 * time.Millisecond}[p.draw(5)])
	kind := p.draw(10)
	if kind < 2 {
		rejectNotRun(c, r, body)
		return
	}
	p.runs.Add(1)
	switch {
	case kind == 2:
		_ = c.Close()
	case kind == 3:
		respondWith(500, "", "failed")(c, r, body)
	case kind == 4 && p.route == "resumable":
		respondWith(404, "", "other")(c, r, body)
	case p.route == "idempotent":
		respondWith(200, "", "fine")(c, r, body)
	default:
		headerThen(func(c net.Conn) { p.sendEvents(c, r) })(c, r, body)
	}
}

// sendEvents sends the rest of a stream, with pauses, gaps and breaks.
func (p *randomPlay) sendEvents(c net.Conn, r *http.Request) {
	last := 0
	_, _ = fmt.Sscan(r.Header.Get("Last"), &last)
	for i := last + 1; i <= 5; i++ {
		switch p.draw(12) {
		case 0:
			time.Sleep(streamSilence)
		case 1:
			_ = c.Close()
			return
		case 2:
			if i > 1 {
				i++
			}
		}
		_, _ = io.WriteString(c, chunk(fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)))
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
}

// entry returns an entry with six upstreams and a broker that delays and refuses.
func (p *randomPlay) entry() (*testEntry, *scriptedBroker) {
	addresses := []string{}
	for range 6 {
		addresses = append(addresses, newUpstream(p.t, p.respond).address())
	}
	r := newTestEntry(p.t)
	table := testTable()
	for i := range table.Routes {
		table.Routes[i].MaxAttempts = p.attempts
	}
	r.service.view = testView{routes.NewIndex(table)}
	b := &scriptedBroker{acquire: func(ctx context.Context, n int) (string, error) {
		if d := p.draw(4); d > 1 {
			if err := waitFor(ctx, time.Duration(d-1)*250*time.Millisecond); err != nil {
				return "", err
			}
		}
		if n > len(addresses) || n > 1 && p.draw(5) == 0 {
			return "", overloaded()
		}
		return addresses[n-1], nil
	}}
	r.service.brokerClient = b
	return r, b
}

// call sends the request; with canceled set, the caller may disconnect early.
func (p *randomPlay) call(r *testEntry, canceled bool) (status int, body string, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if canceled {
		time.AfterFunc(time.Duration(p.draw(1200))*time.Millisecond, cancel)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.server.URL+"/"+p.route+"/x", strings.NewReader("b"))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Id", "a")
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// run plays the request and checks what the caller, the broker and the upstreams saw.
func (p *randomPlay) run() {
	r, b := p.entry()
	canceled := p.draw(5) == 0
	status, body, err := p.call(r, canceled)
	// Close returns once all handlers have ended.
	ended := make(chan struct{})
	go func() {
		r.server.Close()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(3 * time.Second):
		p.t.Errorf("seed %d: the handler has not ended 3 s after the response", p.seed)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for n, ends := range b.ends {
		assert.Len(p.t, ends, 1, "seed %d: ends of grant %d", p.seed, n)
	}
	runs := p.runs.Load()
	assert.LessOrEqual(p.t, runs, int64(p.attempts), "seed %d: upstreams that ran the request", p.seed)
	if canceled {
		return
	}
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		assert.Zero(p.t, runs, "seed %d: refused with %d %s", p.seed, status, body)
	}
	if status == http.StatusOK && err == nil && p.route == "resumable" {
		want := ""
		for i := 1; i <= strings.Count(body, "id: "); i++ {
			want += fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
		}
		assert.Equal(p.t, want, body, "seed %d: events lost or doubled", p.seed)
	}
}

// TestGrantsEndOnce plays random upstreams, brokers and callers. It guards against grants
// that end twice or never, refusals of requests that ran, more runs than the route allows
// and events that are lost or doubled.
func TestGrantsEndOnce(t *testing.T) {
	t.Parallel()
	const plays, concurrent = 400, 48
	limit := make(chan struct{}, concurrent)
	wg := sync.WaitGroup{}
	for seed := range uint64(plays) {
		limit <- struct{}{}
		wg.Go(func() {
			defer func() { <-limit }()
			newRandomPlay(t, seed).run()
		})
	}
	wg.Wait()
}
