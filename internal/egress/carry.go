package egress

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
)

const (
	// maxFrameBytes bounds the bytes in one message of a tunnel.
	maxFrameBytes = 16 << 10
	// maxCarried bounds the tunnels that an entry carries for others; each takes two
	// connections and two buffers.
	maxCarried = 400
	// carryDialTimeout bounds the setup of a connection for another entry, which has waited
	// for its own already.
	carryDialTimeout = 250 * time.Millisecond
	// controlDelay is how long that may take before other upstreams are tried, to tell whose
	// fault it is.
	controlDelay = 100 * time.Millisecond
	// controlUpstreams is how many other upstreams are tried when one is not reached.
	controlUpstreams = 2
)

// Connect serves another entry that can't reach an upstream by itself.
func (s *Service) Connect(stream rpc.DRPCTunnel_ConnectStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	s.carried.Add(1)
	defer s.carried.Add(-1)
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	stop := context.AfterFunc(s.ctx, cancel)
	defer stop()
	conn, result := s.connectFor(ctx, first.Address)
	if err := stream.Send(&rpc.TunnelFrame{Result: uint32(result)}); err != nil || conn == nil {
		if conn != nil {
			_ = conn.Close()
		}
		return err
	}
	s.metrics.carried.Inc()
	defer s.metrics.carried.Dec()
	s.log.Info("carrying a connection of another entry", zap.String("address", first.Address))
	carry(ctx, conn, stream)
	return nil
}

// connectFor connects for another entry: directly, never through a third one.
func (s *Service) connectFor(ctx context.Context, address string) (net.Conn, Result) {
	if !s.upstreams.HasUpstream(address) {
		return nil, UnknownAddress
	}
	// A draining entry may end before the requests of a new tunnel do; others serve them.
	if s.carried.Load() > maxCarried || s.IsPathLost(address) || s.isLeaving(s.set.Name) {
		return nil, Unknown
	}
	results := make(chan dialed, 1)
	go func() { results <- s.dialDirect(ctx, address) }()
	reachesOthers := sync.OnceValue(func() bool { return s.reachesOthers(ctx, address) })
	control := time.AfterFunc(controlDelay, func() { reachesOthers() })
	defer control.Stop()
	timeout := time.NewTimer(carryDialTimeout)
	defer timeout.Stop()
	select {
	case d := <-results:
		if d.err == nil {
			s.recordDirect(address, nil)
			return d.conn, Connected
		}
	case <-timeout.C:
		go closeLate(results, 1)
	}
	if reachesOthers() {
		return nil, UpstreamDown
	}
	return nil, Unknown
}

// reachesOthers reports whether this entry reaches another upstream than the one at an address.
func (s *Service) reachesOthers(ctx context.Context, address string) bool {
	list := s.upstreams.OtherUpstreams(address, controlUpstreams)
	results := make(chan dialed, len(list))
	for _, other := range list {
		go func() { results <- s.dialDirect(ctx, other) }()
	}
	for open := len(list); open > 0; open-- {
		if d := <-results; d.err == nil {
			_ = d.conn.Close()
			go closeLate(results, open-1)
			return true
		}
	}
	return false
}

// carry copies bytes in both directions until either side ends.
func carry(ctx context.Context, conn net.Conn, stream rpc.DRPCTunnel_ConnectStream) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer conn.Close()
	go func() {
		defer conn.Close()
		for writeErr := error(nil); ; {
			f, err := stream.Recv()
			if err != nil {
				return
			}
			if writeErr == nil {
				// After a failure the connection stays open: what the upstream sent before is still to be read.
				_, writeErr = conn.Write(f.Data)
			}
		}
	}()
	buffer := make([]byte, maxFrameBytes)
	for {
		n, err := conn.Read(buffer)
		if n > 0 {
			if err := stream.Send(&rpc.TunnelFrame{Data: buffer[:n]}); err != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			// The stream ends in either case; the other entry has closed it if this fails.
			_ = stream.Send(&rpc.TunnelFrame{End: true})
		}
		if err != nil {
			return
		}
	}
}
