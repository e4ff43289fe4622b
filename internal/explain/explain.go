// Package explain reconstructs the history of a request from the daemons' JSON
// logs: a timeline over all daemons and the cause of the outcome. The command
// verbenastep explain uses it.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// maxLineBytes is the maximum length of a log line.
	maxLineBytes = 1 << 20
	// contextBefore and contextAfter are the times around a request in which other
	// changes are shown; a change of the entry's state affects requests within
	// seconds.
	contextBefore = 1500 * time.Millisecond
	contextAfter  = 300 * time.Millisecond
)

// Line is one line of a log.
type Line struct {
	Time    time.Time `json:"ts"`
	Level   string    `json:"level"`
	Logger  string    `json:"logger"`
	Message string    `json:"msg"`
	Daemon  string    `json:"daemon"`
	Request string    `json:"request"`
	// Fields holds all fields of the line, including the above.
	Fields map[string]any `json:"-"`
}

// text returns a field as text, or an empty string if the line lacks it.
func (l Line) text(field string) string {
	v, ok := l.Fields[field]
	if !ok {
		return ""
	}
	return fmt.Sprint(v)
}

// Read reads the JSON lines of a log. It skips the text before the first brace of
// a line, such as a prefix added by a supervisor, and lines that are not JSON. It
// fails on a line longer than 1 MiB.
func Read(r io.Reader) ([]Line, error) {
	out := []Line{}
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		_, text, found := strings.Cut(s.Text(), "{")
		if !found {
			continue
		}
		l := Line{}
		if json.Unmarshal([]byte("{"+text), &l) != nil || json.Unmarshal([]byte("{"+text), &l.Fields) != nil {
			continue
		}
		out = append(out, l)
	}
	return out, s.Err()
}

// Report is the history of a request.
type Report struct {
	Request string
	// Lines are the lines about the request and about related changes, by time.
	Lines []Line
	// Cause is the decision that determined the outcome.
	Cause string
}

// Explain finds a request in the lines of any number of daemons. It returns false
// if no line names it.
func Explain(lines []Line, request string) (Report, bool) {
	own := []Line{}
	for _, l := range lines {
		if l.Request == request {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return Report{}, false
	}
	sortByTime(own)
	r := Report{Request: request, Cause: cause(lines, own)}
	from, to := own[0].Time.Add(-contextBefore), own[len(own)-1].Time.Add(contextAfter)
	for _, l := range lines {
		if l.Request == request || (l.Request == "" && isRelated(l, own) && !l.Time.Before(from) && !l.Time.After(to)) {
			r.Lines = append(r.Lines, l)
		}
	}
	sortByTime(r.Lines)
	return r, true
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// isRelated reports whether a line reports a change that may affect the request
// whose lines are own: a change of its entry's connections or tables, of the leading
// broker or of its upstreams.
func isRelated(l Line, own []Line) bool {
	switch l.Message {
	case "broker lost", "broker found", "route table in force", "rollout in force", "daemon started", "settings reloaded":
		return l.Daemon == own[0].Daemon
	case "broker changed":
		return l.text("leads") == "true"
	case "rollout decided":
		return l.text("pool") != "" && l.text("pool") == own[0].text("pool")
	case "upstream changed":
		return slices.ContainsFunc(own, func(o Line) bool { return o.text("upstream") != "" && o.text("upstream") == l.text("upstream") })
	}
	return false
}

// last returns the last of the lines with a message.
func last(own []Line, message string) (Line, bool) {
	for i := len(own) - 1; i >= 0; i-- {
		if own[i].Message == message {
			return own[i], true
		}
	}
	return Line{}, false
}

// cause describes the decision that determined the outcome of the request whose
// lines are own; all are the lines of all daemons.
func cause(all, own []Line) string {
	if l, ok := last(own, "request refused"); ok {
		return fmt.Sprintf("refused with %s (%s): %s; route table version %s", l.text("status"), l.text("outcome"), l.text("why"), l.text("table"))
	}
	end, ok := last(own, "request ended")
	if !ok {
		return unfinished(all, own)
	}
	attempt := ""
	if l, ok := last(own, "try failed"); ok {
		attempt = fmt.Sprintf("upstream %s: %s (%s)", l.text("upstream"), l.text("outcome"), l.text("error"))
	}
	switch end.text("outcome") {
	case "answered":
		return fmt.Sprintf("answered with %s after %s s%s", end.text("status"), end.text("took"), versionCause(own))
	case "limit_exceeded":
		return fmt.Sprintf("workspace %s had used up its quota when the request asked for %s tokens", end.text("workspace"), end.text("charge"))
	case "overloaded":
		return "the pool was overloaded: " + end.text("why")
	case "caller_gone":
		if l, ok := last(own, "granted"); ok && attempt == "" {
			attempt = fmt.Sprintf("upstream %s had not answered", l.text("upstream"))
		}
		return strings.TrimSuffix(fmt.Sprintf("the caller went away after %s s; %s", end.text("took"), attempt), "; ")
	case "timeout":
		return fmt.Sprintf("no answer within %s s; %s", end.text("took"), attempt)
	case "upstream_failed":
		return "the upstream's own failure was passed on; " + attempt
	case "cut":
		return fmt.Sprintf("the stream broke after %s events and may not be resumed elsewhere; %s", end.text("events"), attempt)
	}
	return strings.TrimSuffix(fmt.Sprintf("%s: %s; %s", end.text("outcome"), end.text("why"), attempt), "; ")
}

// versionCause names the software version that the last upstream had, and why it was chosen, if
// a rollout had a part in that.
func versionCause(own []Line) string {
	l, ok := last(own, "granted")
	if !ok || l.text("version_why") == "" {
		return ""
	}
	return fmt.Sprintf(" by upstream %s at software version %s (%s)", l.text("upstream"), l.text("software"), l.text("version_why"))
}

// unfinished explains a request without a line about its end.
func unfinished(all, own []Line) string {
	final := own[len(own)-1]
	for _, l := range all {
		if l.Daemon == final.Daemon && l.Message == "daemon started" && l.Time.After(final.Time) {
			return fmt.Sprintf("entry %s ended while it served the request; it started again at %s", l.Daemon, l.Time.Format(time.RFC3339Nano))
		}
	}
	return fmt.Sprintf("entry %s says nothing of its end: the request still runs, or the daemon has ended", final.Daemon)
}

// Write writes the timeline, a line each, followed by a line with the cause.
func (r Report) Write(w io.Writer) error {
	for _, l := range r.Lines {
		fields := []string{}
		for name := range l.Fields {
			if !slices.Contains([]string{"ts", "level", "logger", "msg", "daemon", "request"}, name) {
				fields = append(fields, name)
			}
		}
		slices.Sort(fields)
		for i, name := range fields {
			fields[i] = name + "=" + l.text(name)
		}
		if _, err := fmt.Fprintf(w, "%s %s %s: %s  %s\n", l.Time.Format("15:04:05.000000"), l.Daemon, l.Logger, l.Message, strings.Join(fields, " ")); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "cause: %s\n", r.Cause)
	return err
}
