package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/internal/freeport"
	"github.com/verbenastep/verbenastep/internal/settings"
)

const (
	processTimeout   = 30 * time.Second
	pollInterval     = 20 * time.Millisecond
	maxLines         = 1000
	started          = "daemon started"
	directoryRequest = "GET /v1/directory HTTP/1.1\r\nHost: x\r\n\r\n"
)

// process is a daemon that runs as a process of its own.
type process struct {
	*exec.Cmd
	t       *testing.T
	callers string
	// lines delivers the lines of its log.
	lines chan string
	// logs is the reading end of its standard error.
	logs *os.File
}

// folder holds the built command.
var folder string

// TestMain removes the built command at the end.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "verbenastepd")
	if err != nil {
		panic(err)
	}
	folder = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// build builds the command of this package once and returns its file.
var build = sync.OnceValues(func() (string, error) {
	file := filepath.Join(folder, "verbenastepd")
	if out, err := exec.Command("go", "build", "-o", file, ".").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return file, nil
})

// newProcess returns a daemon that is its own only replica, and its settings. It does not run yet
// and reads its settings from a file.
func newProcess(t *testing.T, file string) (*process, []byte) {
	t.Helper()
	a, err := freeport.Addresses(4)
	require.NoError(t, err)
	data, err := json.Marshal(&settings.Settings{
		Name: "daemon-1", Region: "r", DataCentre: "dc", Addresses: settings.Addresses{Callers: a[0], Peers: a[1], Upstreams: a[2], Admin: a[3]},
		Roles: []settings.Role{settings.Replica}, DataFolder: t.TempDir(), Replicas: []settings.Peer{{Name: "daemon-1", Address: a[1]}}, Seeds: []string{a[1]},
	})
	require.NoError(t, err)
	command, err := build()
	require.NoError(t, err)
	return &process{t: t, Cmd: exec.Command(command, "-settings", file), callers: a[0], lines: make(chan string, maxLines)}, data
}

// startProcess starts a daemon and waits until it serves.
func startProcess(t *testing.T) *process {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.json")
	p, data := newProcess(t, file)
	require.NoError(t, os.WriteFile(file, data, 0o600))
	p.run()
	p.awaitLine(started)
	return p
}

// startLoading starts a daemon whose settings are a pipe, and returns the writing end and the
// settings once the daemon waits for them.
func startLoading(t *testing.T) (*process, *os.File, []byte) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, syscall.Mkfifo(file, 0o600))
	p, data := newProcess(t, file)
	p.run()
	// Opening a pipe waits for its reader.
	pipe, err := os.OpenFile(file, os.O_WRONLY, 0)
	require.NoError(t, err)
	return p, pipe, data
}

// run starts the process and reads its log.
func (p *process) run() {
	p.t.Helper()
	in, out, err := os.Pipe()
	require.NoError(p.t, err)
	p.logs, p.Stderr = in, out
	require.NoError(p.t, p.Start())
	require.NoError(p.t, out.Close())
	p.t.Cleanup(func() { _ = p.Process.Kill() })
	go func() {
		defer close(p.lines)
		for s := bufio.NewScanner(in); s.Scan(); {
			p.lines <- s.Text()
		}
	}()
}

// awaitLine waits for a line of the log.
func (p *process) awaitLine(text string) {
	p.t.Helper()
	timeout, last := time.After(processTimeout), ""
	for {
		select {
		case line, open := <-p.lines:
			require.True(p.t, open, "the process ended before it logged %q, after %q", text, last)
			if strings.Contains(line, text) {
				return
			}
			last = line
		case <-timeout:
			require.Fail(p.t, "not logged", "%q", text)
		}
	}
}

// beginRequest sends a part of a request's header, and returns the connection.
func (p *process) beginRequest() net.Conn {
	p.t.Helper()
	c, err := net.Dial("tcp", p.callers)
	require.NoError(p.t, err)
	_, err = io.WriteString(c, directoryRequest[:20])
	require.NoError(p.t, err)
	time.Sleep(pollInterval)
	return c
}

