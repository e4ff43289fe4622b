package schedclient

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/duplex"
	"github.com/verbenastep/verbenastep/internal/port"
)

const (
	// heartbeatInterval is the maximum time between two batches.
	heartbeatInterval = 300 * time.Millisecond
	// sessionTimeout ends a connection on which nothing arrives.
	sessionTimeout = 1200 * time.Millisecond
	// reconnectDelay is the delay before a session is opened again.
	reconnectDelay = 50 * time.Millisecond
)

// stream is the part of the drpc stream that a session uses.
type stream interface {
	Send(*rpc.EntryBatch) error
	Recv() (*rpc.GrantBatch, error)
	Close() error
}

var (
	errTimeout    = errors.New("the dispatcher sent nothing within the session timeout")
	errLeaseMoved = errors.New("the dispatcher's lease changed its holder or epoch")
)

// run connects to the holder of the pool's lease, again after each disconnection,
// until the session is canceled.
func (s *session) run() {
	ctx := s.ctx
	cancel := s.service.upstreams.Subscribe(s.pool, s.announce)
	defer cancel()
	for ctx.Err() == nil {
		changed := s.service.view.Changed()
		lease := s.lease()
		holder, ok := port.ParseHolder(lease.Holder)
		if ok {
			err := s.exchange(ctx, holder.Address, lease)
			s.service.log.Debug("dispatcher session ended", zap.String("pool", s.pool.Pool), zap.String("region", s.pool.Region), zap.Error(err))
		}
		select {
		case <-changed:
		case <-time.After(reconnectDelay):
		case <-ctx.Done():
		}
	}
}

func (s *session) lease() state.Lease {
	return s.service.view.Lease(port.DispatchLeaseName(s.pool.Pool, s.pool.Region))
}

// exchange sends and receives batches over one connection to a dispatcher. It
// returns when the connection breaks, nothing arrives for sessionTimeout, the
// lease moves or ctx ends.
func (s *session) exchange(ctx context.Context, address string, lease state.Lease) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := s.service.open(ctx, address)
	if err != nil {
		return err
	}
	defer stream.Close()
	defer s.disconnect()
	if err := s.send(stream, s.resyncBatch(lease.Epoch)); err != nil {
		return err
	}
	in := make(chan *rpc.GrantBatch)
	failed := make(chan error, 1)
	go func() { failed <- duplex.Receive(ctx, stream.Recv, in) }()
	timeout := time.NewTimer(sessionTimeout)
	defer timeout.Stop()
	heardAt := s.service.elapsed()
	heartbeats := time.NewTicker(heartbeatInterval)
	defer heartbeats.Stop()
	for {
		changed := s.service.view.Changed()
		if s.lease() != lease {
			return errLeaseMoved
		}
		err := error(nil)
		select {
		case <-s.wake:
			err = s.send(stream, s.takePending())
		case <-heartbeats.C:
			err = s.send(stream, s.takePending())
		case b := <-in:
			if s.lease() != lease {
				return errLeaseMoved
			}
			// After a pause of this process, the timer may not have fired yet. The
			// dispatcher may have granted the slots of this batch to others meanwhile.
			if s.service.elapsed()-heardAt > sessionTimeout {
				return errTimeout
			}
			heardAt = s.service.elapsed()
			timeout.Reset(sessionTimeout)
			s.applyDecisions(lease.Epoch, b)
			s.countLinkBytes(causeScheduling, sizeOf(b))
		case err = <-failed:
		case <-timeout.C:
			err = errTimeout
		case <-changed:
		case <-ctx.Done():
			err = ctx.Err()
		}
		if err != nil {
			return err
		}
	}
}

// send sends a batch. If that fails, its releases and announcements become
// pending again and go with the next connection's first batch. That batch repeats
// all offers anyway, and a dispatcher drops the offers of a lost connection, so
// cancels need no repetition.
func (s *session) send(stream stream, b *rpc.EntryBatch) error {
	s.countLinkBytes(causeScheduling, sizeOf(b))
	err := stream.Send(b)
	if err == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending.Releases = append(b.Releases, s.pending.Releases...)
	s.pending.Upstreams = append(b.Upstreams, s.pending.Upstreams...)
	return err
}

// disconnect notifies spilled requests that the connection ended.
func (s *session) disconnect() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.disconnected != nil {
		close(s.disconnected)
		s.disconnected = nil
	}
}
