// Package demo is the main job on embedded defaults: three daemons in one
// process on loopback, stand-in upstreams, a mixed load, an upstream that dies
// and a daemon that drains. All figures come from the run's own events.
package demo

import (
	"context"
	"embed"
	"fmt"
	"io"
	"os"
	"path"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/client"
	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/api/operator"
	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/core/promise"
	"github.com/verbenastep/verbenastep/internal/localsite"
	"github.com/verbenastep/verbenastep/internal/wait"
)

const (
	// readyTimeout bounds the time until all daemons serve all pools.
	readyTimeout = 8 * time.Second
	// readyPause is the wait between two tries.
	readyPause = 50 * time.Millisecond
	// applyTimeout bounds one try to apply the configuration.
	applyTimeout = 2 * time.Second
	// killAt and drainAt are shares of the load's time.
	killAt  = 0.4
	drainAt = 0.6
	// drained is the index of the daemon that drains.
	drained = 2
	// runTimeout bounds the load with all its answers.
	runTimeout = 24 * time.Second
)

//go:embed config/*.json
var embedded embed.FS

// Options steer a run.
type Options struct {
	// Seed draws the load.
	Seed uint64
	// Progress takes a line for each step; nil discards them.
	Progress io.Writer
	// Log takes the daemons' logs; nil discards them.
	Log *zap.Logger
}

// run is one demonstration under way.
type run struct {
	opt   Options
	began time.Time
	files config.Files
	whole *config.Config
	rec   *recorder
	site  *localsite.Site
	back  *backends
}

