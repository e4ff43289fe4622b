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

// commandResult is the exit code and output of one command line.
type commandResult struct {
	code int
	out  string
	err  string
}

func runCLI(t *testing.T, args ...string) commandResult {
	t.Helper()
	return runCLIContext(t.Context(), args...)
}

func runCLIContext(ctx context.Context, args ...string) commandResult {
	out, errs := bytes.Buffer{}, bytes.Buffer{}
	code := Main(ctx, IO{In: strings.NewReader(""), Out: &out, Err: &errs}, args)
	return commandResult{code: code, out: out.String(), err: errs.String()}
}

// assertGolden compares output and exit code with a golden file. Addresses differ
// from run to run and are replaced by a fixed word.
func assertGolden(t *testing.T, name string, r commandResult, addresses ...string) {
	t.Helper()
	text := r.out + "--- stderr\n" + r.err + "--- exit code " + string(rune('0'+r.code)) + "\n"
	for _, a := range addresses {
		text = strings.ReplaceAll(text, a, "ADDRESS")
	}
	goldie.New(t).Assert(t, name, []byte(text))
}

func TestHelpCoversEveryCommandAndHidesKeys(t *testing.T) {
	t.Setenv(operatorKeyEnv, "planted-operator-key")
	t.Setenv(workspaceKeyEnv, "planted-workspace-key")
	all := runCLI(t, "help")
	require.Equal(t, ExitOK, all.code)
	for _, c := range commands() {
		require.Contains(t, all.out, c.Name+" ")
		require.Contains(t, all.out, c.Summary)
		r := runCLI(t, c.Name, "-h")
		require.Equal(t, ExitOK, r.code)
		require.Contains(t, r.out, "example: ")
		require.Contains(t, r.out, "-json")
		require.NotContains(t, r.out, "planted", "help shows a key from the environment")
	}
	for _, name := range []string{"apply", "check", "demo", "diff", "explain", "send", "where"} {
		assertGolden(t, "help-"+name, runCLI(t, name, "-h"))
	}
}

func TestCompletionNamesEveryCommand(t *testing.T) {
	r := runCLI(t, "completion", "bash")
	require.Equal(t, ExitOK, r.code)
	for _, c := range commands() {
		require.Contains(t, r.out, "    "+c.Name+") flags=\"")
	}
}

func TestUsageErrorsExitWithUsageCode(t *testing.T) {
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
		r := runCLI(t, line...)
		require.Equal(t, ExitUsage, r.code, name)
		assertGolden(t, "usage-"+name, r)
	}
}

func TestCheckReportsEveryFaultWithItsFile(t *testing.T) {
	assertGolden(t, "check-faults", runCLI(t, "check", "testdata/faulty"))
	assertGolden(t, "check-faults-json", runCLI(t, "check", "-json", "testdata/faulty"))
	assertGolden(t, "check-valid", runCLI(t, "check", "testdata/valid"))
	assertGolden(t, "check-missing", runCLI(t, "check", "testdata/none"))
}

// fakeDaemon serves the administrative API of a daemon.
type fakeDaemon struct {
	config  operator.Config
	applies []operator.Apply
	// lostReplies is the number of applies whose connection is closed without a
	// reply; refusal, if set, answers the others.
	lostReplies int
	// failedStarts is the number of requests whose connection is closed before
	// the daemon answers any.
	failedStarts int
	// onLostReply, if set, is called for each lost reply.
	onLostReply func()
	refusal     *fault.Error
	status      []operator.Status
	table       json.RawMessage
}

