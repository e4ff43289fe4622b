package dispatch

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// slowLog commits acquisitions after a delay, also those whose proposers wait no longer, and all
// else at once.
type slowLog struct {
	port.Log
	delay time.Duration

	mu      sync.Mutex
	machine *state.Machine
}

func (l *slowLog) apply(c state.Command) state.Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Apply(c)
}

// Propose implements port.Log.
func (l *slowLog) Propose(ctx context.Context, _ string, c state.Command) (state.Result, error) {
	if c.Acquire == nil {
		return l.apply(c), ctx.Err()
	}
	result := make(chan state.Result, 1)
	time.AfterFunc(l.delay, func() { result <- l.apply(c) })
	select {
	case r := <-result:
		return r, nil
	case <-ctx.Done():
		return state.Result{}, ctx.Err()
	}
}

// leaseView is the view of the log's leases.
type leaseView struct {
	fakeView
	log *slowLog
}

func (v *leaseView) Lease(name string) state.Lease {
	v.log.mu.Lock()
	defer v.log.mu.Unlock()
	return v.log.machine.Lease(name)
}

// TestStopReleasesLeaseBeingAcquired guards against requests that wait until the lease of a daemon
// expires which has stopped: its last acquisition or renewal was committed after its release.
func TestStopReleasesLeaseBeingAcquired(t *testing.T) {
	const delay = 100 * time.Millisecond
	for name, stopAfter := range map[string]time.Duration{"acquisition": delay / 2, "renewal": delay + renewInterval + delay/2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m, err := newMetrics(prometheus.NewRegistry())
				require.NoError(t, err)
				log := &slowLog{delay: delay, machine: state.New()}
				started := time.Now()
				s := New(&settings.Settings{Name: "one", Region: "r"}, zap.NewNop(), port.Holder{Name: "one", Incarnation: 1, Address: "a"})
				s.view, s.replicatedLog, s.members, s.events, s.metrics = &leaseView{log: log}, log, fakeMembers{names: []string{"one"}}, &fakeEvents{}, m
				s.elapsed = func() time.Duration { return time.Since(started) }
				s.ctx, s.cancel = context.WithCancel(context.Background())
				lease := port.DispatchLeaseName("m", "r")
				s.goroutines.Go(func() { s.maintainLease(s.ctx, "m") })
				time.Sleep(stopAfter)
				require.NoError(t, s.Stop(context.Background()))
				time.Sleep(2 * delay)
				require.Empty(t, s.view.Lease(lease).Holder)
			})
		})
	}
}
