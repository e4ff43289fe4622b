// Package link joins the daemons by drpc: one server for what other daemons
// ask, and a pool of connections for what this one asks.
//
// Every daemon presents the shared peer secret on each call; with TLS files in
// the settings the connections are mutually authenticated as well.
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
	// idleTimeout closes pooled connections that nobody uses.
	idleTimeout = 30 * time.Second
	// keptIdle is the most idle connections to one daemon.
	keptIdle = 8
	// secretKey is the metadata key of the peer secret.
	secretKey = "peer-secret"
)

// Service is the "link.drpc" service.
type Service struct {
	set    *settings.Settings
	log    *zap.Logger
	mux    *drpcmux.Mux
	pool   *drpcpool.Pool[string, drpcpool.Conn]
	secret string
	tls    *tls.Config
	ln     net.Listener
	cancel context.CancelFunc
	done   sync.WaitGroup
	bytes  *traffic
}

// New returns the service.
func New(set *settings.Settings, log *zap.Logger) *Service {
	return &Service{
		set:   set,
		log:   log.Named("link"),
		mux:   drpcmux.New(),
		bytes: newTraffic(),
		pool:  drpcpool.New[string, drpcpool.Conn](drpcpool.Options{Expiration: idleTimeout, KeyCapacity: keptIdle}),
	}
}

// Name returns the service's name.
func (s *Service) Name() string { return port.NameLink }

// Needs returns nothing: others register on the mux, the server starts last.
func (s *Service) Needs() []string { return nil }

// Start reads the credentials. Serving begins with Serve, after all services
// have registered.
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
		return fmt.Errorf("peer key file: %w", err)
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
		return fmt.Errorf("TLS certificate: %w", err)
	}
	ca, err := os.ReadFile(files.CAFile)
	if err != nil {
		return fmt.Errorf("TLS authority: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(ca) {
		return fmt.Errorf("TLS authority: %s holds no certificate", files.CAFile)
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

// Serve starts answering other daemons.
func (s *Service) Serve() {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	server := drpcserver.NewWithOptions(guard{secret: s.secret, next: s.mux, bytes: s.bytes}, drpcserver.Options{
		Log: func(err error) { s.log.Debug("peer connection ended", zap.Error(err)) },
	})
	s.done.Go(func() { _ = server.Serve(ctx, s.ln) })
	s.done.Go(func() { s.logTraffic(ctx) })
}

// logTraffic logs the bytes by call until the link stops.
func (s *Service) logTraffic(ctx context.Context) {
	every := time.NewTicker(trafficEvery)
	defer every.Stop()
	for {
		select {
		case <-every.C:
			s.log.Info("link traffic", s.bytes.fields()...)
		case <-ctx.Done():
			return
		}
	}
}

// Collector gives the bytes by call as metrics.
func (s *Service) Collector() prometheus.Collector { return s.bytes.total }

// guard refuses calls that lack the peer secret.
type guard struct {
	secret string
	next   drpc.Handler
	bytes  *traffic
}

// HandleRPC checks the secret and passes the call on.
func (g guard) HandleRPC(stream drpc.Stream, rpc string) error {
	pairs, _ := drpcmetadata.Get(stream.Context())
	given := sha256.Sum256([]byte(pairs[secretKey]))
	want := sha256.Sum256([]byte(g.secret))
	if !hmac.Equal(given[:], want[:]) {
		return fmt.Errorf("peer secret is wrong; give all daemons the same peer_key_file")
	}
	return g.next.HandleRPC(meteredStream{Stream: stream, call: g.bytes.call(rpc)}, rpc)
}

// Address returns where the link listens; it is known once it is started.
func (s *Service) Address() string { return s.ln.Addr().String() }

// Mux registers drpc services.
func (s *Service) Mux() drpc.Mux { return s.mux }

// Conn returns a pooled connection to a daemon.
func (s *Service) Conn(address string) drpc.Conn {
	return peerConn{secret: s.secret, bytes: s.bytes, Conn: s.pool.Get(context.Background(), address, s.dial)}
}

func (s *Service) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	d := net.Dialer{}
	raw, err := dialRepeatedly(ctx, func(ctx context.Context) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }, dialAgain)
	if err != nil {
		return nil, err
	}
	if s.tls == nil {
		return drpcconn.New(raw), nil
	}
	cfg := s.tls.Clone()
	cfg.ServerName, _, _ = net.SplitHostPort(address)
	return drpcconn.New(tls.Client(raw, cfg)), nil
}

// peerConn adds the peer secret to each call and counts its bytes.
type peerConn struct {
	drpc.Conn
	secret string
	bytes  *traffic
}

// Invoke makes a unary call.
func (c peerConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	return c.Conn.Invoke(drpcmetadata.Add(ctx, secretKey, c.secret), rpc, meteredEncoding{Encoding: enc, call: c.bytes.call(rpc)}, in, out)
}

// NewStream opens a stream.
func (c peerConn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	stream, err := c.Conn.NewStream(drpcmetadata.Add(ctx, secretKey, c.secret), rpc, enc)
	if err != nil {
		return nil, err
	}
	return meteredStream{Stream: stream, call: c.bytes.call(rpc)}, nil
}

// Stop closes the listener and all connections.
func (s *Service) Stop(context.Context) error {
	_ = s.ln.Close()
	if s.cancel != nil {
		s.cancel()
		s.done.Wait()
	}
	return s.pool.Close()
}

// Health returns nil: a daemon may be alone.
func (s *Service) Health() error { return nil }

// Dump shows where the daemon listens for others.
func (s *Service) Dump() any {
	return struct {
		Address string `json:"address"`
		TLS     bool   `json:"tls"`
	}{s.set.Addresses.Peers, s.tls != nil}
}
