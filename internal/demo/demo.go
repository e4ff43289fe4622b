// Package demo runs the whole system on an embedded configuration: three daemons
// in one process on loopback, stand-in upstreams and a mixed load, during which a
// runner is killed and a daemon drains. It checks the promises on the events of
// the run. The command "verbenastep demo" calls it.
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
	// readyRetryDelay is the wait between two attempts of a step.
	readyRetryDelay = 50 * time.Millisecond
	// attemptTimeout bounds one attempt of a step before the load.
	attemptTimeout = 2 * time.Second
	// killFraction and drainFraction place the kill and the drain in the load, as
	// shares of loadDuration.
	killFraction  = 0.4
	drainFraction = 0.6
	// drainedDaemon is the index of the daemon that drains.
	drainedDaemon = 2
	// runTimeout bounds the load including all its answers.
	runTimeout = 24 * time.Second
)

//go:embed config/*.json
var embedded embed.FS

// Options configures a run.
type Options struct {
	// Seed determines the load.
	Seed uint64
	// Progress receives a line for each step; nil discards them.
	Progress io.Writer
	// Log receives the daemons' logs; nil discards them.
	Log *zap.Logger
}

// demoRun is the state of one run.
type demoRun struct {
	options  Options
	start    time.Time
	files    config.Files
	config   *config.Config
	rec      *recorder
	site     *localsite.Site
	standIns *standIns
}

// Run runs the demo and returns its report. An error means that the run could not
// be completed; violations of promises are in the report.
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
	r := &demoRun{options: opt, start: time.Now(), rec: newRecorder()}
	if err := r.readConfig(); err != nil {
		return nil, err
	}
	return r.execute(ctx, folder)
}

