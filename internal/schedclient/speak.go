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
	// heartbeat is the longest pause between two batches.
	heartbeat = 300 * time.Millisecond
	// silence ends a session that carries nothing.
	silence = 1200 * time.Millisecond
	// retryPause is the wait before a session is opened again.
	retryPause = 50 * time.Millisecond
)

// stream is what a session needs of the drpc stream.
type stream interface {
	Send(*rpc.EntryBatch) error
	Recv() (*rpc.GrantBatch, error)
	Close() error
}

var (
	errSilent = errors.New("the dispatcher fell silent")
	errMoved  = errors.New("the dispatcher moved")
)

// run follows the pool's lease from daemon to daemon.
func (s *session) run() {
	ctx := s.ctx
	cancel := s.service.upstreams.Subscribe(s.place, s.announce)
	defer cancel()
	for ctx.Err() == nil {
		changed := s.service.view.Changed()
		lease := s.lease()
		holder, ok := port.ParseHolder(lease.Holder)
		if ok {
			err := s.speak(ctx, holder.Address, lease)
			s.service.log.Debug("dispatcher session ended", zap.String("pool", s.place.Pool), zap.String("region", s.place.Region), zap.Error(err))
		}
		select {
		case <-changed:
		case <-time.After(retryPause):
		case <-ctx.Done():
		}
	}
}

func (s *session) lease() state.Lease {
	return s.service.view.Lease(port.DispatchLease(s.place.Pool, s.place.Region))
}

// speak holds one session with one dispatcher, until it ends, falls silent or
// the lease moves on.
func (s *session) speak(ctx context.Context, address string, lease state.Lease) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := s.service.open(ctx, address)
	if err != nil {
		return err
	}
	defer stream.Close()
	defer s.disconnect()
	if err := s.send(stream, s.hello(lease.Epoch)); err != nil {
		return err
	}
	in := make(chan *rpc.GrantBatch)
	failed := make(chan error, 1)
	go func() { failed <- duplex.Receive(ctx, stream.Recv, in) }()
	quiet := time.NewTimer(silence)
	defer quiet.Stop()
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	for {
		changed := s.service.view.Changed()
		if s.lease() != lease {
			return errMoved
		}
		err := error(nil)
		select {
		case <-s.wake:
			err = s.send(stream, s.drain())
		case <-beat.C:
			err = s.send(stream, s.drain())
		case b := <-in:
			quiet.Reset(silence)
			s.take(lease.Epoch, b)
			s.crossed(causeScheduling, sizeOf(b))
		case err = <-failed:
		case <-quiet.C:
			err = errSilent
		case <-changed:
		case <-ctx.Done():
			err = ctx.Err()
		}
		if err != nil {
			return err
		}
	}
}

// send sends a batch. Where that fails, its releases and announcements go with
// the next session's first batch; offers are repeated there anyway, and
// cancels are no longer needed.
func (s *session) send(stream stream, b *rpc.EntryBatch) error {
	s.crossed(causeScheduling, sizeOf(b))
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

// disconnect tells those who wait that the session ended.
func (s *session) disconnect() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down != nil {
		close(s.down)
		s.down = nil
	}
}