// Run demonstrates the main job. Its error says that the run could not be
// carried through; broken promises are in the report.
func Run(ctx context.Context, opt Options) (*Report, error) {
	if opt.Progress == nil {
		opt.Progress = io.Discard
	}
	if opt.Log == nil {
		opt.Log = zap.NewNop()
	}
	folder, err := os.MkdirTemp("", "verbenastep-demo-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	r := &run{opt: opt, began: time.Now(), rec: newRecorder()}
	if err := r.readConfig(); err != nil {
		return nil, err
	}
	return r.carry(ctx, folder)
}

func (r *run) say(format string, args ...any) {
	fmt.Fprintf(r.opt.Progress, "[%4.1f s] %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// readConfig reads the embedded files.
func (r *run) readConfig() error {
	entries, err := embedded.ReadDir("config")
	if err != nil {
		return err
	}
	r.files = config.Files{}
	for _, e := range entries {
		if r.files[e.Name()], err = embedded.ReadFile(path.Join("config", e.Name())); err != nil {
			return err
		}
	}
	r.whole, err = config.Merge(r.files)
	return err
}

// carry takes the run from the daemons' start to the report.
func (r *run) carry(ctx context.Context, folder string) (*Report, error) {
	err := error(nil)
	if r.site, err = newSite(folder, r.opt.Log, r.rec); err != nil {
		return nil, err
	}
	defer r.site.KillAll()
	if err := r.site.StartAll(ctx); err != nil {
		return nil, err
	}
	r.say("%d daemons serve on loopback, the first at http://%s", daemonCount, r.site.CallerAddresses()[0])
	if err := r.apply(ctx); err != nil {
		return nil, err
	}
	r.back, err = startBackends(r.site.UpstreamAddresses(), r.rec)
	defer r.back.stop()
	if err != nil {
		return nil, err
	}
	calls := newCallers(r.site.CallerAddresses(), r.whole.Workspaces, r.rec)
	if err := r.ready(ctx, calls); err != nil {
		return nil, err
	}
	r.say("%d runners and a plain service are ready, one runner at a fifth of the speed", len(runners))
	return r.underLoad(ctx, calls)
}

// apply gives the configuration to a daemon and waits until all have it.
func (r *run) apply(ctx context.Context) error {
	files, err := r.files.Compact()
	if err != nil {
		return err
	}
	op := client.Operator{Address: r.site.AdminAddresses()[0], Key: localsite.OperatorKey}
	version := uint64(0)
	err = r.retry(ctx, func(ctx context.Context) error {
		applied, err := op.Apply(ctx, operator.Apply{Files: operator.Files(files)})
		version = applied.Version
		return err
	})
	if err != nil {
		return err
	}
	for _, address := range r.site.AdminAddresses() {
		op := client.Operator{Address: address, Key: localsite.OperatorKey}
		err := r.retry(ctx, func(ctx context.Context) error { return inForce(ctx, op, version) })
		if err != nil {
			return err
		}
	}
	r.say("configuration version %d with %d tiers is in force on every daemon", version, len(r.whole.Tiers))
	return nil
}

func inForce(ctx context.Context, op client.Operator, version uint64) error {
	st, err := op.Status(ctx)
	if err != nil {
		return err
	}
	if st.Version < version {
		return fault.New(fault.Unavailable, "wait", "%s has version %d in force", st.Daemon, st.Version)
	}
	return nil
}

// retry repeats a step until it succeeds or the daemons should be ready.
func (r *run) retry(ctx context.Context, step func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	last := error(nil)
	for ctx.Err() == nil {
		one, done := context.WithTimeout(ctx, applyTimeout)
		err := step(one)
		done()
		if err == nil {
			return nil
		}
		last = err
		select {
		case <-time.After(readyPause):
		case <-ctx.Done():
		}
	}
	return last
}

// ready sends small requests until each entry serves both pools.
func (r *run) ready(ctx context.Context, calls *callers) error {
	for _, entry := range r.site.CallerAddresses() {
		for _, p := range []planned{warmModel(), warmService()} {
			err := r.retry(ctx, func(ctx context.Context) error { return calls.sendTo(ctx, entry, p) })
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// underLoad sends the load, kills a runner and drains a daemon on the way, and
// sums up.
func (r *run) underLoad(ctx context.Context, calls *callers) (*Report, error) {
	whole := ctx
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	load := plan(r.opt.Seed, len(r.whole.Workspaces))
	r.say("%d requests arrive over %.0f s, prompts of %d to %d tokens", len(load), loadTime.Seconds(), shortestPrompt, longestPrompt)
	began := time.Now()
	report := &Report{Seed: r.opt.Seed}
	side := sync.WaitGroup{}
	side.Go(func() { r.kill(ctx, began, report) })
	drain := error(nil)
	side.Go(func() { drain = r.drain(ctx, began, report) })
	calls.run(ctx, load)
	side.Wait()
	if whole.Err() != nil {
		return nil, fault.New(fault.Canceled, "let it run to its end", "the demo was interrupted")
	}
	report.failed(drain)
	r.say("no caller waits any more")
	r.sumUp(calls, report)
	return report, nil
}

func (r *run) kill(ctx context.Context, began time.Time, report *Report) {
	wait.For(ctx, time.Duration(killAt*float64(loadTime)))
	r.back.kill(victim)
	r.rec.lose(victim)
	r.rec.record(promise.Event{Kind: promise.Leave, Upstream: victim, Pool: modelName})
	report.Killed = Step{Name: victim, At: time.Since(began).Seconds()}
	r.say("%s was killed", victim)
}

func (r *run) drain(ctx context.Context, began time.Time, report *Report) error {
	wait.For(ctx, time.Duration(drainAt*float64(loadTime)))
	report.Drained = Step{Name: localsite.DaemonName(drained), At: time.Since(began).Seconds()}
	r.say("%s drains", localsite.DaemonName(drained))
	err := r.site.Stop(drained)
	report.Drained.Until = time.Since(began).Seconds()
	r.say("%s has stopped", localsite.DaemonName(drained))
	return err
}

func (r *run) sumUp(calls *callers, report *Report) {
	whole := map[requestID]bool{}
	for _, o := range calls.outcomes {
		if o.whole {
			whole[requestID{workspace: o.workspace, key: o.key}] = true
		}
		if o.lost() {
			report.Lost++
		}
		report.Resumed += o.resumed
	}
	report.Tiers = tally(r.whole, calls.outcomes)
	report.Prefill.Processed, report.Prefill.Lost, report.Prefill.Repeated = r.rec.wasted(whole)
	names := []string{}
	for i := range daemonCount {
		names = append(names, localsite.DaemonName(i))
	}
	report.Promises = judge(r.rec.all(), promise.Options{Daemons: names})
	report.Held = report.Lost == 0 && len(report.Faults) == 0
	for _, v := range report.Promises {
		report.Held = report.Held && v.Held()
	}
	report.Seconds = time.Since(r.began).Seconds()
}
