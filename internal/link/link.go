// Package link provides DRPC between daemons: a server for incoming calls and a
// connection pool for outgoing ones.
//
// Each call carries the shared peer secret, and the server rejects calls whose
// secret differs. If the settings name TLS files, connections also use mutual
// TLS.
package link

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmetadata"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"

	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

const (
	// idleTimeout is how long an unused connection stays in the pool.
	idleTimeout = 30 * time.Second
	// maxIdleConnections bounds the idle connections to one daemon.
	maxIdleConnections = 8
	// peerSecretKey is the DRPC metadata key that carries the peer secret.
	peerSecretKey = "peer-secret"
)

// Service implements the "link.drpc" service. Mux must only be used before
// Serve; Conn is safe for concurrent use.
type Service struct {
	set        *settings.Settings
	log        *zap.Logger
	mux        *drpcmux.Mux
	pool       *drpcpool.Pool[string, drpcpool.Conn]
	secret     string
	tls        *tls.Config
	ln         net.Listener
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	traffic    *traffic
}

// New returns a link that listens on the peer address of the settings.
func New(set *settings.Settings, log *zap.Logger) *Service {
	return &Service{
		set:     set,
		log:     log.Named("link"),
		mux:     drpcmux.New(),
		traffic: newTraffic(),
		pool:    drpcpool.New[string, drpcpool.Conn](drpcpool.Options{Expiration: idleTimeout, KeyCapacity: maxIdleConnections}),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return port.NameLink }

// Needs implements kernel.Service. The link has no dependencies: other services
// register on its mux, and Serve is called after all of them have started.
func (s *Service) Needs() []string { return nil }

// Start loads the peer secret and the TLS files and opens the listener. Calls
// are answered only after Serve.
func (s *Service) Start(context.Context, *kernel.Kernel) error {
	if err := s.loadSecret(); err != nil {
		return err
	}
	if err := s.loadTLS(); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", s.set.Addresses.Peers)
	if err != nil {
		return err
	}
	s.ln = ln
	if s.tls != nil {
		s.ln = tls.NewListener(ln, s.tls)
	}
	return nil
}

func (s *Service) loadSecret() error {
	if s.set.PeerKeyFile == "" {
		return nil
	}
	data, err := os.ReadFile(s.set.PeerKeyFile)
	if err != nil {
		return fmt.Errorf("read the peer key file: %w", err)
	}
	s.secret = strings.TrimSpace(string(data))
	return nil
}

func (s *Service) loadTLS() error {
	files := s.set.TLS
	if files.CertFile == "" {
		return nil
	}
	cert, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
	if err != nil {
		return fmt.Errorf("load the TLS certificate: %w", err)
	}
	ca, err := os.ReadFile(files.CAFile)
	if err != nil {
		return fmt.Errorf("read the TLS CA file: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(ca) {
		return fmt.Errorf("TLS CA file %s contains no PEM certificate", files.CAFile)
	}
	s.tls = &tls.Config{
		Certificates: []tls.Certificate{cert},
		ClientCAs:    roots,
		RootCAs:      roots,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}
	return nil
}

// Serve starts answering calls in the background until Stop.
func (s *Service) Serve() {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	server := drpcserver.NewWithOptions(authHandler{secret: s.secret, next: s.mux, traffic: s.traffic}, drpcserver.Options{
		Log: func(err error) { s.log.Debug("peer connection ended", zap.Error(err)) },
	})
	s.goroutines.Go(func() { _ = server.Serve(ctx, s.ln) })
	s.goroutines.Go(func() { s.logTraffic(ctx) })
}

// logTraffic logs the message bytes per RPC at intervals until ctx ends.
func (s *Service) logTraffic(ctx context.Context) {
	ticker := time.NewTicker(trafficLogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.log.Info("link traffic", s.traffic.takeFields()...)
		case <-ctx.Done():
			return
		}
	}
}

// Collector returns the metric of message bytes per RPC and direction.
func (s *Service) Collector() prometheus.Collector { return s.traffic.total }

// authHandler rejects calls without the correct peer secret.
type authHandler struct {
	secret  string
	next    drpc.Handler
	traffic *traffic
}

// HandleRPC implements drpc.Handler. It compares the secrets in constant time
// and passes the call to the next handler.
func (h authHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	pairs, _ := drpcmetadata.Get(stream.Context())
	given := sha256.Sum256([]byte(pairs[peerSecretKey]))
	want := sha256.Sum256([]byte(h.secret))
	if !hmac.Equal(given[:], want[:]) {
		return fmt.Errorf("peer secret is wrong; give all daemons the same peer_key_file")
	}
	return h.next.HandleRPC(meteredStream{Stream: stream, counters: h.traffic.counters(rpc)}, rpc)
}

// Address returns the address that the link listens on; call it after Start.
func (s *Service) Address() string { return s.ln.Addr().String() }

// Mux returns the mux on which other services register their RPCs.
func (s *Service) Mux() drpc.Mux { return s.mux }

// Conn returns a pooled connection to the daemon at address. It connects on the
// first call, so an unreachable daemon shows as an error of that call.
func (s *Service) Conn(address string) drpc.Conn {
	return peerConn{secret: s.secret, traffic: s.traffic, Conn: s.pool.Get(context.Background(), address, s.dial)}
}

func (s *Service) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	d := net.Dialer{}
	conn, err := dialHedged(ctx, func(ctx context.Context) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }, hedgeDelay)
	if err != nil {
		return nil, err
	}
	if s.tls == nil {
		return drpcconn.New(conn), nil
	}
	cfg := s.tls.Clone()
	cfg.ServerName, _, _ = net.SplitHostPort(address)
	return drpcconn.New(tls.Client(conn, cfg)), nil
}

// peerConn adds the peer secret to each call and counts its message bytes.
type peerConn struct {
	drpc.Conn
	secret  string
	traffic *traffic
}

// Invoke implements drpc.Conn.
func (c peerConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	return c.Conn.Invoke(drpcmetadata.Add(ctx, peerSecretKey, c.secret), rpc, meteredEncoding{Encoding: enc, counters: c.traffic.counters(rpc)}, in, out)
}

// NewStream implements drpc.Conn.
func (c peerConn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	stream, err := c.Conn.NewStream(drpcmetadata.Add(ctx, peerSecretKey, c.secret), rpc, enc)
	if err != nil {
		return nil, err
	}
	return meteredStream{Stream: stream, counters: c.traffic.counters(rpc)}, nil
}

// Stop closes the listener and all connections and waits for the server to end.
func (s *Service) Stop(context.Context) error {
	_ = s.ln.Close()
	if s.cancel != nil {
		s.cancel()
		s.goroutines.Wait()
	}
	return s.pool.Close()
}

// Health implements kernel.Service. It always returns nil: a daemon without
// reachable peers is not unhealthy.
func (s *Service) Health() error { return nil }

// Dump returns the peer address and whether TLS is in use.
func (s *Service) Dump() any {
	return struct {
		Address string `json:"address"`
		TLS     bool   `json:"tls"`
	}{s.set.Addresses.Peers, s.tls != nil}
}
