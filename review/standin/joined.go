package main

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	model     = "model"
	modelPath = "/model/report"
	// longPath is that of streams that occupy the old runner; longFactor is how much longer they are.
	longPath   = "/model/long"
	longFactor = 5
	// question is the body of both streams: the same caller asks the same thing twice.
	question       = "Who owned chassis 117?"
	streamEvents   = 40
	eventInterval  = 60 * time.Millisecond
	streamDeadline = 15 * time.Second
	// shownEvents is how many events of the second stream its client has when it breaks off.
	shownEvents = 5
	// occupyDelay is how long after the long streams the new runner starts.
	occupyDelay = 300 * time.Millisecond
	// askDelay is the time from the loss of the core to the second question.
	askDelay = 150 * time.Millisecond
)

// streamed is what a client got of a stream.
type streamed struct {
	status int
	// words holds the data of the events in order, lastID the id of the last one.
	words  []string
	lastID int
	whole  bool
	retry  time.Duration
}

// ask sends a request for a stream, after an event if lastID is not zero. It calls onEvent after
// each event, and closes the connection once that returns false.
func (s *site) ask(front, path string, lastID int, deadline time.Duration, onEvent func(n int) bool) streamed {
	out := streamed{}
	req, err := http.NewRequest(http.MethodPost, "http://"+front+path, strings.NewReader(question))
	if err != nil {
		return out
	}
	s.mu.Lock()
	s.lastID++
	id := fmt.Sprintf("%08x%08x", os.Getpid(), s.lastID)
	s.mu.Unlock()
	req.Host = host
	for name, value := range map[string]string{
		"X-Attempt-Id": id, "X-Deadline-Ms": fmt.Sprint(deadline.Milliseconds()), "Authorization": "Token " + apiKey,
		"X-Model": "m", "X-Token-Usage": "160,80", "X-Prompt-Prefix": "5c1e07a2:60,e4402b7d:100",
	} {
		req.Header.Set(name, value)
	}
	if lastID > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(lastID))
	}
	s.note("client: stream %s %s sent to %s, after event %d", path, id, front, lastID)
	client := &http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		s.note("client: stream %s got no answer: %v", id, err)
		return out
	}
	defer resp.Body.Close()
	out.status, out.lastID = resp.StatusCode, lastID
	if seconds, parseErr := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); parseErr == nil {
		out.retry = time.Duration(seconds * float64(time.Second))
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch name {
		case "id":
			out.lastID, _ = strconv.Atoi(value)
		case "data":
			out.words = append(out.words, value)
			if onEvent != nil && !onEvent(len(out.words)) {
				s.note("client: stream %s closed after event %d: %q", id, out.lastID, value)
				return out
			}
		}
	}
	out.whole = lines.Err() == nil
	s.note("client: stream %s got %d, %d events to %d, whole %t, first %.30q, last %.30q, retry after %v", id, out.status, len(out.words), out.lastID, out.whole,
		strings.Join(out.words[:min(1, len(out.words))], ""), strings.Join(out.words[max(0, len(out.words)-1):], ""), out.retry)
	return out
}

// playJoined lets a caller ask the same thing twice while a service is released: the first stream
// runs at the old version, the second begins at the new one, at another front. Right after all
// processes of the core were killed, that front is killed as well, and the client takes its stream
// up at the other front.
func playJoined(s *site) (bool, error) {
	if err := s.start(3, 2); err != nil {
		return false, err
	}
	old := &runner{service: model, slots: 7, work: eventInterval, version: "v1", place: farZone, events: streamEvents}
	if _, err := s.addRunnerOf(old); err != nil {
		return false, err
	}
	if err := s.publish(streamConfiguration()); err != nil {
		return false, err
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * contactTime)
	breaks, other := s.entries[0], s.at(s.entries[1].ip, s.ports.callers)
	first := s.ask(other, modelPath, 0, streamDeadline, nil)
	if !first.whole || len(first.words) != streamEvents {
		return false, errors.New("the first stream was not served")
	}
	// The old runner is full when the second question comes, and has room when that is taken up.
	for range old.slots {
		go s.ask(s.at(breaks.ip, s.ports.callers), longPath, 0, streamDeadline, nil)
	}
	time.Sleep(occupyDelay)
	next := &runner{service: model, slots: 7, work: eventInterval, version: "v2", place: zone, events: streamEvents}
	if _, err := s.addRunnerOf(next); err != nil {
		return false, err
	}
	time.Sleep(2 * heartbeatInterval)
	began := time.Now()
	second := s.breakStream(breaks)
	switch {
	case len(second.words) == 0:
		return false, errors.New("the second stream was not served")
	case s.disturbed && !strings.HasSuffix(second.words[0], next.version):
		return false, errors.New("the second stream did not begin at the new version")
	}
	return s.takeUp(other, second, began)
}

// streamConfiguration returns a configuration with one route for streams that may be resumed.
func streamConfiguration() map[string]any {
	r := route("r-1", "/model/", "stream", model, 2)
	r["timeout_ms"], r["latency_target_ms"], r["resumable"], r["gap_target_ms"], r["sticky"] = streamDeadline.Milliseconds(), 1000, true, 250, true
	c := configuration([]map[string]any{r}, model)
	c["services"].([]map[string]any)[0]["engine"] = map[string]any{"slots": 7, "kv_capacity": 621505, "stride": 2, "models": []any{map[string]any{"name": "m"}}}
	return c
}

// breakStream begins the second stream at a front and ends it after some events: by the kills, or
// by the client without a disruption. All that was killed starts again.
func (s *site) breakStream(front *process) streamed {
	if s.disturbed {
		for _, p := range s.controls {
			_ = p.cmd.Process.Kill()
		}
		for _, p := range s.controls {
			<-p.gone
			s.note("%s killed", p.name)
		}
		time.Sleep(askDelay)
	}
	out := s.ask(s.at(front.ip, s.ports.callers), modelPath, 0, streamDeadline, func(n int) bool {
		if n == shownEvents && s.disturbed {
			s.kill(front)
		}
		return n < shownEvents
	})
	if !s.disturbed {
		return out
	}
	for _, p := range append(append([]*process{}, s.controls...), front) {
		if err := s.restart(p); err != nil {
			s.note("%s did not start: %v", p.name, err)
		}
	}
	return out
}

// takeUp resumes the stream at another front, as often as it is refused, and judges the text.
func (s *site) takeUp(front string, before streamed, began time.Time) (bool, error) {
	for {
		left := streamDeadline - time.Since(began)
		if left < time.Second {
			s.note("ORDER: the stream was not taken up before its deadline")
			return false, nil
		}
		r := s.ask(front, modelPath, before.lastID, left, nil)
		if len(r.words) > 0 {
			s.note("ORDER: the caller has %q and then %q", before.words[len(before.words)-1], r.words[0])
			return !strings.HasSuffix(r.words[0], before.words[0][len(before.words[0])-2:]), nil
		}
		time.Sleep(max(r.retry, 300*time.Millisecond))
	}
}
