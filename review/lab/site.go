package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// startTimeout bounds the wait until the system serves.
	startTimeout = 25 * time.Second
	pollInterval = 100 * time.Millisecond
	callTimeout  = time.Second
	// restartDelay is the delay after which the platform starts a process that has ended.
	restartDelay = 600 * time.Millisecond
	// contactTime is the bound contact_ms of the deployment.
	contactTime = 4 * time.Second
)

// lab is a small deployment on loopback and its record.
type lab struct {
	programs  string
	templates string
	folder    string
	trouble   bool
	network   string
	machines  []machine
	seeds     []string
	client    *http.Client
	ctx       context.Context
	cancel    context.CancelFunc
	closing   sync.Once

	mu        sync.Mutex
	record    *os.File
	startedAt time.Time
	processes map[string]*process
	// coreEventAt is when a core machine was stopped, started or killed last.
	coreEventAt time.Time
}

// process is a running daemon.
type process struct {
	command *exec.Cmd
	ended   chan struct{}
}

// newLab returns a lab that records to a file.
func newLab(record, programs, templates string, trouble bool) (*lab, error) {
	programs, err := filepath.Abs(programs)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(programs, "verbenastepd")); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-lab")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	l := &lab{
		programs: programs, templates: templates, folder: folder, trouble: trouble, record: file, startedAt: time.Now(),
		processes: map[string]*process{}, client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.note("disruption: %v", trouble)
	return l, nil
}

// note writes a line to the record.
func (l *lab) note(format string, arguments ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f %s\n", time.Since(l.startedAt).Seconds(), fmt.Sprintf(format, arguments...))
}

// ip returns the loopback address with a number in this lab's network.
func (l *lab) ip(number int) string { return fmt.Sprintf("%s.%d", l.network, number) }

// chooseNetwork finds a part of the loopback network in which all ports are free.
func (l *lab) chooseNetwork(count int) error {
	for range 50 {
		l.network = fmt.Sprintf("127.%d.%d", 60+rand.IntN(150), rand.IntN(250))
		if l.areFree(count) {
			return nil
		}
	}
	return errors.New("no free loopback addresses were found")
}

