package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/core/routes"
	"github.com/verbenastep/verbenastep/internal/port"
)

const (
	// drainEventTokens is the number of tokens in an event, drainTokenTime the time per token of
	// the upstreams in these tests.
	drainEventTokens = 10
	drainTokenTime   = time.Millisecond
)

// paceUpstream sends streams of as many tokens as the request states in its header Tokens, one
// event every drainEventTokens.
func paceUpstream(c net.Conn, r *http.Request, _ string) {
	tokens, _ := strconv.Atoi(r.Header.Get("Tokens"))
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
	for i := 1; i*drainEventTokens <= tokens; i++ {
		time.Sleep(drainEventTokens * drainTokenTime)
		e := fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
			return
		}
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
}

// paceBroker grants one upstream to every request and knows its time per token. Requests wait
// for their grants while held is open.
type paceBroker struct {
	endlessBroker
	held chan struct{}
	// isUnmeasured is set if the time per token is that of other upstreams.
	isUnmeasured bool
}

func (c *paceBroker) Acquire(ctx context.Context, o port.BrokerOffer) (port.BrokerTicket, error) {
	select {
	case <-c.held:
	case <-ctx.Done():
		return port.BrokerTicket{}, ctx.Err()
	}
	return c.endlessBroker.Acquire(ctx, o)
}

func (c *paceBroker) ExpectedDuration(o broker.Offer, _ string) broker.DurationEstimate {
	basis := broker.UpstreamBasis
	if c.isUnmeasured {
		basis = broker.PoolBasis
	}
	return broker.DurationEstimate{Duration: time.Duration(o.OutputTokens) * drainTokenTime, Basis: basis}
}

// caller is a caller that keeps one connection open.
type caller struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func (r *testEntry) connect(t *testing.T) *caller {
	t.Helper()
	c, err := net.Dial("tcp", r.server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(2 * stopTimeout))
	return &caller{t: t, conn: c, in: bufio.NewReader(c)}
}

// send sends a request for a stream of a number of tokens.
func (c *caller) send(route string, tokens int) {
	c.t.Helper()
	_, err := fmt.Fprintf(c.conn, "POST /%s/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: attempt-1\r\nTokens: %d\r\nContent-Length: 0\r\n\r\n", route, tokens)
	require.NoError(c.t, err)
}

// receive returns the status of the response, and an error if the response is incomplete.
func (c *caller) receive() (*http.Response, error) {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}

// requireRefusal checks that a response says that the request did not run and that the caller
// should connect elsewhere soon.
func requireRefusal(t *testing.T, resp *http.Response, err error) {
	t.Helper()
	require.NoError(t, err, "cut off without a complete answer")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.True(t, resp.Close)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
}

// pacedGrace is the grace period of an entry before a paced upstream. It leaves a busy machine time
// for what must end before it does.
const pacedGrace = 3 * time.Second

// newPacedEntry returns an entry with a planned stop within pacedGrace, before an upstream that
// streams at a known pace.
func newPacedEntry(t *testing.T) (r *testEntry, b *paceBroker, u *scriptedUpstream, stop func()) {
	t.Helper()
	u = newUpstream(t, paceUpstream)
	r, _ = newStoppingEntry(t)
	r.service.set.Routing.GraceMS = float64(pacedGrace.Milliseconds())
	stop = func() {
		require.NoError(t, r.service.Drain(context.Background()))
		_ = r.service.Stop(context.Background())
	}
	held := make(chan struct{})
	close(held)
	b = &paceBroker{endlessBroker: endlessBroker{address: u.ln.Addr().String()}, held: held}
	table := testTable()
	table.Pools[0].Engine = &routes.Engine{Slots: 4, EventTokens: drainEventTokens}
	r.service.brokerClient, r.service.dialect, r.service.view = b, tokenDialect{}, testView{routes.NewIndex(table)}
	return r, b, u, stop
}

// tokenDialect also reads the length of the response from the header Tokens.
type tokenDialect struct{ testDialect }

