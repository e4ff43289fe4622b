// Package explain reads the daemons' logs and tells what became of a request:
// a timeline over all processes, and the cause that decided.
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
	// maxLine is the longest line that is read, in bytes.
	maxLine = 1 << 20
	// before and after bound what else is shown around a request: changes of
	// what the entry believed take effect within seconds.
	before = 1500 * time.Millisecond
	after  = 300 * time.Millisecond
)

// Line is one line of a log.
type Line struct {
	Time    time.Time `json:"ts"`
	Level   string    `json:"level"`
	Logger  string    `json:"logger"`
	Message string    `json:"msg"`
	Daemon  string    `json:"daemon"`
	Request string    `json:"request"`
	// Fields are all fields as they stand.
	Fields map[string]any `json:"-"`
}

// text gives a field as text, empty where the line lacks it.
func (l Line) text(field string) string {
	v, ok := l.Fields[field]
	if !ok {
		return ""
	}
	return fmt.Sprint(v)
}

// Read reads the JSON lines of a log; what stands before the first brace of a
// line is skipped, and so are lines without any.
func Read(r io.Reader) ([]Line, error) {
	out := []Line{}
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
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

// Report is what became of a request.
type Report struct {
	Request string
	// Lines are those on the request and on what changed around it, in order.
	Lines []Line
	// Cause is the decision that its outcome rests on.
	Cause string
}

// Explain finds a request in the lines of any number of daemons; false where
// none names it.
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
	byTime(own)
	r := Report{Request: request, Cause: cause(lines, own)}
	from, to := own[0].Time.Add(-before), own[len(own)-1].Time.Add(after)
	for _, l := range lines {
		if l.Request == request || (l.Request == "" && around(l, own) && !l.Time.Before(from) && !l.Time.After(to)) {
			r.Lines = append(r.Lines, l)
		}
	}
	byTime(r.Lines)
	return r, true
}

func byTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// around tells whether a line shows a change that may bear on a request: what
// its entry lost or found, who leads, and what became of its upstreams.
func around(l Line, own []Line) bool {
	switch l.Message {
	case "broker lost", "broker found", "route table in force", "daemon started", "settings reloaded":
		return l.Daemon == own[0].Daemon
	case "broker changed":
		return l.text("leads") == "true"
	case "upstream changed":
		return slices.ContainsFunc(own, func(o Line) bool { return o.text("upstream") != "" && o.text("upstream") == l.text("upstream") })
	}
	return false
}

// last returns the newest line of a message.
func last(own []Line, message string) (Line, bool) {
	for i := len(own) - 1; i >= 0; i-- {
		if own[i].Message == message {
			return own[i], true
		}
	}
	return Line{}, false
}

// cause names the decision that the outcome rests on.
func cause(all, own []Line) string {
	if l, ok := last(own, "request refused"); ok {
		return fmt.Sprintf("refused with %s (%s): %s; route table version %s", l.text("status"), l.text("outcome"), l.text("why"), l.text("table"))
	}
	end, ok := last(own, "request ended")
	if !ok {
		return unfinished(all, own)
	}
	tried := ""
	if l, ok := last(own, "try failed"); ok {
		tried = fmt.Sprintf("upstream %s: %s (%s)", l.text("upstream"), l.text("outcome"), l.text("error"))
	}
	switch end.text("outcome") {
	case "answered":
		return fmt.Sprintf("answered with %s after %s s", end.text("status"), end.text("took"))
	case "limit_exceeded":
		return fmt.Sprintf("workspace %s had used up its quota when the request asked for %s tokens", end.text("workspace"), end.text("charge"))
	case "overloaded":
		return "the pool was overloaded: " + end.text("why")
	case "caller_gone":
		if l, ok := last(own, "granted"); ok && tried == "" {
			tried = fmt.Sprintf("upstream %s had not answered", l.text("upstream"))
		}
		return strings.TrimSuffix(fmt.Sprintf("the caller went away after %s s; %s", end.text("took"), tried), "; ")
	case "timeout":
		return fmt.Sprintf("no answer within %s s; %s", end.text("took"), tried)
	case "upstream_failed":
		return "the upstream's own failure was passed on; " + tried
	case "cut":
		return fmt.Sprintf("the stream broke after %s events and may not be resumed elsewhere; %s", end.text("events"), tried)
	}
	return strings.TrimSuffix(fmt.Sprintf("%s: %s; %s", end.text("outcome"), end.text("why"), tried), "; ")
}

// unfinished explains a request whose entry says nothing of its end.
func unfinished(all, own []Line) string {
	newest := own[len(own)-1]
	for _, l := range all {
		if l.Daemon == newest.Daemon && l.Message == "daemon started" && l.Time.After(newest.Time) {
			return fmt.Sprintf("entry %s ended while it served the request; it started again at %s", l.Daemon, l.Time.Format(time.RFC3339Nano))
		}
	}
	return fmt.Sprintf("entry %s says nothing of its end: the request still runs, or the daemon has ended", newest.Daemon)
}

// Write writes the timeline, the cause in the last line.
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
