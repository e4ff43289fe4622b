package logbench

import (
	"fmt"
	"io"
	"runtime"
	"time"
)

// CommitRow is one measurement of commits.
type CommitRow struct {
	InFlight  int
	SyncEach  bool
	Commits   int
	PerSecond float64
	P50, P99  time.Duration
}

// Report is what one run measured.
type Report struct {
	Started time.Time
	Run     time.Duration
	Commits []CommitRow
	// Failover holds the sorted times from the leader's end to the next commit.
	Failover []time.Duration
	// RestartRead is until the log is read, Restart until it is applied too.
	RestartRead    time.Duration
	Restart        time.Duration
	RestartEntries int
}

// Targets of the design.
const (
	targetGain     = 10.0
	targetFailover = 2 * time.Second
	targetRestart  = time.Second
)

// gain is how many times faster group commit is at a number in flight.
func (r *Report) gain(inflight int) float64 {
	each, batch := 0.0, 0.0
	for _, row := range r.Commits {
		if row.InFlight != inflight {
			continue
		}
		if row.SyncEach {
			each = row.PerSecond
		} else {
			batch = row.PerSecond
		}
	}
	if each == 0 {
		return 0
	}
	return batch / each
}

func verdict(met bool) string {
	if met {
		return "met"
	}
	return "not met"
}

// WriteTo writes the report as a section of a Markdown page.
func (r *Report) WriteTo(w io.Writer) (int64, error) {
	p := &printer{w: w}
	p.line("## %s", r.Started.Format("2006-01-02 15:04 UTC"))
	p.line("")
	p.line("Three replicas in one process, real files and syncs, joined by drpc over loopback; %d processors, %s, %s a row. A commit is a claim, proposed through the log's client.", runtime.NumCPU(), runtime.Version(), r.Run)
	p.line("")
	p.line("| in flight | sync | commits | commits/s | p50 ms | p99 ms |")
	p.line("|---|---|---|---|---|---|")
	for _, row := range r.Commits {
		mode := "one a batch"
		if row.SyncEach {
			mode = "one an entry"
		}
		p.line("| %d | %s | %d | %.0f | %.2f | %.2f |", row.InFlight, mode, row.Commits, row.PerSecond, ms(row.P50), ms(row.P99))
	}
	p.line("")
	gain := r.gain(256)
	p.line("- Group commit at 256 in flight: %.1f times one sync an entry (target %.0f times: %s).", gain, targetGain, verdict(gain >= targetGain))
	if n := len(r.Failover); n > 0 {
		worst := r.Failover[n-1]
		p.line("- Leader stopped without a handover, until the next commit: median %.0f ms, worst of %d %.0f ms (target %.0f ms: %s).", ms(r.Failover[n/2]), n, ms(worst), ms(targetFailover), verdict(worst <= targetFailover))
	}
	p.line("- Restart with %d entries behind a snapshot: read in %.0f ms, applied after %.0f ms (target %.0f ms: %s).", r.RestartEntries, ms(r.RestartRead), ms(r.Restart), ms(targetRestart), verdict(r.Restart <= targetRestart))
	p.line("")
	return p.n, p.err
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

type printer struct {
	w   io.Writer
	n   int64
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err != nil {
		return
	}
	n, err := fmt.Fprintf(p.w, format+"\n", args...)
	p.n += int64(n)
	p.err = err
}
