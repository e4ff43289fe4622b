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

// entryList is the answer to a caller's question.
type entryList struct {
	Addresses []string `json:"addresses"`
	Seconds   int      `json:"seconds"`
}

// caller asks for entries, keeps the answer for its lifetime and sends one
// request after the other to the best of them.
type caller struct {
	site    *site
	name    string
	known   entryList
	expires time.Time
	client  http.Client
}

func (c *caller) address() (string, error) {
	if time.Now().Before(c.expires) {
		return c.known.Addresses[0], nil
	}
	last := error(nil)
	for _, set := range c.site.settings {
		asked := time.Now()
		resp, err := c.client.Get("http://" + set.Addresses.Callers + "/v1/directory")
		if err != nil {
			last = err
			continue
		}
		err = json.NewDecoder(resp.Body).Decode(&c.known)
		_ = resp.Body.Close()
		if err == nil && len(c.known.Addresses) > 0 {
			c.expires = asked.Add(time.Duration(c.known.Seconds) * time.Second)
			return c.known.Addresses[0], nil
		}
		last = fmt.Errorf("no entry in the directory: %v", err)
	}
	return "", last
}

// work sends requests until stopped and counts them.
func (c *caller) work(stop <-chan struct{}, sent *atomic.Int64, lost func(error)) {
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
				err = transferred(&c.client, address, key)
			} else {
				err = answered(&c.client, address, key, 1+i%20)
			}
		}
		if err != nil {
			lost(fmt.Errorf("%s, request %d to %s at %v: %w", c.name, i, address, time.Since(c.site.began), err))
		}
	}
}

func TestRollingRestartLosesNoRequest(t *testing.T) {
	s := startSite(t, 3, replicasInTests)
	s.ready()
	stop := make(chan struct{})
	sent := atomic.Int64{}
	mu := sync.Mutex{}
	losses := []error{}
	lost := func(err error) {
		mu.Lock()
		defer mu.Unlock()
		losses = append(losses, err)
	}
	callers := sync.WaitGroup{}
	for i := range 8 {
		c := &caller{site: s, name: fmt.Sprintf("caller-%d", i)}
		callers.Go(func() { c.work(stop, &sent, lost) })
	}
	for i := range s.daemons {
		require.NoError(t, s.daemons[i].Stop(context.Background()))
		s.start(i)
		s.ready()
	}
	close(stop)
	callers.Wait()
	require.Empty(t, losses)
	require.Positive(t, sent.Load())
	t.Logf("%d requests, none lost", sent.Load())
	for key, n := range s.service.Executions() {
		require.Equal(t, 1, n, key)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Empty(t, promise.Check(s.events, promise.Options{}))
}

func TestSecondSignalEndsAtOnce(t *testing.T) {
	s := startSite(t, 1, 1)
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	go func() { stopped <- s.daemons[0].Stop(ctx) }()
	cancel()
	select {
	case err := <-stopped:
		require.ErrorIs(t, err, context.Canceled)
	case <-time.After(patience):
		t.Fatal("the daemon goes on draining")
	}
	s.daemons = nil
}
