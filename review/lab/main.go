// Command lab plays the script cases of the second review. It starts the project's daemons as
// separate processes on loopback addresses, with settings filled in from the templates of the
// deploy file, and stands in for runners, clients, operators and the platform.
//
// It exits with 0 if the rule of the case held, 1 if it was broken, and 2 if the case could not
// run. Without the disruption (TROUBLE=0) the rule has to hold.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxDuration bounds a run, which may last for two minutes.
const maxDuration = 114 * time.Second

// errBroken says that the rule of a case was broken.
var errBroken = errors.New("the rule was broken")

// cases holds the cases by name. Each gets a lab without any process and returns errBroken if
// the rule was broken.
var cases = map[string]func(l *lab) error{
	"crashing-request": playCrashingRequest,
	"crashing-left":    playCrashingLeft,
	"founding":         playFounding,
	"late-heartbeat":   playLateHeartbeat,
	"late-version":     playLateVersion,
}

func main() {
	os.Exit(run())
}

func run() int {
	name := flag.String("case", "", "`NAME` of the case")
	record := flag.String("record", "record.txt", "`FILE` for the record")
	programs := flag.String("programs", "target", "`FOLDER` of the built programs")
	templates := flag.String("templates", "deploy", "`FOLDER` of the templates of settings")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		return exitFailed
	}
	l, err := newLab(*record, *programs, *templates, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	watchdog := time.AfterFunc(maxDuration, func() {
		l.note("the case takes too long")
		l.close()
		os.Exit(exitFailed)
	})
	defer watchdog.Stop()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stopped
		l.note("the case was stopped")
		l.close()
		os.Exit(exitFailed)
	}()
	err = play(l)
	l.close()
	switch {
	case err == nil:
		l.note("result: the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		l.note("result: %v", err)
		return exitBroken
	}
	l.note("result: the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, err)
	return exitFailed
}
