// Command verbenastepd is the daemon. Its settings file selects its roles.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
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
	received := subscribe()
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
	return serve(*file, set, log, received)
}

func usage() {
	w := flag.CommandLine.Output()
	fmt.Fprint(w, "usage: verbenastepd -settings FILE [-check]\nexample: verbenastepd -settings examples/local/daemon-1.json\n\n")
	flag.PrintDefaults()
	fmt.Fprint(w, "\nsignals: SIGTERM or SIGINT drains the daemon; after that SIGINT stops it without waiting, and SIGTERM changes nothing; SIGHUP reloads the settings\n")
	fmt.Fprint(w, "exit codes: 0 stopped gracefully, 1 failed, 2 faulty settings; docs/SETTINGS.md explains them\n")
}

// serve runs the daemon until it was told to stop and returns the exit code.
func serve(file string, set *settings.Settings, log *zap.Logger, received signals) int {
	d, err := daemon.New(set, log, platform.Services(set, log)...)
	if err != nil {
		log.Error("daemon could not be created", zap.Error(err))
		return exitFailed
	}
	go watchSettings(file, set, log, received.reload)
	if received.isStopping() {
		log.Info("told to stop before the start; nothing was served")
		return exitOK
	}
	if err := d.Start(context.Background()); err != nil {
		log.Error("daemon did not start", zap.Error(err))
		return exitFailed
	}
	if err := stopAfterSignal(received.stop, log, d.Stop); err != nil {
		log.Error("daemon stopped early", zap.Error(err))
		return exitFailed
	}
	return exitOK
}

// settingsPollInterval is the interval at which the settings file is checked for
// changes, since it may be replaced without a signal to the daemon.
const settingsPollInterval = 2 * time.Second

// watchSettings reloads the settings file at each signal and whenever its
// modification time changes, and applies the settings that can change in a
// running daemon. Invalid settings are logged and ignored. It never returns.
func watchSettings(file string, set *settings.Settings, log *zap.Logger, reload <-chan os.Signal) {
	modTime := time.Time{}
	if info, err := os.Stat(file); err == nil {
		modTime = info.ModTime()
	}
	for {
		signaled := false
		select {
		case <-reload:
			signaled = true
		case <-time.After(settingsPollInterval):
		}
		info, err := os.Stat(file)
		if err == nil && !signaled && info.ModTime().Equal(modTime) {
			continue
		}
		if err == nil {
			modTime = info.ModTime()
		}
		next, err := settings.Load(file)
		if err != nil {
			log.Warn("settings were not reloaded; the previous settings stay in force", zap.Bool("signal", signaled), zap.Error(err))
			continue
		}
		log.Info("settings reloaded", zap.Bool("signal", signaled), zap.Bool("seeds_changed", set.Reload(next)))
	}
}