// requireAnswer sends the rest of a request and requires a complete answer.
func (p *process) requireAnswer(c net.Conn) {
	p.t.Helper()
	_, err := io.WriteString(c, directoryRequest[20:])
	require.NoError(p.t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(p.t, err, "the request was cut off")
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(p.t, err)
	require.Equal(p.t, http.StatusOK, resp.StatusCode)
}

// requireExit requires that the process ends with an exit code.
func (p *process) requireExit(code int) {
	p.t.Helper()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = p.Wait()
	}()
	select {
	case <-ended:
	case <-time.After(processTimeout):
		require.Fail(p.t, "the process did not end")
	}
	require.Equal(p.t, code, p.ProcessState.ExitCode(), "%s", p.ProcessState)
}

// TestProcessAnswersAfterRepeatedSIGTERM guards against a request in flight that is cut off by a
// second SIGTERM.
func TestProcessAnswersAfterRepeatedSIGTERM(t *testing.T) {
	t.Parallel()
	p := startProcess(t)
	c := p.beginRequest()
	defer c.Close()
	require.NoError(t, p.Process.Signal(syscall.SIGTERM))
	p.awaitLine("draining")
	for range 3 {
		require.NoError(t, p.Process.Signal(syscall.SIGTERM))
		time.Sleep(5 * pollInterval)
	}
	p.requireAnswer(c)
	p.requireExit(exitOK)
}

// TestProcessStopsAtOnceAtSIGINT guards against a person at a terminal who must wait for the end
// of a drain.
func TestProcessStopsAtOnceAtSIGINT(t *testing.T) {
	t.Parallel()
	p := startProcess(t)
	c := p.beginRequest()
	defer c.Close()
	require.NoError(t, p.Process.Signal(syscall.SIGTERM))
	p.awaitLine("draining")
	require.NoError(t, p.Process.Signal(syscall.SIGINT))
	p.requireExit(exitFailed)
}

// TestProcessSurvivesEarlySIGHUP guards against a process that is ended by a request to reload its
// settings, since it comes before the daemon runs.
func TestProcessSurvivesEarlySIGHUP(t *testing.T) {
	t.Parallel()
	p, pipe, data := startLoading(t)
	require.NoError(t, p.Process.Signal(syscall.SIGHUP))
	time.Sleep(5 * pollInterval)
	_, err := pipe.Write(data)
	require.NoError(t, err)
	require.NoError(t, pipe.Close())
	p.awaitLine(started)
	require.NoError(t, p.Process.Signal(syscall.SIGTERM))
	p.requireExit(exitOK)
}

// TestProcessBeginsNothingAfterEarlySIGTERM guards against a daemon that starts to serve although
// it was told to stop before, or that reports a failure.
func TestProcessBeginsNothingAfterEarlySIGTERM(t *testing.T) {
	t.Parallel()
	p, pipe, data := startLoading(t)
	require.NoError(t, p.Process.Signal(syscall.SIGTERM))
	time.Sleep(5 * pollInterval)
	_, err := pipe.Write(data)
	require.NoError(t, err)
	require.NoError(t, pipe.Close())
	p.requireExit(exitOK)
	for line := range p.lines {
		require.NotContains(t, line, started)
	}
}

// TestProcessDrainsWithoutReaderOfItsLog guards against requests in flight that are cut off since
// the reader of the log ends before the daemon, such as the other command of a shell pipeline at
// Ctrl-C: by default, a write to standard error ends the process then.
func TestProcessDrainsWithoutReaderOfItsLog(t *testing.T) {
	t.Parallel()
	p := startProcess(t)
	c := p.beginRequest()
	defer c.Close()
	require.NoError(t, p.logs.Close())
	require.NoError(t, p.Process.Signal(syscall.SIGINT))
	time.Sleep(10 * pollInterval)
	p.requireAnswer(c)
	p.requireExit(exitOK)
}
