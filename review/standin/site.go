package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the small deployments in the users' pages.
const (
	heartbeatInterval = 1200 * time.Millisecond
	contactTime       = 4 * time.Second
	drainTime         = 2500 * time.Millisecond
	callTimeout       = time.Second
	startTimeout      = 40 * time.Second
	pollInterval      = 50 * time.Millisecond
)

const (
	host   = "review.example"
	zone   = "zone-a"
	region = "region-a"
	// farZone and farRegion are those of runners that are chosen last.
	farZone   = "zone-b"
	farRegion = "region-b"
	apiKey    = "review-key"
)

// site is a small deployment: daemons as processes, runners and clients in this process.
type site struct {
	binary string
	folder string
	began  time.Time
	// disturbed is false if the case is played without its disruption.
	disturbed bool
	ports     ports
	controls  []*process
	entries   []*process
	runners   []*runner
	caller    *http.Client
	launches  chan func()
	stop      chan struct{}

	mu     sync.Mutex
	record io.Writer
	lastID int
}

// ports are the same on all machines of a deployment.
type ports struct{ peers, admin, control, callers, ready, directory int }

// process is a daemon, started with the command of the deploy file.
type process struct {
	name     string
	ip       string
	file     string
	settings map[string]any
	cmd      *exec.Cmd
	gone     chan struct{}
}

func newSite(binary, folder string, record io.Writer) *site {
	s := &site{binary: binary, folder: folder, began: time.Now(), record: record, launches: make(chan func()), stop: make(chan struct{})}
	s.caller = &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	go s.serveLaunches()
	return s
}

// serveLaunches starts all processes on one thread: the system ends a process when the thread
// ends that has started it, so that none outlives this program.
func (s *site) serveLaunches() {
	runtime.LockOSThread()
	for start := range s.launches {
		start()
	}
}

// note writes a line to the record.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f s  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// address returns the loopback address of the n-th machine. Each run has addresses of its own.
func address(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8%254, pid%256, 1+n)
}

// freePorts finds ports that are free on all machines.
func freePorts(machines int) (ports, error) {
	found := []int{}
	for range 200 {
		first, err := net.Listen("tcp", address(0)+":0")
		if err != nil {
			return ports{}, err
		}
		port := first.Addr().(*net.TCPAddr).Port
		free := true
		for n := 1; n < machines && free; n++ {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", address(n), port))
			free = err == nil
			if free {
				_ = ln.Close()
			}
		}
		_ = first.Close()
		if free {
			found = append(found, port)
		}
		if len(found) == 6 {
			return ports{found[0], found[1], found[2], found[3], found[4], found[5]}, nil
		}
	}
	return ports{}, errors.New("no free ports were found")
}

// start starts the daemons as deploy/control.json and deploy/entry.json describe them.
func (s *site) start(controls, entries int) error {
	all, err := freePorts(controls + entries)
	if err != nil {
		return err
	}
	s.ports = all
	seeds := []string{}
	for n := range controls {
		seeds = append(seeds, s.at(address(n), all.control))
	}
	for n := range controls {
		p := s.newProcess(fmt.Sprintf("core-%d", n+1), address(n), seeds)
		p.settings["roles"], p.settings["data_folder"] = []string{"replica"}, filepath.Join(s.folder, "data-"+p.name)
		routing := p.settings["routing"].(map[string]any)
		routing["control"], routing["found"] = seeds[n], true
		s.controls = append(s.controls, p)
	}
	for n := range entries {
		p := s.newProcess(fmt.Sprintf("front-%d", n+1), address(controls+n), seeds)
		p.settings["addresses"].(map[string]string)["callers"] = s.at(p.ip, all.callers)
		p.settings["limits"] = map[string]any{"header_bytes": 65536}
		routing := p.settings["routing"].(map[string]any)
		routing["ready"], routing["directory"] = s.at(p.ip, all.ready), s.at(p.ip, all.directory)
		routing["retry"] = map[string]any{"ratio": 0.2, "window_s": 10, "slack": 58}
		s.entries = append(s.entries, p)
	}
	for _, p := range append(append([]*process{}, s.controls...), s.entries...) {
		if err := s.launch(p); err != nil {
			return err
		}
	}
	return nil
}

