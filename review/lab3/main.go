// Command lab3 plays the scripted cases of the third review: it starts the programs of the deploy
// file as processes on loopback addresses, with stand-in runners, clients and an operator.
//
//	lab3 CASE -program FILE -record FILE [-trouble=false]
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxTime bounds a case.
const maxTime = 110 * time.Second

// options are the arguments of a case.
type options struct {
	program string
	trouble bool
	keep    bool
	rec     *record
}

// cases holds the function of each case, which reports whether the rule was broken.
var cases = map[string]func(o options) (broken bool, err error){
	"late-stream":   lateStream,
	"moved-runners": movedRunners,
	"many-clients":  manyClients,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "runner" {
		os.Exit(runRunner(os.Args[2:]))
	}
	if len(os.Args) > 1 && os.Args[1] == "engine" {
		os.Exit(runEngine(os.Args[2:]))
	}
	os.Exit(run())
}

func run() int {
	if len(os.Args) < 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "name a case")
		return exitFailed
	}
	f := flag.NewFlagSet("lab3", flag.ExitOnError)
	o, path := options{}, ""
	f.StringVar(&o.program, "program", "target/verbenastepd", "the daemon's program")
	f.StringVar(&path, "record", "record.txt", "file for the record")
	f.BoolVar(&o.trouble, "trouble", true, "cause the disruption")
	f.BoolVar(&o.keep, "keep", false, "keep the folder with settings and logs")
	_ = f.Parse(os.Args[2:])
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	o.rec = rec
	time.AfterFunc(maxTime, func() {
		rec.add("the case took too long")
		os.Exit(exitFailed)
	})
	broken, err := cases[os.Args[1]](o)
	if err != nil {
		rec.add("not run", "error", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	rec.add("verdict", "broken", broken)
	fmt.Println("rule broken:", broken)
	if broken {
		return exitBroken
	}
	return exitHeld
}