func (l *lab) areFree(count int) bool {
	for number := 1; number <= count; number++ {
		for _, port := range []int{portFront, portReady, portDirectory, portControl, portPeers, portAdmin} {
			listener, err := net.Listen("tcp", machine{ip: l.ip(number)}.address(port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// startSystem starts three control daemons and three entries, one of each in each zone, and
// waits until the entries listen.
func (l *lab) startSystem() error {
	if err := l.chooseNetwork(6); err != nil {
		return err
	}
	names := []string{"lima-norte", "lima-este", "sur-uno"}
	for i, zone := range names {
		l.machines = append(l.machines, machine{name: "core-" + zone, role: "control", ip: l.ip(i + 1), zone: zone, region: zones[zone]})
		l.seeds = append(l.seeds, l.machines[i].address(portControl))
	}
	for i, zone := range names {
		l.machines = append(l.machines, machine{name: "front-" + zone, role: "entry", ip: l.ip(i + 4), zone: zone, region: zones[zone]})
	}
	for _, m := range l.machines {
		if err := l.start(m, true); err != nil {
			return err
		}
	}
	return nil
}

// ofRole returns the machines of a role.
func (l *lab) ofRole(role string) []machine {
	out := []machine{}
	for _, m := range l.machines {
		if m.role == role {
			out = append(out, m)
		}
	}
	return out
}

// start starts the process of a machine.
func (l *lab) start(m machine, bootstrap bool) error {
	data := filepath.Join(l.folder, m.name)
	if err := os.MkdirAll(data, 0o700); err != nil {
		return err
	}
	file := filepath.Join(l.folder, m.name+".json")
	if err := writeSettings(l.templates, file, m, m.values(l.seeds, bootstrap, data)); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(l.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(filepath.Join(l.programs, "verbenastepd"), "-settings", file)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + l.folder, "GOGC=50", "VERBENASTEP_SETTINGS=" + file}
	command.Stdout, command.Stderr = log, log
	if err := l.launch(m, command); err != nil {
		return err
	}
	l.recordCoreEvent(m)
	l.note("platform: %s starts at %s", m.name, m.ip)
	return nil
}

// launch starts a command as the process of a machine, unless the lab is being closed.
func (l *lab) launch(m machine, command *exec.Cmd) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.ctx.Err(); err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	p := &process{command: command, ended: make(chan struct{})}
	go func() {
		defer close(p.ended)
		_ = command.Wait()
	}()
	l.processes[m.name] = p
	return nil
}

// recordCoreEvent notes that the state of a machine has changed, if it is one of the core.
func (l *lab) recordCoreEvent(m machine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.role == "control" {
		l.coreEventAt = time.Now()
	}
}

// signal sends a signal to the process of a machine.
func (l *lab) signal(m machine, s syscall.Signal) {
	p := l.processOf(m)
	if p == nil {
		return
	}
	l.recordCoreEvent(m)
	l.note("platform: %s gets %s", m.name, s)
	_ = p.command.Process.Signal(s)
}

// processOf returns the process of a machine, or nil once the lab is being closed.
func (l *lab) processOf(m machine) *process {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.processes[m.name]
}

// restart stops a machine with a signal and starts it again, as the platform does.
func (l *lab) restart(m machine, s syscall.Signal, grace time.Duration) error {
	p := l.processOf(m)
	if p == nil {
		return l.ctx.Err()
	}
	l.signal(m, s)
	select {
	case <-p.ended:
	case <-time.After(grace):
		l.signal(m, syscall.SIGKILL)
		<-p.ended
	}
	l.note("platform: %s has ended", m.name)
	l.sleep(restartDelay)
	return l.start(m, false)
}

// isCoreSettled reports whether no core machine was disturbed for contactTime, so that the
// machines that were not disturbed themselves are in touch.
func (l *lab) isCoreSettled(at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return at.Sub(l.coreEventAt) >= contactTime
}

// sleep waits, or returns early once the lab is closed.
func (l *lab) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-l.ctx.Done():
	}
}

// call makes an HTTP call and returns status and body; the status is zero without a response.
func (l *lab) call(method, address, path, body string) (int, string) {
	request, err := http.NewRequestWithContext(l.ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := l.client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(data)
}

// await polls a condition.
func (l *lab) await(what string, holds func() bool) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); l.sleep(pollInterval) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("timeout: %s", what)
}

// putConfig sends a configuration to the control daemons in turn until one acknowledges it.
func (l *lab) putConfig(config string) error {
	controls := l.ofRole("control")
	turn := 0
	return l.await("acknowledgement of the configuration", func() bool {
		turn++
		m := controls[turn%len(controls)]
		status, _ := l.call(http.MethodPut, m.address(portControl), "/config", config)
		l.note("operator: configuration sent to %s, answer %d", m.name, status)
		return status == http.StatusOK
	})
}

// awaitEntries waits until all entries are ready.
func (l *lab) awaitEntries() error {
	for _, m := range l.ofRole("entry") {
		if err := l.await(m.name+" is ready", func() bool {
			status, _ := l.call(http.MethodGet, m.address(portReady), "/ready", "")
			return status == http.StatusOK
		}); err != nil {
			return err
		}
	}
	return nil
}

var leads = regexp.MustCompile(`(?m)^verbenastep_broker_leads 1$`)

// leader returns the control daemon that leads by its metrics page.
func (l *lab) leader() (machine, error) {
	found := machine{}
	err := l.await("a leader", func() bool {
		for _, m := range l.ofRole("control") {
			if status, text := l.call(http.MethodGet, m.address(portAdmin), "/metrics", ""); status == http.StatusOK && leads.MatchString(text) {
				found = m
				return true
			}
		}
		return false
	})
	return found, err
}

// close ends all processes and removes the folder, unless LAB_KEEP is set. A second call waits for
// the first one.
func (l *lab) close() { l.closing.Do(l.endAll) }

func (l *lab) endAll() {
	l.cancel()
	l.mu.Lock()
	processes := l.processes
	l.processes = map[string]*process{}
	l.mu.Unlock()
	for _, p := range processes {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.ended
	}
	if os.Getenv("LAB_KEEP") == "" {
		_ = os.RemoveAll(l.folder)
		return
	}
	l.note("logs are in %s", l.folder)
}