func (d tokenDialect) Read(h http.Header) RequestMeta {
	m := d.testDialect.Read(h)
	m.MaxTokens, _ = strconv.Atoi(h.Get("Tokens"))
	m.HasTokenCounts = m.MaxTokens > 0
	return m
}

// TestDrainBeginsNothingOnOpenConnectionsThatItMustAbort guards against streams that are cut off at
// the end of the grace period: their callers sent them after the stop began, on connections that
// had carried a stream whose header did not say that they close.
func TestDrainBeginsNothingOnOpenConnectionsThatItMustAbort(t *testing.T) {
	t.Parallel()
	r, _, u, stop := newPacedEntry(t)
	callers := sync.WaitGroup{}
	for i := range 8 {
		c := r.connect(t)
		c.send("stream", 900+20*i) // until after the listener closes
		callers.Go(func() {
			first, err := c.receive()
			require.NoError(t, err)
			require.False(t, first.Close)
			c.send("stream", 6000)
			if resp, err := c.receive(); err == nil || resp != nil {
				requireRefusal(t, resp, err)
			}
		})
	}
	require.Eventually(t, func() bool { return r.service.stages.count()[stageResponding] == 8 }, stopTimeout, time.Millisecond)
	stop()
	callers.Wait()
	require.Equal(t, 8, u.requests(), "requests that can't end in time reach no upstream")
}

// TestDrainBeginsNothingOnNewConnectionsThatItMustAbort guards against streams that are cut off at
// the end of the grace period: their callers still had an answer of the directory that named the
// entry. A stream that ends in time is served.
func TestDrainBeginsNothingOnNewConnectionsThatItMustAbort(t *testing.T) {
	t.Parallel()
	r, _, _, stop := newPacedEntry(t)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		stop()
	}()
	require.Eventually(t, r.service.isDraining, stopTimeout, time.Millisecond)
	time.Sleep(200 * time.Millisecond)
	short, long := r.connect(t), r.connect(t)
	short.send("stream", 100)
	long.send("stream", 6000)
	resp, err := long.receive()
	requireRefusal(t, resp, err)
	resp, err = short.receive()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	<-stopped
}

// TestDrainRefusesWhatWaitsForAGrantTooLong guards against requests that are closed without an
// answer, or cut off after a late grant, since they waited for an upstream when the stop began.
func TestDrainRefusesWhatWaitsForAGrantTooLong(t *testing.T) {
	t.Parallel()
	for name, tokens := range map[string]int{"long": 2000, "short": 20} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, b, u, stop := newPacedEntry(t)
			b.held = make(chan struct{})
			c := r.connect(t)
			c.send("stream", tokens)
			require.Eventually(t, func() bool { return r.service.stages.count()[stageWaiting] == 1 }, stopTimeout, time.Millisecond)
			go stop()
			resp, err := c.receive()
			requireRefusal(t, resp, err)
			require.Zero(t, u.requests())
		})
	}
}

// TestDrainAnswersWhatHasNoAnswerYet guards against callers that see a closed connection at the
// end of the grace period where an answer is possible: the request was sent and may have run.
func TestDrainAnswersWhatHasNoAnswerYet(t *testing.T) {
	t.Parallel()
	r, _, _, stop := newPacedEntry(t)
	u := newUpstream(t, sendNothing)
	r.service.brokerClient = &endlessBroker{address: u.ln.Addr().String()}
	c := r.connect(t)
	c.send("once", 0)
	require.Eventually(t, func() bool { return u.requests() == 1 }, stopTimeout, time.Millisecond)
	go stop()
	resp, err := c.receive()
	require.NoError(t, err, "cut off without an answer")
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.True(t, resp.Close)
}

// sequenceBroker grants upstreams in order, and knows their time per token.
type sequenceBroker struct {
	paceBroker
	mu        sync.Mutex
	addresses []string
}

