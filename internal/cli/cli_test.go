package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/api/operator"
)

// result is what one command line gave.
type result struct {
	code int
	out  string
	err  string
}

func command(t *testing.T, args ...string) result {
	t.Helper()
	return commandIn(t.Context(), args...)
}

func commandIn(ctx context.Context, args ...string) result {
	out, errs := bytes.Buffer{}, bytes.Buffer{}
	code := Main(ctx, IO{In: strings.NewReader(""), Out: &out, Err: &errs}, args)
	return result{code: code, out: out.String(), err: errs.String()}
}

// golden compares all that a user sees; addresses differ by run.
func golden(t *testing.T, name string, r result, addresses ...string) {
	t.Helper()
	text := r.out + "--- stderr\n" + r.err + "--- exit code " + string(rune('0'+r.code)) + "\n"
	for _, a := range addresses {
		text = strings.ReplaceAll(text, a, "ADDRESS")
	}
	goldie.New(t).Assert(t, name, []byte(text))
}

func TestHelpOfEveryCommand(t *testing.T) {
	t.Setenv(operatorVariable, "planted-operator-key")
	t.Setenv(workspaceVariable, "planted-workspace-key")
	all := command(t, "help")
	require.Equal(t, ExitOK, all.code)
	for _, c := range commands() {
		require.Contains(t, all.out, c.Name+" ")
		require.Contains(t, all.out, c.Summary)
		r := command(t, c.Name, "-h")
		require.Equal(t, ExitOK, r.code)
		require.Contains(t, r.out, "example: ")
		require.Contains(t, r.out, "-json")
		require.NotContains(t, r.out, "planted", "help shows a key")
	}
	for _, name := range []string{"apply", "check", "demo", "diff", "explain", "send", "where"} {
		golden(t, "help-"+name, command(t, name, "-h"))
	}
}

func TestCompletionNamesEveryCommand(t *testing.T) {
	r := command(t, "completion", "bash")
	require.Equal(t, ExitOK, r.code)
	for _, c := range commands() {
		require.Contains(t, r.out, "    "+c.Name+") flags=\"")
	}
}

func TestUsageErrors(t *testing.T) {
	lines := map[string][]string{
		"unknown":   {"aply"},
		"flag":      {"get", "-colour"},
		"folder":    {"check"},
		"send":      {"send", "-model", "m", "-service", "s"},
		"prompt":    {"send", "-model", "m"},
		"explain":   {"explain"},
		"shell":     {"completion", "fish"},
		"json-flag": {"explain", "-json"},
	}
	for name, line := range lines {
		r := command(t, line...)
		require.Equal(t, ExitUsage, r.code, name)
		golden(t, "usage-"+name, r)
	}
}

func TestCheckReportsEveryFaultWithItsFile(t *testing.T) {
	golden(t, "check-faults", command(t, "check", "testdata/faulty"))
	golden(t, "check-faults-json", command(t, "check", "-json", "testdata/faulty"))
	golden(t, "check-valid", command(t, "check", "testdata/valid"))
	golden(t, "check-missing", command(t, "check", "testdata/none"))
}

// fakeDaemon answers as a daemon's administrative address would.
type fakeDaemon struct {
	config  operator.Config
	applies []operator.Apply
	// lost counts applies whose answer is lost; refuse answers all others.
	lost int
	// starting counts questions that break off before it answers any.
	starting int
	whenLost func()
	refuse   *fault.Error
	status   []operator.Status
}

func (d *fakeDaemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.starting > 0 {
		d.starting--
		panic(http.ErrAbortHandler)
	}
	switch {
	case r.Header.Get("Authorization") != "Bearer right":
		d.write(w, fault.New(fault.Unauthenticated, "give a key", "the operator's key is unknown"))
	case r.URL.Path == operator.PathConfig && r.Method == http.MethodPost:
		d.apply(w, r)
	case r.URL.Path == operator.PathConfig:
		d.write(w, d.config)
	case r.URL.Path == operator.PathStatus:
		d.write(w, d.status[0])
		if len(d.status) > 1 {
			d.status = d.status[1:]
		}
	case r.URL.Path == operator.PathExplain && r.URL.Query().Get("key") == "known":
		d.write(w, json.RawMessage(`{"upstream":"runner-1"}`))
	default:
		d.write(w, fault.New(fault.NotFound, "check the key", "nothing is known"))
	}
}

func (d *fakeDaemon) apply(w http.ResponseWriter, r *http.Request) {
	a := operator.Apply{}
	if err := json.NewDecoder(r.Body).Decode(&a); err != nil {
		panic(err)
	}
	d.applies = append(d.applies, a)
	if d.lost > 0 {
		d.lost--
		if d.whenLost != nil {
			d.whenLost()
		}
		panic(http.ErrAbortHandler)
	}
	if d.refuse != nil {
		d.write(w, d.refuse)
		return
	}
	d.write(w, operator.Applied{Version: a.Base + 1, Digest: "sha256:new"})
}

