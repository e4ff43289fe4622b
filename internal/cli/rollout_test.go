package cli

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/api/operator"
)

// TestRolloutIsFollowedToItsEnd guards against an operator who is not told that, or why, a version
// was rolled back, and against a script that takes a rollback for a success.
func TestRolloutIsFollowedToItsEnd(t *testing.T) {
	calls := []string{}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls = append(calls, r.Method+" "+r.URL.RequestURI())
		out := operator.Rollout{Pool: "p/q", Target: "v2", Number: 3, Phase: "trial", Seconds: 90}
		switch r.Method {
		case http.MethodPost:
			order := operator.RolloutOrder{}
			_ = json.NewDecoder(r.Body).Decode(&order)
			if order.Target == "v3" {
				e := fault.New(fault.Conflict, "wait", "a rollout runs")
				w.WriteHeader(e.HTTPStatus())
				_ = json.NewEncoder(w).Encode(e)
				return
			}
			out.Seconds = order.Seconds
		case http.MethodGet:
			out.Phase, out.ElapsedSeconds, out.Requests, out.Reserved, out.Reason = "rolled_back", 4.25, 500, 61, "9 of 20 answers failed"
		}
		_ = json.NewEncoder(w).Encode(out)
	}))
	t.Cleanup(srv.Close)
	address := srv.Listener.Addr().String()

	r := runCLI(t, "rollout", "-daemon", address, "-follow", "-duration", "90s", "start", "p/q", "v2")
	require.Equal(t, ExitFailed, r.code)
	require.Equal(t, "pool p/q to version v2: trial, 0.0 of 90.0 s, at most 0 of at least 0 requests at the version\n"+
		"pool p/q to version v2: rolled_back, 4.2 of 90.0 s, at most 61 of at least 500 requests at the version: 9 of 20 answers failed\n", r.out)
	require.Contains(t, r.err, "9 of 20 answers failed")
	require.Equal(t, ExitConflict, runCLI(t, "rollout", "-daemon", address, "start", "p/q", "v3").code)
	require.Equal(t, ExitOK, runCLI(t, "rollout", "-daemon", address, "abort", "p/q").code)
	require.Equal(t, ExitUsage, runCLI(t, "rollout", "-daemon", address, "stop", "p/q").code)
	require.Equal(t, "DELETE /operator/v1/rollout?pool=p%2Fq", calls[len(calls)-1])
}