func (c *sequenceBroker) Acquire(ctx context.Context, o port.BrokerOffer) (port.BrokerTicket, error) {
	// A canceled wait must not win against a grant by chance.
	select {
	case <-ctx.Done():
		return port.BrokerTicket{}, ctx.Err()
	case <-time.After(5 * time.Millisecond):
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	address := c.addresses[0]
	c.addresses = c.addresses[min(1, len(c.addresses)-1):]
	return port.BrokerTicket{Grant: broker.Grant{ID: o.ID, Upstream: address, Address: address}, End: func(broker.End) {}}, nil
}

// TestDrainGoesOnWithWhatMayHaveRun guards against streams that are broken off, and requests that
// are answered 502, as an upstream fails during a planned stop: another one could go on in time, and
// they can't be refused any more.
func TestDrainGoesOnWithWhatMayHaveRun(t *testing.T) {
	t.Parallel()
	breakOff := func(c net.Conn, r *http.Request, _ string) {
		streamEvents(1, 1, false)(c, r, "")
	}
	for name, x := range map[string]struct {
		route         string
		first, second script
	}{
		"resumption": {"resumable", breakOff, streamEvents(2, 3, true)},
		"retry":      {"idempotent", closeConnection, respondWith(http.StatusOK, "", "a")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, _, _, stop := newPacedEntry(t)
			first := newUpstream(t, func(c net.Conn, r *http.Request, body string) {
				time.Sleep(1900 * time.Millisecond) // too late for a request of this length
				x.first(c, r, body)
			})
			second := newUpstream(t, x.second)
			r.service.brokerClient = &sequenceBroker{addresses: []string{first.ln.Addr().String(), second.ln.Addr().String()}}
			c := r.connect(t)
			c.send(x.route, 900)
			require.Eventually(t, func() bool { return first.requests() == 1 }, stopTimeout, time.Millisecond)
			go stop()
			resp, err := c.receive()
			require.NoError(t, err, "broken off; the second upstream got %d requests", second.requests())
			require.Equal(t, http.StatusOK, resp.StatusCode)
		})
	}
}

// TestDrainBeginsNothingBeyondItsContext guards against requests that are begun and cut off since the
// entry may not drain for as long as its settings say.
func TestDrainBeginsNothingBeyondItsContext(t *testing.T) {
	t.Parallel()
	r, _, u, _ := newPacedEntry(t)
	ctx, cancel := context.WithTimeout(context.Background(), r.service.set.Routing.DrainTime()/2)
	defer cancel()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = r.service.Drain(ctx)
	}()
	require.Eventually(t, r.service.isDraining, stopTimeout, time.Millisecond)
	c := r.connect(t)
	c.send("stream", 1300)
	resp, err := c.receive()
	requireRefusal(t, resp, err)
	require.Zero(t, u.requests())
	<-stopped
}

// lateBroker grants the first attempt at once and further ones after a while.
type lateBroker struct {
	paceBroker
	mu        sync.Mutex
	addresses []string
	attempts  int
	late      time.Duration
}

func (c *lateBroker) Acquire(ctx context.Context, o port.BrokerOffer) (port.BrokerTicket, error) {
	c.mu.Lock()
	i := c.attempts
	c.attempts++
	c.mu.Unlock()
	if i > 0 {
		select {
		case <-time.After(c.late):
		case <-ctx.Done():
			return port.BrokerTicket{}, ctx.Err()
		}
	}
	a := c.addresses[min(i, len(c.addresses)-1)]
	return port.BrokerTicket{Grant: broker.Grant{ID: o.ID, Upstream: "u-" + a, Address: a}, End: func(broker.End) {}}, nil
}

// TestDrainRefusesReplacementsOfWhatDidNotRun guards against streams that are begun and cut off: a
// replacement waited for its grant, as the silent upstream said that it had not run the request.
func TestDrainRefusesReplacementsOfWhatDidNotRun(t *testing.T) {
	t.Parallel()
	rejectLate := func(c net.Conn, r *http.Request, b string) {
		time.Sleep(750 * time.Millisecond)
		rejectNotRun(c, r, b)
	}
	first, second := newUpstream(t, rejectLate), newUpstream(t, paceUpstream)
	r, _, _, stop := newPacedEntry(t)
	r.service.brokerClient = &lateBroker{addresses: []string{first.ln.Addr().String(), second.ln.Addr().String()}, late: 400 * time.Millisecond}
	c := r.connect(t)
	c.send("resumable", 3000)
	require.Eventually(t, func() bool { return first.requests() == 1 }, stopTimeout, time.Millisecond)
	time.Sleep(minEngineResponseTimeout / 2)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		stop()
	}()
	resp, err := c.receive()
	requireRefusal(t, resp, err)
	require.Zero(t, second.requests())
	<-stopped
}

