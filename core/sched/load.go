package sched

import "time"

const (
	// reportLife is the greatest age of a load report that counts.
	reportLife = 2 * time.Second
	// ownWindow is over how long the most of our own requests is remembered.
	ownWindow = 4 * time.Second
	// reportsAgree is how many reports in a row must show foreign work.
	reportsAgree = 3
)

// loadReport derives from an upstream's reports the work that is not ours.
//
// A report lags, so it is compared with the most that we had in flight over
// the window in which it may have been taken: the difference can't be our own
// work. The least of several reports in a row counts. Where reports are
// missing, old or contradict what we know, nothing counts.
type loadReport struct {
	// recent and earlier are the most in flight of two windows.
	recent  int
	earlier int
	turned  time.Duration
	streak  int
	least   int
}

// own remembers how many of our requests are in flight.
func (l *loadReport) own(now time.Duration, inFlight int) {
	if now-l.turned >= ownWindow {
		l.earlier = l.recent
		l.recent = inFlight
		l.turned = now
	}
	l.recent = max(l.recent, inFlight)
}

// take reads one report.
func (l *loadReport) take(report Load, slots int) {
	extra := report.Running - max(l.recent, l.earlier)
	plausible := report.Running >= 0 && report.Age >= 0 && report.Age <= reportLife
	if !plausible || extra <= 0 {
		l.streak = 0
		l.least = 0
		return
	}
	extra = min(extra, slots)
	if l.streak == 0 || extra < l.least {
		l.least = extra
	}
	l.streak = min(l.streak+1, reportsAgree)
}

// foreign returns the requests in flight that are not ours.
func (l *loadReport) foreign() int {
	if l.streak < reportsAgree {
		return 0
	}
	return l.least
}
