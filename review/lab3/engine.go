package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	tokensPerEvent = 2
	engineSlots    = 2
	// engineQueue is how many requests an engine queues beyond its slots.
	engineQueue = 3
)

// engineProcess is a stand-in model runner, in a process of its own. It streams as many tokens as the
// request allows, each after the same time.
type engineProcess struct {
	runnerProcess
	tokenTime time.Duration
	places    chan struct{}
	slots     chan struct{}
}

// runEngine is the main function of a model runner's process.
func runEngine(args []string) int {
	f := flag.NewFlagSet("engine", flag.ExitOnError)
	e := &engineProcess{places: make(chan struct{}, engineSlots+engineQueue), slots: make(chan struct{}, engineSlots)}
	e.born = time.Now().UnixMilli()
	controls := ""
	f.StringVar(&e.id, "id", "", "id of the runner")
	f.StringVar(&e.pool, "service", "", "service of the runner")
	f.StringVar(&e.address, "address", "", "address of the runner")
	f.StringVar(&controls, "control", "", "addresses that serve control")
	f.DurationVar(&e.tokenTime, "token", 10*time.Millisecond, "time of a token")
	_ = f.Parse(args)
	e.controls, e.slotCount = strings.Split(controls, ","), engineSlots
	go e.heartbeats()
	server := &http.Server{Addr: e.address, Handler: http.HandlerFunc(e.serveStream), ReadHeaderTimeout: 10 * time.Second}
	if err := server.ListenAndServe(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

func (e *engineProcess) serveStream(w http.ResponseWriter, req *http.Request) {
	attempt := req.Header.Get("X-Attempt-Id")
	if e.answersFirst(w, req, attempt) {
		return
	}
	select {
	case e.places <- struct{}{}:
		defer func() { <-e.places }()
	default:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	case <-req.Context().Done():
		return
	}
	_, most, _ := strings.Cut(req.Header.Get("X-Token-Usage"), ",")
	tokens, _ := strconv.Atoi(most)
	e.say("run", attempt, req.RemoteAddr)
	w.Header().Set("X-Response-Seal", "seal-"+attempt)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", "1")
	events := tokens / tokensPerEvent
	for n := 1; n <= events; n++ {
		select {
		case <-time.After(tokensPerEvent * e.tokenTime):
		case <-req.Context().Done():
			e.say("closed-by-system", attempt, strconv.Itoa(n-1))
			return
		}
		_, err := fmt.Fprintf(w, "id: %d\ndata: %s word %d of %d\n\n", n, attempt, n, events)
		if err != nil || http.NewResponseController(w).Flush() != nil {
			e.say("closed-by-system", attempt, strconv.Itoa(n))
			return
		}
	}
	e.say("answer", attempt, req.RemoteAddr)
}