// TestDrainAnswersLateRequestsThatMayNotBeRepeated guards against requests that are sent late in the
// grace period on connections that are open, are passed on to an upstream, and are cut off without
// an answer at the end: their callers can't send them again. A request that is refused must not run.
func TestDrainAnswersLateRequestsThatMayNotBeRepeated(t *testing.T) {
	t.Parallel()
	const maxTokens = 3000
	r, _, u, stop := newPacedEntry(t)
	u.scripts = []script{func(c net.Conn, req *http.Request, body string) {
		tokens, _ := strconv.Atoi(req.Header.Get("Tokens"))
		time.Sleep(time.Duration(tokens) * drainTokenTime)
		respondWith(http.StatusOK, "", "a")(c, req, body)
	}}
	mu, answered := sync.Mutex{}, map[string]int{}
	calls := sync.WaitGroup{}
	began := time.Now()
	for at := time.Duration(0); at < pacedGrace; at += pacedGrace / 60 {
		c := r.connect(t)
		id, tokens := fmt.Sprintf("late-%d", at.Milliseconds()), 1+int(at.Milliseconds()*37)%maxTokens
		calls.Go(func() {
			time.Sleep(time.Until(began.Add(at)))
			if _, err := fmt.Fprintf(c.conn, "POST /once/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: %s\r\nTokens: %d\r\nContent-Length: 0\r\n\r\n", id, tokens); err != nil {
				return
			}
			if resp, err := c.receive(); err == nil {
				mu.Lock()
				defer mu.Unlock()
				answered[id] = resp.StatusCode
			}
		})
	}
	stop()
	calls.Wait()
	u.mu.Lock()
	defer u.mu.Unlock()
	require.NotEmpty(t, u.seen)
	for _, req := range u.seen {
		require.Equal(t, http.StatusOK, answered[req.Header.Get("Id")], "ran and got no answer, %s", req.Header.Get("Id"))
	}
}

// TestDrainBeginsNothingLateAtUpstreamsOfUnknownSpeed guards against streams that arrive after the
// directory's last answer that named the entry has expired, are passed on to an upstream that was just
// added and is slower than the others, and are cut off at the end of the grace period. A late stream
// at an upstream that was measured is served, and so is an earlier one that may end in time.
func TestDrainBeginsNothingLateAtUpstreamsOfUnknownSpeed(t *testing.T) {
	t.Parallel()
	for name, x := range map[string]struct{ isUnmeasured, isLate, isServed bool }{
		"late, unmeasured":  {true, true, false},
		"late, measured":    {false, true, true},
		"early, unmeasured": {true, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, b, u, stop := newPacedEntry(t)
			if !x.isLate {
				r.service.set.Routing.AnswerTTLMS = pacedGrace.Seconds() * 1000
			}
			b.isUnmeasured = x.isUnmeasured
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				stop()
			}()
			require.Eventually(t, r.service.isDraining, stopTimeout, time.Millisecond)
			time.Sleep(4 * directoryTTLs * 50 * time.Millisecond / 3)
			c := r.connect(t)
			sent := time.Now()
			c.send("stream", 200)
			resp, err := c.receive()
			if x.isServed {
				require.NoError(t, err, "cut off")
				require.Equal(t, http.StatusOK, resp.StatusCode)
			} else {
				requireRefusal(t, resp, err)
				require.Less(t, time.Since(sent), time.Second, "another entry can serve it")
				require.Zero(t, u.requests())
			}
			<-stopped
		})
	}
}
