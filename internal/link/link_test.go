package link

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// testCA issues certificates for the loopback address.
type testCA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
}

func newTestCA(t *testing.T, folder string) *testCA {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	cert := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, cert, cert, &key.PublicKey, key)
	require.NoError(t, err)
	a := &testCA{cert: cert, key: key, file: filepath.Join(folder, "ca.pem")}
	writePEM(t, a.file, "CERTIFICATE", der)
	return a
}

func writePEM(t *testing.T, file, kind string, der []byte) {
	t.Helper()
	require.NoError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

// issue returns TLS settings with a certificate signed by the CA.
func (a *testCA) issue(t *testing.T) settings.TLS {
	t.Helper()
	folder := t.TempDir()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	cert := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "daemon"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, cert, a.cert, &key.PublicKey, a.key)
	require.NoError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	out := settings.TLS{CertFile: filepath.Join(folder, "cert.pem"), KeyFile: filepath.Join(folder, "key.pem"), CAFile: a.file}
	writePEM(t, out.CertFile, "CERTIFICATE", der)
	writePEM(t, out.KeyFile, "PRIVATE KEY", private)
	return out
}

// echoAnswers answers each Fetch with one frame that contains the key.
type echoAnswers struct {
	rpc.DRPCAnswersUnimplementedServer
}

func (echoAnswers) Fetch(req *rpc.FetchRequest, out rpc.DRPCAnswers_FetchStream) error {
	return out.Send(&rpc.FetchFrame{Data: []byte(req.Key), End: true})
}

func startLink(t *testing.T, files settings.TLS, secret string) *Service {
	t.Helper()
	set := &settings.Settings{Addresses: settings.Addresses{Peers: "127.0.0.1:0"}, TLS: files}
	if secret != "" {
		set.PeerKeyFile = filepath.Join(t.TempDir(), "secret")
		require.NoError(t, os.WriteFile(set.PeerKeyFile, []byte(secret), 0o600))
	}
	s := New(set, zap.NewNop())
	require.NoError(t, s.Start(t.Context(), kernel.New()))
	require.NoError(t, rpc.DRPCRegisterAnswers(s.Mux(), echoAnswers{}))
	s.Serve()
	t.Cleanup(func() { _ = s.Stop(context.Background()) })
	return s
}

func fetch(t *testing.T, from, to *Service) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	in, err := rpc.NewDRPCAnswersClient(from.Conn(to.Address())).Fetch(ctx, &rpc.FetchRequest{Key: "k"})
	if err != nil {
		return err
	}
	defer in.Close()
	_, err = in.Recv()
	return err
}

func TestMutualTLS(t *testing.T) {
	own := newTestCA(t, t.TempDir())
	foreign := newTestCA(t, t.TempDir())
	a, b := startLink(t, own.issue(t), ""), startLink(t, own.issue(t), "")
	require.NoError(t, fetch(t, a, b))
	require.Error(t, fetch(t, startLink(t, foreign.issue(t), ""), b), "the client certificate is signed by another CA")
	require.Error(t, fetch(t, startLink(t, settings.TLS{}, ""), b), "the client has no certificate")
	mixed := own.issue(t)
	mixed.CAFile = foreign.file
	require.Error(t, fetch(t, startLink(t, mixed, ""), b), "the server certificate is signed by another CA")
}

func TestPeerSecret(t *testing.T) {
	a, b := startLink(t, settings.TLS{}, "one"), startLink(t, settings.TLS{}, "one")
	require.NoError(t, fetch(t, a, b))
	require.Error(t, fetch(t, startLink(t, settings.TLS{}, "two"), b))
}

func TestTrafficIsCountedByCall(t *testing.T) {
	a, b := startLink(t, settings.TLS{}, ""), startLink(t, settings.TLS{}, "")
	require.NoError(t, fetch(t, a, b))
	const rpcName = "/verbenastep.v1.Answers/Fetch"
	requestBytes := testutil.ToFloat64(a.traffic.total.WithLabelValues(rpcName, "sent"))
	require.Positive(t, requestBytes)
	require.InDelta(t, requestBytes, testutil.ToFloat64(b.traffic.total.WithLabelValues(rpcName, "received")), 0)
	replyBytes := testutil.ToFloat64(b.traffic.total.WithLabelValues(rpcName, "sent"))
	require.Positive(t, replyBytes)
	require.InDelta(t, replyBytes, testutil.ToFloat64(a.traffic.total.WithLabelValues(rpcName, "received")), 0)
	require.Equal(t, zap.Any("sent_bytes", map[string]int{rpcName: int(requestBytes)}), a.traffic.takeFields()[0])
	require.Equal(t, zap.Any("sent_bytes", map[string]int{}), a.traffic.takeFields()[0], "takeFields resets the counts")
}
