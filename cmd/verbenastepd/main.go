// Command verbenastepd is the daemon that runs on each entry instance.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/internal/daemon"
	"github.com/verbenastep/verbenastep/internal/logging"
	"github.com/verbenastep/verbenastep/internal/settings"
	"github.com/verbenastep/verbenastep/platform"
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
	return serve(*file, set, log)
}

func usage() {
	w := flag.CommandLine.Output()
	fmt.Fprint(w, "usage: verbenastepd -settings FILE [-check]\nexample: verbenastepd -settings examples/local/daemon-1.json\n\n")
	flag.PrintDefaults()
	fmt.Fprint(w, "\nexit codes: 0 stopped gracefully, 1 failed, 2 faulty settings; docs/SETTINGS.md explains them\n")
}

func serve(file string, set *settings.Settings, log *zap.Logger) int {
	d, err := daemon.New(set, log, platform.Services(set, log)...)
	if err != nil {
		log.Error("daemon could not be assembled", zap.Error(err))
		return exitFailed
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go follow(file, set, log, reload)
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

// rereadEvery is the pause between two looks at the settings file, which may
// change without a signal.
const rereadEvery = 2 * time.Second

// follow reads the settings file again at each signal, and where it has
// changed, and takes over what a running daemon can change.
func follow(file string, set *settings.Settings, log *zap.Logger, reload <-chan os.Signal) {
	changed := time.Time{}
	if info, err := os.Stat(file); err == nil {
		changed = info.ModTime()
	}
	for {
		asked := false
		select {
		case <-reload:
			asked = true
		case <-time.After(rereadEvery):
		}
		info, err := os.Stat(file)
		if err == nil && !asked && info.ModTime().Equal(changed) {
			continue
		}
		if err == nil {
			changed = info.ModTime()
		}
		next, err := settings.Load(file)
		if err != nil {
			log.Warn("settings were not reloaded; the daemon goes on with what it has", zap.Bool("signal", asked), zap.Error(err))
			continue
		}
		log.Info("settings reloaded", zap.Bool("signal", asked), zap.Bool("seeds_changed", set.Reload(next)))
	}
}