// printProgress writes a line with the time since the start.
func (r *demoRun) printProgress(format string, args ...any) {
	fmt.Fprintf(r.options.Progress, "[%4.1f s] %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// readConfig reads and merges the embedded configuration files.
func (r *demoRun) readConfig() error {
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
	r.config, err = config.Merge(r.files)
	return err
}

// execute starts the daemons and stand-ins, runs the load and returns the report.
func (r *demoRun) execute(ctx context.Context, folder string) (*Report, error) {
	err := error(nil)
	if r.site, err = newSite(folder, r.options.Log, r.rec); err != nil {
		return nil, err
	}
	defer r.site.KillAll()
	if err := r.site.StartAll(ctx); err != nil {
		return nil, err
	}
	r.printProgress("%d daemons are serving on loopback, the first at http://%s", daemonCount, r.site.CallerAddresses()[0])
	if err := r.applyConfig(ctx); err != nil {
		return nil, err
	}
	r.standIns, err = startStandIns(r.site.UpstreamAddresses(), r.rec)
	defer r.standIns.stop()
	if err != nil {
		return nil, err
	}
	calls := newCallers(r.site.CallerAddresses(), r.config.Workspaces, r.rec)
	if err := r.waitReady(ctx, calls); err != nil {
		return nil, err
	}
	r.printProgress("%d runners and a plain service are ready, one runner at a fifth of the speed", len(runners))
	return r.runLoad(ctx, calls)
}

// applyConfig applies the configuration at one daemon and waits until it is in
// force at all of them.
func (r *demoRun) applyConfig(ctx context.Context) error {
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
		err := r.retry(ctx, func(ctx context.Context) error { return checkInForce(ctx, op, version) })
		if err != nil {
			return err
		}
	}
	r.printProgress("configuration version %d with %d tiers is in force on every daemon", version, len(r.config.Tiers))
	return nil
}

// checkInForce returns an error unless the daemon has the version, or a later one,
// in force.
func checkInForce(ctx context.Context, op client.Operator, version uint64) error {
	st, err := op.Status(ctx)
	if err != nil {
		return err
	}
	if st.Version < version {
		return fault.New(fault.Unavailable, "wait", "%s has version %d in force", st.Daemon, st.Version)
	}
	return nil
}

// retry repeats a step until it succeeds or readyTimeout has passed, and returns
// the last error.
func (r *demoRun) retry(ctx context.Context, step func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	lastErr := error(nil)
	for ctx.Err() == nil {
		attemptCtx, cancelAttempt := context.WithTimeout(ctx, attemptTimeout)
		err := step(attemptCtx)
		cancelAttempt()
		if err == nil {
			return nil
		}
		lastErr = err
		select {
		case <-time.After(readyRetryDelay):
		case <-ctx.Done():
		}
	}
	return lastErr
}

// waitReady sends small requests until each entry serves both pools.
func (r *demoRun) waitReady(ctx context.Context, calls *callers) error {
	for _, entry := range r.site.CallerAddresses() {
		for _, p := range []plannedRequest{warmUpCompletion(), warmUpServiceCall()} {
			err := r.retry(ctx, func(ctx context.Context) error { return calls.sendTo(ctx, entry, p) })
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// runLoad sends the load, kills a runner and drains a daemon meanwhile, and
// returns the report.
func (r *demoRun) runLoad(ctx context.Context, calls *callers) (*Report, error) {
	parent := ctx
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	requests := planLoad(r.options.Seed, len(r.config.Workspaces))
	r.printProgress("%d requests arrive over %.0f s, prompts of %d to %d tokens", len(requests), loadDuration.Seconds(), shortestPrompt, longestPrompt)
	start := time.Now()
	report := &Report{Seed: r.options.Seed}
	faults := sync.WaitGroup{}
	faults.Go(func() { r.killRunner(ctx, start, report) })
	drainErr := error(nil)
	faults.Go(func() { drainErr = r.drainDaemon(ctx, start, report) })
	calls.run(ctx, requests)
	faults.Wait()
	if parent.Err() != nil {
		return nil, fault.New(fault.Canceled, "let it run to its end", "the demo was interrupted")
	}
	report.addStopError(drainErr)
	r.printProgress("all requests have ended")
	r.fillReport(calls, report)
	return report, nil
}

// killRunner kills killedRunner at killFraction of the load.
func (r *demoRun) killRunner(ctx context.Context, start time.Time, report *Report) {
	wait.Sleep(ctx, time.Duration(killFraction*float64(loadDuration)))
	r.standIns.kill(killedRunner)
	r.rec.forgetUpstream(killedRunner)
	r.rec.record(promise.Event{Kind: promise.Leave, Upstream: killedRunner, Pool: modelName})
	report.KilledRunner = Step{Name: killedRunner, At: time.Since(start).Seconds()}
	r.printProgress("%s was killed", killedRunner)
}

// drainDaemon stops drainedDaemon gracefully at drainFraction of the load.
func (r *demoRun) drainDaemon(ctx context.Context, start time.Time, report *Report) error {
	wait.Sleep(ctx, time.Duration(drainFraction*float64(loadDuration)))
	report.DrainedDaemon = Step{Name: localsite.DaemonName(drainedDaemon), At: time.Since(start).Seconds()}
	r.printProgress("%s is draining", localsite.DaemonName(drainedDaemon))
	err := r.site.Stop(drainedDaemon)
	report.DrainedDaemon.Until = time.Since(start).Seconds()
	r.printProgress("%s has stopped", localsite.DaemonName(drainedDaemon))
	return err
}

// fillReport summarizes the outcomes and checks the promises.
func (r *demoRun) fillReport(calls *callers, report *Report) {
	completed := map[requestID]bool{}
	for _, o := range calls.outcomes {
		if o.complete {
			completed[requestID{workspace: o.workspace, key: o.key}] = true
		}
		if o.isLost() {
			report.LostRequests++
		}
		report.ResumedStreams += o.resumed
	}
	report.Tiers = countByTier(r.config, calls.outcomes)
	report.Prefill.Processed, report.Prefill.Lost, report.Prefill.Repeated = r.rec.prefillTotals(completed)
	names := []string{}
	for i := range daemonCount {
		names = append(names, localsite.DaemonName(i))
	}
	report.Promises = checkPromises(r.rec.recorded(), promise.Options{Daemons: names})
	report.Held = report.LostRequests == 0 && len(report.StopErrors) == 0
	for _, v := range report.Promises {
		report.Held = report.Held && v.Held()
	}
	report.Seconds = time.Since(r.start).Seconds()
}
