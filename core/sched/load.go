package sched

import "time"

const (
	// maxReportAge is the maximum age of a load report that is used.
	maxReportAge = 2 * time.Second
	// ownLoadWindow is the length of each of the two windows over which the
	// maximum of this dispatcher's own requests is kept.
	ownLoadWindow = 4 * time.Second
	// minForeignReports is the number of consecutive reports that must show
	// foreign requests.
	minForeignReports = 3
)

// foreignLoad estimates the requests that others run on an upstream from the
// upstream's load reports.
//
// A report lags behind, so it is compared with the maximum that this dispatcher
// had in flight over the window in which the report may have been taken; any
// excess cannot be its own requests. The lowest excess of several consecutive
// reports is used. Where reports are missing, old or contradict the
// dispatcher's own count, the estimate is zero.
type foreignLoad struct {
	// currentMax and previousMax are the maxima of own requests in flight in
	// the current and the previous window.
	currentMax  int
	previousMax int
	windowStart time.Duration
	streak      int
	streakMin   int
}

// recordOwn records the number of this dispatcher's requests in flight.
func (l *foreignLoad) recordOwn(now time.Duration, inFlight int) {
	if now-l.windowStart >= ownLoadWindow {
		l.previousMax = l.currentMax
		l.currentMax = inFlight
		l.windowStart = now
	}
	l.currentMax = max(l.currentMax, inFlight)
}

// recordReport processes one load report.
func (l *foreignLoad) recordReport(report Load, slots int) {
	extra := report.Running - max(l.currentMax, l.previousMax)
	plausible := report.Running >= 0 && report.Age >= 0 && report.Age <= maxReportAge
	if !plausible || extra <= 0 {
		l.streak = 0
		l.streakMin = 0
		return
	}
	extra = min(extra, slots)
	if l.streak == 0 || extra < l.streakMin {
		l.streakMin = extra
	}
	l.streak = min(l.streak+1, minForeignReports)
}

// requests returns the estimated number of foreign requests in flight.
func (l *foreignLoad) requests() int {
	if l.streak < minForeignReports {
		return 0
	}
	return l.streakMin
}
