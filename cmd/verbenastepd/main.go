// Command verbenastepd is the daemon that runs on each entry instance.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/internal/daemon"
	"github.com/verbenastep/verbenastep/internal/logging"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	os.Exit(run())
}

func run() int {
	file := flag.String("settings", "", "settings `FILE`, JSON")
	check := flag.Bool("check", false, "check the settings and exit")
	flag.Usage = usage
	flag.Parse()
	set, err := settings.Load(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if *check {
		fmt.Println("settings are valid")
		return exitOK
	}
	log, err := logging.New(set.Log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	defer func() { _ = log.Sync() }()
	return serve(set, log)
}

func usage() {
	w := flag.CommandLine.Output()
	fmt.Fprint(w, "usage: verbenastepd -settings FILE [-check]\nexample: verbenastepd -settings examples/local/daemon-1.json\n\n")
	flag.PrintDefaults()
	fmt.Fprint(w, "\nexit codes: 0 stopped gracefully, 1 failed, 2 faulty settings; docs/SETTINGS.md explains them\n")
}

func serve(set *settings.Settings, log *zap.Logger) int {
	d, err := daemon.New(set, log)
	if err != nil {
		log.Error("daemon could not be assembled", zap.Error(err))
		return exitFailed
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	if err := d.Start(context.Background()); err != nil {
		log.Error("daemon did not start", zap.Error(err))
		return exitFailed
	}
	<-signals
	log.Info("draining; a second signal ends at once")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	if err := d.Stop(ctx); err != nil {
		log.Error("daemon stopped early", zap.Error(err))
		return exitFailed
	}
	return exitOK
}
