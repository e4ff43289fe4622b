package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/promise"
)

// entryList is an answer of the directory.
type entryList struct {
	Addresses []string `json:"addresses"`
	Seconds   int      `json:"seconds"`
}

// caller queries the directory, caches the answer for its TTL and sends one
// request after the other to the first entry in it.
type caller struct {
	cluster *cluster
	name    string
	answer  entryList
	expires time.Time
	client  http.Client
}

func (c *caller) address() (string, error) {
	if time.Now().Before(c.expires) {
		return c.answer.Addresses[0], nil
	}
	last := error(nil)
	for _, set := range c.cluster.settings {
		asked := time.Now()
		resp, err := c.client.Get("http://" + set.Addresses.Callers + "/v1/directory")
		if err != nil {
			last = err
			continue
		}
		err = json.NewDecoder(resp.Body).Decode(&c.answer)
		_ = resp.Body.Close()
		if err == nil && len(c.answer.Addresses) > 0 {
			c.expires = asked.Add(time.Duration(c.answer.Seconds) * time.Second)
			return c.answer.Addresses[0], nil
		}
		last = fmt.Errorf("no entry in the directory: %v", err)
	}
	return "", last
}

// sendRequests sends requests until stop is closed and reports those that fail.
func (c *caller) sendRequests(stop <-chan struct{}, sent *atomic.Int64, onFailure func(error)) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		address, err := c.address()
		if err == nil {
			sent.Add(1)
			key := fmt.Sprintf("%s-%d", c.name, i)
			if i%3 == 0 {
				err = sendTransfer(&c.client, address, key)
			} else {
				err = sendCompletion(&c.client, address, key, 1+i%20)
			}
		}
		if err != nil {
			onFailure(fmt.Errorf("%s, request %d to %s at %v: %w", c.name, i, address, time.Since(c.cluster.startedAt), err))
		}
	}
}

// TestRollingRestartLosesNoRequest restarts one daemon after the other under load.
// No request may fail or be executed twice.
func TestRollingRestartLosesNoRequest(t *testing.T) {
	s := startCluster(t, 3, replicasInTests)
	s.awaitReady()
	stop := make(chan struct{})
	sent := atomic.Int64{}
	mu := sync.Mutex{}
	failures := []error{}
	recordFailure := func(err error) {
		mu.Lock()
		defer mu.Unlock()
		failures = append(failures, err)
	}
	callers := sync.WaitGroup{}
	for i := range 8 {
		c := &caller{cluster: s, name: fmt.Sprintf("caller-%d", i)}
		callers.Go(func() { c.sendRequests(stop, &sent, recordFailure) })
	}
	for i := range s.daemons {
		require.NoError(t, s.daemons[i].Stop(context.Background()))
		s.start(i)
		s.awaitReady()
	}
	close(stop)
	callers.Wait()
	require.Empty(t, failures)
	require.Positive(t, sent.Load())
	t.Logf("%d requests, none lost", sent.Load())
	for key, n := range s.service.Executions() {
		require.Equal(t, 1, n, key)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Empty(t, promise.Check(s.events, promise.Options{}))
}

// TestStopReturnsWhenContextEnds: a second stop signal cancels the context and must
// end the drain.
func TestStopReturnsWhenContextEnds(t *testing.T) {
	s := startCluster(t, 1, 1)
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	go func() { stopped <- s.daemons[0].Stop(ctx) }()
	cancel()
	select {
	case err := <-stopped:
		require.ErrorIs(t, err, context.Canceled)
	case <-time.After(testTimeout):
		t.Fatal("the daemon still drains after its context ended")
	}
	s.daemons = nil
}
