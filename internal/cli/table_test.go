package cli

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	soundTable  = "testdata/table-sound.json"
	faultyTable = "testdata/table-faulty.json"
)

// TestCheckTableReportsFindings guards against an exit code of success for a table that the control
// daemons reject, and against one of failure for warnings.
func TestCheckTableReportsFindings(t *testing.T) {
	assertGolden(t, "check-table-sound", runCLI(t, "check", "-table", soundTable))
	assertGolden(t, "check-table-faulty", runCLI(t, "check", "-table", faultyTable))
	assertGolden(t, "check-table-faulty-json", runCLI(t, "check", "-json", "-table", faultyTable))
	require.Equal(t, ExitFailed, runCLI(t, "check", "-table", "testdata/valid").code)
	require.Equal(t, ExitUsage, runCLI(t, "check", "-table", soundTable, "testdata/valid").code)
	require.Equal(t, ExitUsage, runCLI(t, "check", "-against", "127.0.0.1:1").code)
}

// TestCheckTableAgainstDaemon guards against a difference from the table in force that the operator
// is not shown.
func TestCheckTableAgainstDaemon(t *testing.T) {
	t.Setenv(operatorKeyEnv, "right")
	d, address := startFakeDaemon(t)
	r := runCLI(t, "check", "-table", soundTable, "-against", address)
	require.Equal(t, ExitRefused, r.code, "no table is known there: %s", r.err)
	d.table = []byte(`{"version":3,"routes":[],"pools":[{"name":"model","connections":9}],"limits":{}}`)
	assertGolden(t, "check-table-against", runCLI(t, "check", "-table", soundTable, "-against", address), address)
}
