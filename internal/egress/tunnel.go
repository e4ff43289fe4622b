package egress

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/wait"
)

const (
	// maxTunnelPeers is how many entries are asked for one connection.
	maxTunnelPeers = 4
	// nextPeerDelay is how long an entry may take before the next one is asked as well.
	nextPeerDelay = 40 * time.Millisecond
	// tunnelTimeout bounds the setup of a tunnel: the other entry's own connection and what
	// it needs to tell whose fault a failure is.
	tunnelTimeout = time.Second
	// badPeerTime is how long an entry that could not help is asked last, goodPeerTime how
	// long one that helped is asked first.
	badPeerTime  = time.Second
	goodPeerTime = 5 * time.Second
	// minDownResults is how many entries that reach other upstreams must fail to reach one
	// for the search to end.
	minDownResults = 2
	// streamRetryDelay is the delay after a stream that failed since its connection ends with
	// an earlier tunnel. The connection leaves the pool meanwhile.
	streamRetryDelay = 5 * time.Millisecond
)

// isHelper reports whether a member is another entry that may connect for this one.
func (s *Service) isHelper(m port.Member) bool {
	return m.Callers != "" && m.Peers != "" && !m.Leaving && m.Name != s.set.Name
}

// candidates returns the entries to ask: those that could not help lately come last, those that
// did first, then one of each data centre, near ones before others, since the entries of a data
// centre are often partitioned together. The order within a data centre is random, so that
// entries share the tunnels.
func (s *Service) candidates() []port.Member {
	type candidate struct {
		port.Member
		isBad, isGood bool
		// turn counts the candidates of the data centre before this one.
		turn, distance int
	}
	live, now := s.members.Live(), time.Now()
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	list, turns := []candidate{}, map[string]int{}
	s.mu.Lock()
	for _, m := range live {
		if !s.isHelper(m) {
			continue
		}
		c := candidate{Member: m, distance: s.set.Distance(m.DataCentre, m.Region), isBad: now.Before(s.badPeers[m.Name]), isGood: now.Before(s.goodPeers[m.Name])}
		if !c.isBad && !c.isGood {
			c.turn = turns[m.DataCentre]
			turns[m.DataCentre]++
		}
		list = append(list, c)
	}
	s.mu.Unlock()
	rank := func(c candidate) int {
		switch {
		case c.isBad:
			return 2
		case c.isGood:
			return 0
		}
		return 1
	}
	slices.SortStableFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.turn, b.turn), cmp.Compare(a.distance, b.distance))
	})
	out := []port.Member{}
	for _, c := range list[:min(len(list), maxTunnelPeers)] {
		out = append(out, c.Member)
	}
	return out
}

// dialTunnel connects through another entry. It asks several, one after the other, until one is
// connected or enough of them say that the upstream is at fault.
func (s *Service) dialTunnel(ctx context.Context, address string) dialed {
	ctx, cancel := context.WithTimeoutCause(ctx, tunnelTimeout, errTunnelTimeout)
	defer cancel()
	if !s.HasHelpers() {
		return dialed{tunnel: true, err: errNoOtherEntry, result: NoOtherEntry}
	}
	peers := s.candidates()
	results := make(chan dialed, len(peers))
	next := time.NewTimer(0)
	defer next.Stop()
	open, asked := 0, 0
	last := dialed{tunnel: true, result: Unknown, err: errTunnelTimeout}
	for down := 0; open > 0 || asked < len(peers); {
		select {
		case <-next.C:
			if asked < len(peers) {
				peer := peers[asked]
				asked++
				open++
				go func() { results <- s.dialThrough(ctx, peer, address) }()
				next.Reset(nextPeerDelay)
			}
			continue
		case d := <-results:
			open--
			if d.conn != nil {
				go closeLate(results, open)
				return d
			}
			if d.result == UpstreamDown {
				down++
			}
			if last.result != UpstreamDown {
				last = d
			}
		}
		if down >= minDownResults {
			break
		}
		next.Reset(0)
	}
	go closeLate(results, open)
	return last
}

var errTunnelTimeout = errors.New("no other entry answered in time")

// dialThrough connects through one entry. The tunnel outlives ctx once it is open.
func (s *Service) dialThrough(ctx context.Context, peer port.Member, address string) dialed {
	tunnelCtx, cancel := context.WithCancelCause(s.ctx)
	stop := context.AfterFunc(ctx, func() { cancel(context.Cause(ctx)) })
	d := s.openTunnel(tunnelCtx, cancel, peer, address)
	if !stop() && d.conn != nil {
		_ = d.conn.Close()
		d = dialed{err: context.Cause(ctx)}
	}
	d.tunnel = true
	if d.conn == nil {
		cancel(nil)
		s.recordPeer(ctx, peer, d.result)
		return d
	}
	s.recordPeer(ctx, peer, Connected)
	s.metrics.opened.Inc()
	s.log.Info("connected through another entry", zap.String("address", address), zap.String("entry", peer.Name))
	return d
}

// recordPeer remembers whether an entry could help.
func (s *Service) recordPeer(ctx context.Context, peer port.Member, r Result) {
	if r == UpstreamDown || r != Connected && errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, list := range []map[string]time.Time{s.badPeers, s.goodPeers} {
		maps.DeleteFunc(list, func(_ string, until time.Time) bool { return now.After(until) })
		delete(list, peer.Name)
	}
	if r == Connected {
		s.goodPeers[peer.Name] = now.Add(goodPeerTime)
		return
	}
	s.badPeers[peer.Name] = now.Add(badPeerTime)
}

