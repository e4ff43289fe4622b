package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the daemons; each daemon has a loopback address of its own.
const (
	portCallers   = 8221
	portReady     = 8224
	portDirectory = 8225
	portControl   = 8229
	portPeers     = 7600
	portAdmin     = 9464
	portRunner    = 8080
)

const (
	graceSeconds = 8
	readyTimeout = 20 * time.Second
	pollDelay    = 50 * time.Millisecond
)

// daemon is one process of the system.
type daemon struct {
	name     string
	ip       string
	settings string
	logFile  string
	cmd      *exec.Cmd
	exited   chan struct{}
}

// cluster is a small deployment on loopback addresses.
type cluster struct {
	program  string
	folder   string
	subnet   string
	controls []*daemon
	entries  []*daemon
	rec      *record
	mu       sync.Mutex
	children []*exec.Cmd
}

// newCluster chooses a subnet whose ports are free and writes the settings of all daemons.
func newCluster(rec *record, program string, controls, entries int) (*cluster, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{program: program, folder: folder, rec: rec}
	for range 50 {
		c.subnet = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		if c.isFree(controls + entries) {
			break
		}
		c.subnet = ""
	}
	if c.subnet == "" {
		return nil, errors.New("no free loopback addresses")
	}
	for i := range controls {
		c.controls = append(c.controls, &daemon{name: fmt.Sprintf("core-%d", i+1), ip: c.ip(1 + i)})
	}
	for i := range entries {
		c.entries = append(c.entries, &daemon{name: fmt.Sprintf("front-%d", i+1), ip: c.ip(101 + i)})
	}
	for i, d := range append(append([]*daemon{}, c.controls...), c.entries...) {
		if err := c.writeSettings(d, i < controls); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *cluster) ip(n int) string { return fmt.Sprintf("%s.%d", c.subnet, n) }

func (c *cluster) isFree(n int) bool {
	for _, port := range []int{portControl, portPeers, portAdmin, portCallers} {
		ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", c.ip(1), port))
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return n > 0
}

// controlAddresses lists the addresses that serve the operator and the runners.
func (c *cluster) controlAddresses() []string {
	out := []string{}
	for _, d := range c.controls {
		out = append(out, fmt.Sprintf("%s:%d", d.ip, portControl))
	}
	return out
}

// writeSettings writes what deploy/control.json or deploy/entry.json give for a daemon.
func (c *cluster) writeSettings(d *daemon, isControl bool) error {
	routing := map[string]any{
		"seed_port": portPeers, "heartbeat_ms": 1200, "grace_s": graceSeconds, "answer_life_ms": 1000,
		"overload": map[string]any{}, "pace": map[string]any{}, "quota": map[string]any{"slack_tokens": 190000},
		"data_centres": map[string]string{"zone-a": "region-a"},
	}
	addresses := map[string]any{"peers": fmt.Sprintf("%s:%d", d.ip, portPeers), "admin": fmt.Sprintf("%s:%d", d.ip, portAdmin)}
	s := map[string]any{
		"name": d.name, "region": "region-a", "data_centre": "zone-a", "addresses": addresses, "seeds": c.controlAddresses(),
		"log": map[string]any{"format": "json", "stdout": true}, "routing": routing,
	}
	if isControl {
		s["roles"], s["data_folder"] = []string{"replica"}, filepath.Join(c.folder, d.name)
		routing["control"], routing["found"] = fmt.Sprintf("%s:%d", d.ip, portControl), true
	} else {
		addresses["callers"] = fmt.Sprintf("%s:%d", d.ip, portCallers)
		routing["ready"], routing["directory"] = fmt.Sprintf("%s:%d", d.ip, portReady), fmt.Sprintf("%s:%d", d.ip, portDirectory)
		routing["retry"] = map[string]any{"ratio": 0.2, "window_s": 10, "slack": 58}
		s["limits"] = map[string]any{"header_bytes": 65536}
	}
	data, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return err
	}
	d.settings, d.logFile = filepath.Join(c.folder, d.name+".json"), filepath.Join(c.folder, d.name+".log")
	if isControl {
		if err := os.MkdirAll(filepath.Join(c.folder, d.name), 0o700); err != nil {
			return err
		}
	}
	return os.WriteFile(d.settings, data, 0o600)
}

// start starts the daemon's process.
func (c *cluster) start(d *daemon) error {
	out, err := os.OpenFile(d.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(c.program, "-settings", d.settings)
	cmd.Env = append(os.Environ(), "GOGC=50")
	cmd.Stdout, cmd.Stderr = out, out
	if err := c.run(cmd); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.cmd, d.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	c.rec.add("start", "daemon", d.name, "pid", cmd.Process.Pid)
	return nil
}

// run starts a child process, which the end of the cluster ends.
func (c *cluster) run(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.children = append(c.children, cmd)
	return nil
}

func (c *cluster) startAll() error {
	for _, d := range append(append([]*daemon{}, c.controls...), c.entries...) {
		if err := c.start(d); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to the daemon.
func (c *cluster) signal(d *daemon, s syscall.Signal) {
	c.rec.add("signal", "daemon", d.name, "signal", s.String())
	_ = d.cmd.Process.Signal(s)
}

// awaitReady waits until all entries count as ready.
func (c *cluster) awaitReady() error {
	end := time.Now().Add(readyTimeout)
	for _, d := range c.entries {
		for !isReady(d.ip) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %s", d.name, readyTimeout)
			}
			time.Sleep(pollDelay)
		}
	}
	return nil
}

func isReady(ip string) bool {
	resp, err := (&http.Client{Timeout: time.Second}).Get(fmt.Sprintf("http://%s:%d/ready", ip, portReady))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// configure sends a configuration until it is acknowledged.
func (c *cluster) configure(config map[string]any) error {
	data, err := json.Marshal(config)
	if err != nil {
		return err
	}
	for i := range 200 {
		address := c.controlAddresses()[i%len(c.controls)]
		req, err := http.NewRequest(http.MethodPut, "http://"+address+"/config", strings.NewReader(string(data)))
		if err != nil {
			return err
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := (&http.Client{Timeout: time.Second}).Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				c.rec.add("acknowledged", "version", config["version"], "by", address)
				return nil
			}
		}
		time.Sleep(2 * pollDelay)
	}
	return errors.New("the configuration was not acknowledged")
}

// stop ends all processes that the cluster started and removes its folder.
func (c *cluster) stop(keep bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cmd := range c.children {
		_ = cmd.Process.Kill()
	}
	for _, d := range append(append([]*daemon{}, c.controls...), c.entries...) {
		if d.exited != nil {
			<-d.exited
		}
	}
	if !keep {
		_ = os.RemoveAll(c.folder)
	}
}
