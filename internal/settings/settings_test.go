package settings_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/internal/settings"
)

// valid returns valid settings of a replica.
func valid() *settings.Settings {
	return &settings.Settings{
		Name: "d1", Region: "gauteng", DataCentre: "jhb-north",
		Addresses:  settings.Addresses{Callers: "10.0.0.1:1", Peers: "10.0.0.1:2", Upstreams: "10.0.0.1:3", Admin: "10.0.0.1:4"},
		Roles:      []settings.Role{settings.Replica},
		DataFolder: "data", Replicas: []settings.Peer{{Name: "d1", Address: "10.0.0.1:2"}},
	}
}

func faultsOf(t *testing.T, s *settings.Settings) []settings.Fault {
	t.Helper()
	data, err := json.Marshal(s)
	require.NoError(t, err)
	_, err = settings.Parse("d1.json", data)
	if err == nil {
		return nil
	}
	found := (*settings.Error)(nil)
	require.ErrorAs(t, err, &found)
	return found.Faults
}

func TestContradictionsAreReported(t *testing.T) {
	cases := []struct {
		name   string
		change func(s *settings.Settings)
		path   string
	}{
		{"replica that is not listed", func(s *settings.Settings) { s.Replicas[0].Name = "d2" }, "$.roles"},
		{"listed without the role", func(s *settings.Settings) { s.Roles = nil }, "$.replicas[0]"},
		{"listed at another address", func(s *settings.Settings) { s.Replicas[0].Address = "10.0.0.1:9" }, "$.replicas[0].address"},
		{"replica without a folder", func(s *settings.Settings) { s.DataFolder = "" }, "$.data_folder"},
		{"one port twice", func(s *settings.Settings) { s.Addresses.Admin = "10.0.0.1:1" }, "$.addresses.admin"},
		{"one port on all IPs", func(s *settings.Settings) { s.Addresses.Admin = "0.0.0.0:3" }, "$.addresses.admin"},
		{"peers on all IPs", func(s *settings.Settings) { s.Addresses.Peers = "0.0.0.0:2" }, "$.addresses.peers"},
		{"host name", func(s *settings.Settings) { s.Addresses.Upstreams = "localhost:3" }, "$.addresses.upstreams"},
		{"port zero", func(s *settings.Settings) { s.Addresses.Upstreams = "10.0.0.1:0" }, "$.addresses.upstreams"},
		{"seed without a port", func(s *settings.Settings) { s.Seeds = []string{"10.0.0.2"} }, "$.seeds[0]"},
		{"half the TLS files", func(s *settings.Settings) { s.TLS.CertFile, s.TLS.KeyFile = "c", "k" }, "$.tls.ca_file"},
		{"replica twice", func(s *settings.Settings) {
			s.Replicas = append(s.Replicas, settings.Peer{Name: "d1", Address: "10.0.0.2:2"})
		}, "$.replicas[1].name"},
		{"unknown role", func(s *settings.Settings) { s.Roles = append(s.Roles, "oracle") }, "$.roles[1]"},
		{"unknown level", func(s *settings.Settings) { s.Log.Level = "loud" }, "$.log.level"},
		{"unknown format", func(s *settings.Settings) { s.Log.Format = "xml" }, "$.log.format"},
		{"negative limit", func(s *settings.Settings) { s.Limits.Connections = -1 }, "$.limits.connections"},
	}
	cases = append(cases, []struct {
		name   string
		change func(s *settings.Settings)
		path   string
	}{
		{"grace in two units", func(s *settings.Settings) {
			s.Routing = &settings.Routing{GraceMS: 8000, GraceSeconds: 8}
		}, "$.routing.grace_s"},
		{"window in two units", func(s *settings.Settings) {
			s.Routing = &settings.Routing{Retry: settings.Retry{WindowMS: 1, WindowSeconds: 1}}
		}, "$.routing.retry.window_s"},
		{"negative grace", func(s *settings.Settings) { s.Routing = &settings.Routing{GraceSeconds: -1} }, "$.routing.grace_s"},
	}...)
	require.Empty(t, faultsOf(t, valid()))
	for _, c := range cases {
		s := valid()
		c.change(s)
		paths := []string{}
		for _, f := range faultsOf(t, s) {
			paths = append(paths, f.Path)
			require.NotEmpty(t, f.Remedy, c.name)
		}
		require.Contains(t, paths, c.path, c.name)
	}
}

// TestAllFaultsAreReportedTogether compares the messages for a file with many
// faults, and for one that is not JSON, with golden files.
func TestAllFaultsAreReportedTogether(t *testing.T) {
	for _, name := range []string{"faulty", "broken"} {
		data, err := os.ReadFile("testdata/" + name + ".json")
		require.NoError(t, err)
		_, err = settings.Parse(name+".json", data)
		goldie.New(t).Assert(t, name, []byte(err.Error()+"\n"))
	}
}

func TestMissingFileErrorNamesTheFlag(t *testing.T) {
	_, err := settings.Load("testdata/none.json")
	require.ErrorContains(t, err, "-settings")
}

func TestExampleSettingsAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/daemon-*.json")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, f := range files {
		_, err := settings.Load(f)
		require.NoError(t, err)
	}
}

// TestIntegerThatIsNotDecodedIsReported covers numbers that JSON Schema accepts as integers but
// Go does not decode into one: without a fault the field would silently stay zero.
func TestIntegerThatIsNotDecodedIsReported(t *testing.T) {
	s := valid()
	s.Limits.Connections = 12345
	data, err := json.Marshal(s)
	require.NoError(t, err)
	_, err = settings.Parse("d1.json", bytes.Replace(data, []byte("12345"), []byte("1e3"), 1))
	require.ErrorContains(t, err, "write integers without fraction or exponent")
}

// TestBufferBoundHasADefault guards against an entry that holds nothing for slow callers since its
// settings name no bound.
func TestBufferBoundHasADefault(t *testing.T) {
	require.EqualValues(t, 32<<20, (&settings.Routing{}).BufferBytes())
	require.EqualValues(t, 3<<19, (&settings.Routing{BufferMB: 1.5}).BufferBytes())
}
