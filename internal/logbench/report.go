package logbench

import (
	"fmt"
	"io"
	"runtime"
	"time"
)

// CommitRow holds the commits measured at one concurrency.
type CommitRow struct {
	InFlight int
	// SyncEach says that each entry was synced on its own, without group commit.
	SyncEach  bool
	Commits   int
	PerSecond float64
	// P50 and P99 are percentiles of the time from proposal to commit.
	P50, P99 time.Duration
}

// Report holds the figures of one run.
type Report struct {
	Started    time.Time
	CommitTime time.Duration
	Commits    []CommitRow
	// Failovers holds the sorted times from a leader's stop to the next commit.
	Failovers []time.Duration
	// RestartReadTime is the time to read the snapshot and the log, RestartTime
	// the time until the entries are applied as well.
	RestartReadTime time.Duration
	RestartTime     time.Duration
	RestartEntries  int
}

// Design targets of the replicated log; gains are ratios.
const (
	minGroupCommitGain = 10.0
	maxFailover        = 2 * time.Second
	maxRestart         = time.Second
)

// groupCommitGain returns the ratio of commits per second with group commit to
// those with one sync an entry, at a concurrency; zero if not measured.
func (r *Report) groupCommitGain(inFlight int) float64 {
	perEntry, perBatch := 0.0, 0.0
	for _, row := range r.Commits {
		if row.InFlight != inFlight {
			continue
		}
		if row.SyncEach {
			perEntry = row.PerSecond
		} else {
			perBatch = row.PerSecond
		}
	}
	if perEntry == 0 {
		return 0
	}
	return perBatch / perEntry
}

func verdict(met bool) string {
	if met {
		return "met"
	}
	return "not met"
}

// WriteTo writes the report as a section of a Markdown page. It implements
// io.WriterTo.
func (r *Report) WriteTo(w io.Writer) (int64, error) {
	p := &linePrinter{w: w}
	p.printLine("## %s", r.Started.Format("2006-01-02 15:04 UTC"))
	p.printLine("")
	p.printLine("Three replicas in one process, real files and syncs, joined by drpc over loopback; %d processors, %s, %s a row. A commit is a claim, proposed through the log's client.", runtime.NumCPU(), runtime.Version(), r.CommitTime)
	p.printLine("")
	p.printLine("| in flight | sync | commits | commits/s | p50 ms | p99 ms |")
	p.printLine("|---|---|---|---|---|---|")
	for _, row := range r.Commits {
		mode := "one a batch"
		if row.SyncEach {
			mode = "one an entry"
		}
		p.printLine("| %d | %s | %d | %.0f | %.2f | %.2f |", row.InFlight, mode, row.Commits, row.PerSecond, milliseconds(row.P50), milliseconds(row.P99))
	}
	p.printLine("")
	gain := r.groupCommitGain(256)
	p.printLine("- Group commit at 256 in flight: %.1f times one sync an entry (target %.0f times: %s).", gain, minGroupCommitGain, verdict(gain >= minGroupCommitGain))
	if n := len(r.Failovers); n > 0 {
		slowest := r.Failovers[n-1]
		p.printLine("- Leader stopped without a handover, until the next commit: median %.0f ms, worst of %d %.0f ms (target %.0f ms: %s).", milliseconds(r.Failovers[n/2]), n, milliseconds(slowest), milliseconds(maxFailover), verdict(slowest <= maxFailover))
	}
	p.printLine("- Restart with %d entries behind a snapshot: read in %.0f ms, applied after %.0f ms (target %.0f ms: %s).", r.RestartEntries, milliseconds(r.RestartReadTime), milliseconds(r.RestartTime), milliseconds(maxRestart), verdict(r.RestartTime <= maxRestart))
	p.printLine("")
	return p.written, p.err
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// linePrinter writes lines, counts the bytes and keeps the first error.
type linePrinter struct {
	w       io.Writer
	written int64
	err     error
}

func (p *linePrinter) printLine(format string, args ...any) {
	if p.err != nil {
		return
	}
	n, err := fmt.Fprintf(p.w, format+"\n", args...)
	p.written += int64(n)
	p.err = err
}
