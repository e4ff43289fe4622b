package view

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/internal/settings"
	"github.com/verbenastep/verbenastep/internal/wait"
)

// watches runs the watches that a failover decides on.
type watches struct {
	s       *Service
	started time.Time
	running sync.WaitGroup
	// wake triggers the next decision.
	wake chan struct{}

	mu       sync.Mutex
	failover *failover
	// cancels holds the function that ends a replica's watch, by address.
	cancels map[string]context.CancelFunc
	// lostAt is when the last source fell silent; zero while there is a source.
	lostAt time.Duration
}

func (w *watches) now() time.Duration { return time.Since(w.started) }

// run watches replicas until the context ends.
func (w *watches) run(ctx context.Context) {
	for ctx.Err() == nil {
		timer := time.NewTimer(w.beginNext(ctx))
		select {
		case <-w.wake:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	w.running.Wait()
}

// beginNext begins the watches that are due and returns the delay until the next call.
func (w *watches) beginNext(ctx context.Context) time.Duration {
	ranked := w.s.replicasByDistance()
	byAddress := map[string]settings.Peer{}
	addresses := []string{}
	for _, p := range ranked {
		byAddress[p.Address] = p
		addresses = append(addresses, p.Address)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	if w.lostAt == 0 && w.failover.isSilent(now) {
		w.lostAt = now
		w.s.log.Info("no replica sends; asking others", zap.String("source", byAddress[w.failover.source].Name), zap.Duration("silent", now-w.failover.heardAt), zap.Int("replicas", len(ranked)))
	}
	begin, delay := w.failover.next(now, addresses)
	for _, address := range begin {
		w.begin(ctx, byAddress[address])
	}
	return delay
}

// begin watches a replica until the watch ends. The caller holds the lock.
func (w *watches) begin(ctx context.Context, p settings.Peer) {
	ctx, cancel := context.WithCancel(ctx)
	w.cancels[p.Address] = cancel
	w.running.Go(func() {
		err := w.s.watch(ctx, p, func() { w.heard(p) })
		cancel()
		w.s.log.Debug("watch ended", zap.String("replica", p.Name), zap.Error(err))
		w.mu.Lock()
		w.failover.ended(w.now(), p.Address)
		w.mu.Unlock()
		wait.Notify(w.wake)
	})
}

// heard records a message of a replica and ends the watches of the others if it is the source.
func (w *watches) heard(p settings.Peer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, old := w.now(), w.failover.source
	for _, address := range w.failover.heard(now, p.Address) {
		w.cancels[address]()
	}
	if w.failover.source != p.Address || w.lostAt == 0 && old == p.Address {
		return
	}
	w.s.log.Info("replica is watched", zap.String("replica", p.Name), zap.Duration("after", now-w.lostAt))
	w.lostAt = 0
}
