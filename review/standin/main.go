// Command standin runs one case of the review: it starts the daemons of a small
// deployment as processes, plays the operator, the runners and the clients beside them,
// brings the disruption about and judges what they saw.
//
// The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// maxRunTime bounds a run; the daemons end with this program.
const maxRunTime = 115 * time.Second

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*site) (bool, error){
	"departure":     playDeparture,
	"departure-all": playDepartureAll,
	"founding":      playFounding,
	"joined":        playJoined,
	"poison":        playPoison,
	"replacement":   playReplacement,
}

func main() {
	name := flag.String("case", "", "`NAME` of the case")
	daemon := flag.String("daemon", "target/verbenastepd", "`FILE` of the daemon")
	record := flag.String("record", "record.txt", "`FILE` for what was sent, answered and run")
	flag.Parse()
	os.Exit(runCase(*name, *daemon, *record))
}

// runCase plays a case and returns the exit code.
func runCase(name, daemon, record string) int {
	play, known := cases[name]
	if !known {
		fmt.Fprintf(os.Stderr, "no case is named %q\n", name)
		return exitFailed
	}
	out, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer out.Close()
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	keep := os.Getenv("KEEP") != ""
	if !keep {
		defer os.RemoveAll(folder)
	}
	binary, err := filepath.Abs(daemon)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	s := newSite(binary, folder, out)
	s.disturbed = os.Getenv("TROUBLE") != "0"
	time.AfterFunc(maxRunTime, func() {
		s.note("the case could not run: it took longer than %v", maxRunTime)
		os.Exit(exitFailed)
	})
	broken, err := play(s)
	s.close()
	if err != nil {
		s.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if keep {
		fmt.Fprintln(os.Stderr, "logs of the daemons are kept in", folder)
	}
	if broken {
		fmt.Println("the rule was broken; see", record)
		return exitBroken
	}
	fmt.Println("the rule held; see", record)
	return exitHeld
}
