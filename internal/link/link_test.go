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

// authority issues certificates for loopback.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
}

func newAuthority(t *testing.T, folder string) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	cert := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, cert, cert, &key.PublicKey, key)
	require.NoError(t, err)
	a := &authority{cert: cert, key: key, file: filepath.Join(folder, "ca.pem")}
	writePEM(t, a.file, "CERTIFICATE", der)
	return a
}

func writePEM(t *testing.T, file, kind string, der []byte) {
	t.Helper()
	require.NoError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

// issue returns TLS settings with a certificate of the authority.
func (a *authority) issue(t *testing.T) settings.TLS {
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

// echoAnswers answers each fetch with one frame.
type echoAnswers struct {
	rpc.DRPCAnswersUnimplementedServer
}

func (echoAnswers) Fetch(req *rpc.FetchRequest, out rpc.DRPCAnswers_FetchStream) error {
	return out.Send(&rpc.FetchFrame{Data: []byte(req.Key), End: true})
}

func newLink(t *testing.T, files settings.TLS, secret string) *Service {
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
	own := newAuthority(t, t.TempDir())
	foreign := newAuthority(t, t.TempDir())
	a, b := newLink(t, own.issue(t), ""), newLink(t, own.issue(t), "")
	require.NoError(t, fetch(t, a, b))
	require.Error(t, fetch(t, newLink(t, foreign.issue(t), ""), b), "a certificate of another authority")
	require.Error(t, fetch(t, newLink(t, settings.TLS{}, ""), b), "no certificate")
	half := own.issue(t)
	half.CAFile = foreign.file
	require.Error(t, fetch(t, newLink(t, half, ""), b), "a server of another authority")
}

func TestPeerSecret(t *testing.T) {
	a, b := newLink(t, settings.TLS{}, "one"), newLink(t, settings.TLS{}, "one")
	require.NoError(t, fetch(t, a, b))
	require.Error(t, fetch(t, newLink(t, settings.TLS{}, "two"), b))
}

func TestBytesAreCountedByCall(t *testing.T) {
	a, b := newLink(t, settings.TLS{}, ""), newLink(t, settings.TLS{}, "")
	require.NoError(t, fetch(t, a, b))
	const rpcName = "/verbenastep.v1.Answers/Fetch"
	asked := testutil.ToFloat64(a.bytes.total.WithLabelValues(rpcName, "sent"))
	require.Positive(t, asked)
	require.InDelta(t, asked, testutil.ToFloat64(b.bytes.total.WithLabelValues(rpcName, "received")), 0)
	answered := testutil.ToFloat64(b.bytes.total.WithLabelValues(rpcName, "sent"))
	require.Positive(t, answered)
	require.InDelta(t, answered, testutil.ToFloat64(a.bytes.total.WithLabelValues(rpcName, "received")), 0)
	require.Equal(t, zap.Any("sent_bytes", map[string]int{rpcName: int(asked)}), a.bytes.fields()[0])
	require.Equal(t, zap.Any("sent_bytes", map[string]int{}), a.bytes.fields()[0], "counted since the last line")
}