func (s *site) at(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

func (s *site) newProcess(name, ip string, seeds []string) *process {
	return &process{name: name, ip: ip, file: filepath.Join(s.folder, name+".json"), settings: map[string]any{
		"name": name, "region": region, "data_centre": zone, "seeds": seeds,
		"addresses": map[string]string{"peers": s.at(ip, s.ports.peers), "admin": s.at(ip, s.ports.admin)},
		"log":       map[string]any{"format": "json", "stdout": true},
		"routing": map[string]any{
			"seed_port": s.ports.peers, "heartbeat_ms": heartbeatInterval.Milliseconds(), "grace_s": 8, "answer_life_ms": 1000,
			"overload": map[string]any{}, "pace": map[string]any{}, "quota": map[string]any{"slack_tokens": 190000},
			"data_centres": map[string]string{zone: region, farZone: farRegion},
		},
	}}
}

// launch starts a daemon.
func (s *site) launch(p *process) error {
	data, err := json.Marshal(p.settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.file, data, 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(s.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	cmd := exec.Command(s.binary, "-settings", p.file)
	cmd.Env = append(os.Environ(), "GOGC=50", "VERBENASTEP_SETTINGS="+p.file)
	cmd.Stdout, cmd.Stderr = output, output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	result := make(chan error, 1)
	s.launches <- func() { result <- cmd.Start() }
	if err := <-result; err != nil {
		return err
	}
	gone := make(chan struct{})
	p.cmd, p.gone = cmd, gone
	go func() {
		_ = cmd.Wait() // the case decides what the end means
		close(gone)
	}()
	s.note("%s started", p.name)
	return nil
}

// kill ends a daemon with SIGKILL.
func (s *site) kill(p *process) {
	_ = p.cmd.Process.Kill()
	<-p.gone
	s.note("%s killed", p.name)
}

// restart starts a daemon again. The platform starts it with bootstrap set to false.
func (s *site) restart(p *process) error {
	delete(p.settings["routing"].(map[string]any), "found")
	return s.launch(p)
}

// close ends all processes.
func (s *site) close() {
	close(s.stop)
	for _, p := range append(append([]*process{}, s.controls...), s.entries...) {
		if p.cmd != nil {
			_ = p.cmd.Process.Kill()
			<-p.gone
		}
	}
	for _, r := range s.runners {
		r.close()
	}
}

// call sends a call of the operator, a runner or the platform and returns the status, zero if
// none came.
func (s *site) call(method, address, path string, body any) int {
	data := []byte(nil)
	if body != nil {
		data, _ = json.Marshal(body) // the bodies hold only texts and numbers
	}
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.caller.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// publish sends a configuration until a control daemon acknowledges it.
func (s *site) publish(c map[string]any) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		for _, p := range s.controls {
			if s.call(http.MethodPut, s.at(p.ip, s.ports.control), "/config", c) == http.StatusOK {
				s.note("operator: version %v acknowledged by %s", c["version"], p.name)
				return nil
			}
		}
	}
	return errors.New("no configuration was acknowledged")
}

// awaitReady waits until all entries are ready.
func (s *site) awaitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		ready := 0
		for _, p := range s.entries {
			if s.call(http.MethodGet, s.at(p.ip, s.ports.ready), "/ready", nil) == http.StatusOK {
				ready++
			}
		}
		if ready == len(s.entries) {
			s.note("all fronts are ready")
			return nil
		}
	}
	return errors.New("the entries did not become ready")
}

// resolve asks the directory of an entry for the entries.
func (s *site) resolve(p *process) []string {
	answer := struct {
		Addresses []string `json:"addresses"`
	}{}
	resp, err := s.caller.Get("http://" + s.at(p.ip, s.ports.directory) + "/resolve?name=" + host + "&region=" + region + "&zone=" + zone)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	if json.NewDecoder(resp.Body).Decode(&answer) != nil {
		return nil
	}
	return answer.Addresses
}

// reply is what a client got: the status, zero if the connection ended without an answer.
type reply struct {
	status int
	seal   string
	body   string
	took   time.Duration
	retry  string
}

// attempt sends one client attempt to an entry, and records both ends of it.
func (s *site) attempt(front, method, path, body string, timeout time.Duration) (id string, r reply) {
	s.mu.Lock()
	s.lastID++
	id = fmt.Sprintf("%08x%08x", os.Getpid(), s.lastID)
	s.mu.Unlock()
	req, err := http.NewRequest(method, "http://"+front+path, strings.NewReader(body))
	if err != nil {
		return id, r
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	req.Header.Set("Authorization", "Token "+apiKey)
	client := &http.Client{Timeout: timeout + time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	began := time.Now()
	s.note("client: %s %s %s sent to %s", method, path, id, front)
	resp, err := client.Do(req)
	if err == nil {
		data, readErr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		err = readErr
		r = reply{status: resp.StatusCode, seal: resp.Header.Get("X-Response-Seal"), body: string(data), retry: resp.Header.Get("Retry-After")}
	}
	r.took = time.Since(began)
	if err != nil {
		r.status = 0
		s.note("client: %s got no answer after %v: %v", id, r.took.Round(time.Millisecond), err)
		return id, r
	}
	s.note("client: %s got %d after %v, seal %q, %.120s", id, r.status, r.took.Round(time.Millisecond), r.seal, strings.TrimSpace(r.body))
	return id, r
}