func (d *fakeDaemon) write(w http.ResponseWriter, v any) {
	if e, ok := v.(*fault.Error); ok {
		w.WriteHeader(e.HTTPStatus())
	}
	_ = json.NewEncoder(w).Encode(v)
}

// fake starts a daemon that has version 4 in force.
func fake(t *testing.T) (*fakeDaemon, string) {
	t.Helper()
	t.Setenv(operatorVariable, "right")
	files, err := ReadFolder("testdata/older")
	require.NoError(t, err)
	files, err = files.Compact()
	require.NoError(t, err)
	d := &fakeDaemon{config: operator.Config{Version: 4, Digest: files.Digest(), Files: operator.Files(files)}}
	srv := httptest.NewServer(d)
	t.Cleanup(srv.Close)
	return d, srv.Listener.Addr().String()
}

func TestDiffShowsValuesByPath(t *testing.T) {
	_, address := fake(t)
	golden(t, "diff", command(t, "diff", "-daemon", address, "testdata/valid"))
	golden(t, "diff-same", command(t, "diff", "-daemon", address, "testdata/older"))
}

func TestApplyResendsALostChangeOnTheSameBase(t *testing.T) {
	d, address := fake(t)
	d.lost = 2
	r := command(t, "apply", "-daemon", address, "testdata/valid")
	require.Equal(t, ExitOK, r.code, r.err)
	require.Len(t, d.applies, 3)
	for _, a := range d.applies {
		require.EqualValues(t, 4, a.Base)
		require.Equal(t, d.applies[0].Files, a.Files)
	}
}

func TestApplyWaitsForADaemonThatStarts(t *testing.T) {
	d, address := fake(t)
	d.starting = 2
	r := command(t, "apply", "-daemon", address, "testdata/valid")
	require.Equal(t, ExitOK, r.code, r.err)
	require.Equal(t, 1, strings.Count(r.err, "no daemon answers yet"))
	require.Len(t, d.applies, 1)
}

func TestApplyOfUnknownFateSaysHowToGoOn(t *testing.T) {
	d, address := fake(t)
	ctx, cancel := context.WithCancel(t.Context())
	d.lost = 2
	d.whenLost = func() {
		if d.lost == 0 {
			cancel()
		}
	}
	r := commandIn(ctx, "apply", "-base", "4", "-daemon", address, "testdata/valid")
	require.Equal(t, ExitUnknown, r.code, r.err)
	require.Contains(t, r.err, "apply the same files with -base 4")
	require.Len(t, d.applies, 2)
}

func TestApplyConflictShowsWinnerAndDifference(t *testing.T) {
	d, address := fake(t)
	d.refuse = fault.New(fault.Conflict, "merge your change and apply again", "version 4 of registrar won")
	r := command(t, "apply", "-daemon", address, "-base", "3", "testdata/valid")
	require.Len(t, d.applies, 1)
	require.EqualValues(t, 3, d.applies[0].Base)
	golden(t, "apply-conflict", r)
	golden(t, "apply-conflict-json", command(t, "apply", "-json", "-daemon", address, "-base", "3", "testdata/valid"))
}

func TestApplyWaitsUntilNobodyLags(t *testing.T) {
	d, address := fake(t)
	d.status = []operator.Status{
		{Members: []operator.MemberStatus{{Name: "d1", Version: 5}, {Name: "d2", Version: 4, Lags: true}}},
		{Members: []operator.MemberStatus{{Name: "d1", Version: 5}, {Name: "d2", Version: 5}}},
	}
	golden(t, "apply-wait", command(t, "apply", "-wait", "-daemon", address, "testdata/valid"))
}

func TestApplyNeverSendsFaultyFiles(t *testing.T) {
	d, address := fake(t)
	r := command(t, "apply", "-daemon", address, "testdata/faulty")
	require.Equal(t, ExitFailed, r.code)
	require.Empty(t, d.applies)
}

func TestStatusShowsWhoLags(t *testing.T) {
	d, address := fake(t)
	d.status = []operator.Status{{Daemon: "d1", Version: 5, Members: []operator.MemberStatus{
		{Name: "d1", Region: "gauteng", DataCentre: "jhb-north", Callers: "10.0.0.1:7101", Version: 5, Replica: true},
		{Name: "d2", Region: "western-cape", DataCentre: "cpt-south", Callers: "10.0.0.2:7101", Version: 4, Lags: true},
	}}}
	golden(t, "status", command(t, "status", "-daemon", address))
}

func TestNextDaemonIsAskedWhereOneIsGone(t *testing.T) {
	_, address := fake(t)
	gone := httptest.NewServer(nil)
	gone.Close()
	r := command(t, "explain", "-daemon", gone.Listener.Addr().String()+","+address, "known")
	golden(t, "explain", r, address)
	require.Equal(t, ExitRefused, command(t, "explain", "-daemon", address, "other").code)
	require.Equal(t, ExitUnreachable, command(t, "get", "-daemon", gone.Listener.Addr().String()).code)
}

func TestWrongKeyIsRefused(t *testing.T) {
	_, address := fake(t)
	golden(t, "wrong-key", command(t, "get", "-daemon", address, "-key", "wrong"))
}