// openTunnel asks an entry to connect and returns the tunnel. It asks again on another connection
// as long as the one between the entries ends, as when a tunnel that it carried before is closed;
// a busy machine takes a while to remove it from the pool.
func (s *Service) openTunnel(ctx context.Context, cancel context.CancelCauseFunc, peer port.Member, address string) dialed {
	for {
		d := s.openStream(ctx, cancel, peer, address)
		if ctx.Err() != nil || !errors.Is(d.err, context.Canceled) {
			return d
		}
		wait.Sleep(ctx, streamRetryDelay)
	}
}

// openStream opens the stream of a tunnel.
func (s *Service) openStream(ctx context.Context, cancel context.CancelCauseFunc, peer port.Member, address string) dialed {
	stream, err := rpc.NewDRPCTunnelClient(s.link.Conn(peer.Peers)).Connect(ctx)
	if err != nil {
		return dialed{err: err}
	}
	if err := stream.Send(&rpc.TunnelFrame{Address: address}); err != nil {
		return dialed{err: err}
	}
	first, err := stream.Recv()
	if err != nil {
		return dialed{err: err}
	}
	if r := Result(first.Result); r != Connected {
		return dialed{result: r, err: fmt.Errorf("entry %s did not reach it either (result %d)", peer.Name, r)}
	}
	return dialed{conn: newTunnelConn(ctx, cancel, stream, address, func() bool { return s.isLeaving(peer.Name) })}
}

// isLeaving reports whether an entry drains or is no longer live.
func (s *Service) isLeaving(entry string) bool {
	m, live := s.members.Find(entry)
	return !live || m.Leaving
}

// tunnelConn is a connection through another entry.
type tunnelConn struct {
	stream  rpc.DRPCTunnel_ConnectClient
	ctx     context.Context
	cancel  context.CancelCauseFunc
	address tunnelAddr
	// frames delivers what arrives; it is closed at the end, with err set.
	frames chan []byte
	err    error
	rest   []byte
	write  sync.Mutex
	// isLeaving reports whether the other entry leaves.
	isLeaving func() bool
}

// tunnelAddr is the address of an upstream behind a tunnel.
type tunnelAddr string

// Network returns "tunnel".
func (tunnelAddr) Network() string { return "tunnel" }

// String returns the upstream's address.
func (a tunnelAddr) String() string { return string(a) }

func newTunnelConn(ctx context.Context, cancel context.CancelCauseFunc, stream rpc.DRPCTunnel_ConnectClient, address string, isLeaving func() bool) *tunnelConn {
	c := &tunnelConn{isLeaving: isLeaving, stream: stream, ctx: ctx, cancel: cancel, address: tunnelAddr(address), frames: make(chan []byte)}
	go c.receive()
	return c
}

// receive delivers frames until the tunnel ends.
func (c *tunnelConn) receive() {
	defer close(c.frames)
	for {
		f, err := c.stream.Recv()
		if err == nil && f.End {
			err = io.EOF
		} else if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			c.err = err
			return
		}
		select {
		case c.frames <- f.Data:
		case <-c.ctx.Done():
			c.err = net.ErrClosed
			return
		}
	}
}

// IsClean reports whether the tunnel is open, has no unread bytes and leads through an entry
// that stays.
func (c *tunnelConn) IsClean() bool {
	if len(c.rest) > 0 || c.ctx.Err() != nil || c.isLeaving() {
		return false
	}
	select {
	case c.rest = <-c.frames:
		return false
	default:
		return true
	}
}

// Read implements net.Conn. It returns io.EOF only if the upstream closed its connection in
// order: a response without a length is complete then.
func (c *tunnelConn) Read(b []byte) (int, error) {
	if len(c.rest) == 0 {
		data, open := <-c.frames
		if !open && c.err == io.EOF {
			return 0, io.EOF
		}
		if !open {
			return 0, &net.OpError{Op: "read", Net: "tunnel", Addr: c.address, Err: c.err}
		}
		c.rest = data
	}
	n := copy(b, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// Write implements net.Conn.
func (c *tunnelConn) Write(b []byte) (int, error) {
	c.write.Lock()
	defer c.write.Unlock()
	for sent := 0; sent < len(b); {
		n := min(len(b)-sent, maxFrameBytes)
		if err := c.stream.Send(&rpc.TunnelFrame{Data: b[sent : sent+n]}); err != nil {
			return sent, &net.OpError{Op: "write", Net: "tunnel", Addr: c.address, Err: err}
		}
		sent += n
	}
	return len(b), nil
}

// Close ends the tunnel.
func (c *tunnelConn) Close() error {
	c.cancel(net.ErrClosed)
	return nil
}

// LocalAddr implements net.Conn.
func (c *tunnelConn) LocalAddr() net.Addr { return tunnelAddr("") }

// RemoteAddr returns the upstream's address.
func (c *tunnelConn) RemoteAddr() net.Addr { return c.address }

// SetDeadline implements net.Conn. Tunnels have no deadlines: their users close them.
func (c *tunnelConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn; see SetDeadline.
func (c *tunnelConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn; see SetDeadline.
func (c *tunnelConn) SetWriteDeadline(time.Time) error { return nil }

// IsTunnel reports whether a connection goes through another entry.
func IsTunnel(c net.Conn) bool {
	_, ok := c.(*tunnelConn)
	return ok
}
