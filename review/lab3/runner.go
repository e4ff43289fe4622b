package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// crashWord, in the body of a request, crashes each runner that begins to run it.
const crashWord = "crash-the-runner"

const heartbeatInterval = 1200 * time.Millisecond

// runnerProcess is a stand-in runner, in a process of its own.
type runnerProcess struct {
	id       string
	pool     string
	address  string
	controls []string
	work     time.Duration
	// crashAfter is how long the runner works on a request that crashes it.
	crashAfter time.Duration
	// slotCount is what the heartbeats state.
	slotCount int
	born      int64
	sequence  atomic.Int64
}

// runRunner is the main function of a runner's process.
func runRunner(args []string) int {
	f := flag.NewFlagSet("runner", flag.ExitOnError)
	r := &runnerProcess{born: time.Now().UnixMilli()}
	controls := ""
	f.StringVar(&r.id, "id", "", "id of the runner")
	f.StringVar(&r.pool, "service", "", "service of the runner")
	f.StringVar(&r.address, "address", "", "address of the runner")
	f.StringVar(&controls, "control", "", "addresses that serve control")
	f.DurationVar(&r.work, "work", 300*time.Millisecond, "time of a request")
	f.DurationVar(&r.crashAfter, "crash-after", 0, "time of a request that crashes the runner")
	_ = f.Parse(args)
	r.controls, r.slotCount = strings.Split(controls, ","), 6
	go r.heartbeats()
	server := &http.Server{Addr: r.address, Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: 10 * time.Second}
	if err := server.ListenAndServe(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// say prints a line for the process that started the runner.
func (r *runnerProcess) say(what, attempt, from string) {
	_, _ = fmt.Fprintf(os.Stdout, "%s %s %s %s\n", what, r.id, attempt, from)
}

// answersFirst answers health checks and requests for another runner. It reports whether it did.
func (r *runnerProcess) answersFirst(w http.ResponseWriter, req *http.Request, attempt string) bool {
	w.Header().Set("X-Attempt-Id", attempt)
	w.Header().Set("X-Instance-Id", r.id)
	if req.Method == http.MethodGet && req.URL.Path == "/health" {
		w.WriteHeader(http.StatusOK)
		return true
	}
	if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return true
	}
	return false
}

func (r *runnerProcess) serve(w http.ResponseWriter, req *http.Request) {
	attempt := req.Header.Get("X-Attempt-Id")
	body, err := io.ReadAll(req.Body)
	if err != nil || r.answersFirst(w, req, attempt) {
		return
	}
	r.say("run", attempt, req.RemoteAddr)
	if bytes.Contains(body, []byte(crashWord)) {
		time.Sleep(r.crashAfter)
		r.say("crash", attempt, req.RemoteAddr)
		os.Exit(139)
	}
	select {
	case <-time.After(r.work):
	case <-req.Context().Done():
		return
	}
	answer := []byte("done " + attempt)
	w.Header().Set("X-Response-Seal", "seal-"+attempt)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer)
	r.say("answer", attempt, req.RemoteAddr)
}

func (r *runnerProcess) heartbeats() {
	client := &http.Client{Timeout: time.Second}
	for i := 0; ; {
		if r.beat(client, r.controls[i%len(r.controls)]) {
			time.Sleep(heartbeatInterval)
			continue
		}
		i++
		time.Sleep(pollDelay)
	}
}

func (r *runnerProcess) beat(client *http.Client, control string) bool {
	data, err := json.Marshal(map[string]any{
		"backend": r.pool, "address": r.address, "zone": "zone-a", "version": "v1", "slots": r.slotCount, "state": "ready",
		"cold_remaining_ms": 0, "seq": r.sequence.Add(1), "born": r.born,
	})
	if err != nil {
		return false
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+control+"/instances/"+r.id, bytes.NewReader(data))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// runnerSlot is a place of the service whose runner is started again some seconds after a crash.
type runnerSlot struct {
	c       *cluster
	name    string
	pool    string
	address string
	onLine  func(what, id, attempt string)
	// addressOf returns the address of a generation; nil if all have the same one.
	addressOf func(generation int) string
	// role is the command of the stand-in, args are further arguments.
	role string
	args []string
}

// keep runs the runner until stop is closed.
func (s *runnerSlot) keep(stop <-chan struct{}, restartAfter time.Duration) {
	for generation := 1; ; generation++ {
		id, address := fmt.Sprintf("i-%s-%d", s.name, generation), s.address
		if s.addressOf != nil {
			address = s.addressOf(generation)
		}
		args := append([]string{s.role, "-id", id, "-service", s.pool, "-address", address, "-control", strings.Join(s.c.controlAddresses(), ",")}, s.args...)
		cmd := exec.Command(os.Args[0], args...)
		out, err := cmd.StdoutPipe()
		if err != nil {
			return
		}
		if err := s.c.run(cmd); err != nil {
			return
		}
		s.c.rec.add("runner-start", "id", id, "address", address)
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			if parts := strings.Fields(lines.Text()); len(parts) == 4 {
				s.c.rec.add(parts[0], "runner", parts[1], "attempt", parts[2], "from", parts[3])
				s.onLine(parts[0], parts[1], parts[2])
			}
		}
		_ = cmd.Wait()
		s.c.rec.add("runner-end", "id", id)
		select {
		case <-stop:
			return
		case <-time.After(restartAfter):
		}
	}
}