func (d *fakeDaemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.failedStarts > 0 {
		d.failedStarts--
		panic(http.ErrAbortHandler)
	}
	switch {
	case r.Header.Get("Authorization") != "Bearer right":
		d.write(w, fault.New(fault.Unauthenticated, "give a key", "the operator's key is unknown"))
	case r.URL.Path == operator.PathConfig && r.Method == http.MethodPost:
		d.apply(w, r)
	case r.URL.Path == operator.PathConfig:
		d.write(w, d.config)
	case r.URL.Path == operator.PathTable && d.table != nil:
		d.write(w, d.table)
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
	if d.lostReplies > 0 {
		d.lostReplies--
		if d.onLostReply != nil {
			d.onLostReply()
		}
		panic(http.ErrAbortHandler)
	}
	if d.refusal != nil {
		d.write(w, d.refusal)
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

// startFakeDaemon starts a fake daemon with version 4 in force and returns its
// address.
func startFakeDaemon(t *testing.T) (*fakeDaemon, string) {
	t.Helper()
	t.Setenv(operatorKeyEnv, "right")
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
	_, address := startFakeDaemon(t)
	assertGolden(t, "diff", runCLI(t, "diff", "-daemon", address, "testdata/valid"))
	assertGolden(t, "diff-same", runCLI(t, "diff", "-daemon", address, "testdata/older"))
}

func TestApplyResendsALostChangeOnTheSameBase(t *testing.T) {
	d, address := startFakeDaemon(t)
	d.lostReplies = 2
	r := runCLI(t, "apply", "-daemon", address, "testdata/valid")
	require.Equal(t, ExitOK, r.code, r.err)
	require.Len(t, d.applies, 3)
	for _, a := range d.applies {
		require.EqualValues(t, 4, a.Base)
		require.Equal(t, d.applies[0].Files, a.Files)
	}
}

func TestApplyRetriesUntilADaemonAnswers(t *testing.T) {
	d, address := startFakeDaemon(t)
	d.failedStarts = 2
	r := runCLI(t, "apply", "-daemon", address, "testdata/valid")
	require.Equal(t, ExitOK, r.code, r.err)
	require.Equal(t, 1, strings.Count(r.err, "no daemon answers yet"))
	require.Len(t, d.applies, 1)
}

func TestApplyWithUnknownOutcomeNamesTheBaseToRepeat(t *testing.T) {
	d, address := startFakeDaemon(t)
	ctx, cancel := context.WithCancel(t.Context())
	d.lostReplies = 2
	d.onLostReply = func() {
		if d.lostReplies == 0 {
			cancel()
		}
	}
	r := runCLIContext(ctx, "apply", "-base", "4", "-daemon", address, "testdata/valid")
	require.Equal(t, ExitUnknown, r.code, r.err)
	require.Contains(t, r.err, "apply the same files with -base 4")
	require.Len(t, d.applies, 2)
}

func TestApplyConflictShowsVersionInForceAndDifferences(t *testing.T) {
	d, address := startFakeDaemon(t)
	d.refusal = fault.New(fault.Conflict, "merge your change and apply again", "version 4 of registrar won")
	r := runCLI(t, "apply", "-daemon", address, "-base", "3", "testdata/valid")
	require.Len(t, d.applies, 1)
	require.EqualValues(t, 3, d.applies[0].Base)
	assertGolden(t, "apply-conflict", r)
	assertGolden(t, "apply-conflict-json", runCLI(t, "apply", "-json", "-daemon", address, "-base", "3", "testdata/valid"))
}

func TestApplyWaitsUntilNoDaemonLags(t *testing.T) {
	d, address := startFakeDaemon(t)
	d.status = []operator.Status{
		{Members: []operator.MemberStatus{{Name: "d1", Version: 5}, {Name: "d2", Version: 4, Lags: true}}},
		{Members: []operator.MemberStatus{{Name: "d1", Version: 5}, {Name: "d2", Version: 5}}},
	}
	assertGolden(t, "apply-wait", runCLI(t, "apply", "-wait", "-daemon", address, "testdata/valid"))
}

func TestApplyNeverSendsFaultyFiles(t *testing.T) {
	d, address := startFakeDaemon(t)
	r := runCLI(t, "apply", "-daemon", address, "testdata/faulty")
	require.Equal(t, ExitFailed, r.code)
	require.Empty(t, d.applies)
}

func TestStatusMarksLaggingDaemons(t *testing.T) {
	d, address := startFakeDaemon(t)
	d.status = []operator.Status{{Daemon: "d1", Version: 5, Members: []operator.MemberStatus{
		{Name: "d1", Region: "gauteng", DataCentre: "jhb-north", Callers: "10.0.0.1:7101", Version: 5, Replica: true},
		{Name: "d2", Region: "western-cape", DataCentre: "cpt-south", Callers: "10.0.0.2:7101", Version: 4, Lags: true},
	}}}
	assertGolden(t, "status", runCLI(t, "status", "-daemon", address))
}

func TestExplainQueriesAllDaemonsPastAnUnreachableOne(t *testing.T) {
	_, address := startFakeDaemon(t)
	gone := httptest.NewServer(nil)
	gone.Close()
	r := runCLI(t, "explain", "-daemon", gone.Listener.Addr().String()+","+address, "known")
	assertGolden(t, "explain", r, address)
	require.Equal(t, ExitRefused, runCLI(t, "explain", "-daemon", address, "other").code)
	require.Equal(t, ExitUnreachable, runCLI(t, "get", "-daemon", gone.Listener.Addr().String()).code)
}

func TestWrongOperatorKeyIsRefused(t *testing.T) {
	_, address := startFakeDaemon(t)
	assertGolden(t, "wrong-key", runCLI(t, "get", "-daemon", address, "-key", "wrong"))
}
