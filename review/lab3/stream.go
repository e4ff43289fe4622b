package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// streamAnswer is what a client got of a stream.
type streamAnswer struct {
	answer
	events int
	// whole is set if the stream ended in order with its last event.
	whole bool
	sent  time.Duration
	ended time.Duration
}

// stream sends a request for a stream of a number of tokens and reads it to its end.
func (c *client) stream(ip string, promptTokens, tokens int) streamAnswer {
	s := streamAnswer{answer: answer{attempt: fmt.Sprintf("%s%d", c.prefix, c.number.Add(1))}}
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s117", ip, portCallers, pathStream), strings.NewReader("report "+s.attempt))
	if err != nil {
		s.err = err
		return s
	}
	req.Host = hostName
	for name, value := range map[string]string{
		"X-Attempt-Id": s.attempt, "X-Deadline-Ms": "12000", "Authorization": "Token " + apiKey, "X-Model": "m",
		"X-Token-Usage": fmt.Sprintf("%d,%d", promptTokens, tokens), "X-Length-Hint": strconv.Itoa(tokens),
		"X-Prompt-Prefix": fmt.Sprintf("%x:%d", time.Now().UnixNano(), promptTokens),
	} {
		req.Header.Set(name, value)
	}
	s.sent = c.rec.now()
	c.rec.add("send", "attempt", s.attempt, "to", ip, "tokens", tokens)
	resp, err := c.http.Do(req)
	if err == nil {
		s.status, s.header = resp.StatusCode, resp.Header
		err = s.read(resp.Body, tokens/tokensPerEvent)
		_ = resp.Body.Close()
	}
	s.err, s.ended = err, c.rec.now()
	c.rec.add("ended", "attempt", s.attempt, "status", s.status, "events", s.events, "of", tokens/tokensPerEvent, "whole", s.whole,
		"retry_after", s.header.Get("Retry-After"), "body", strconv.Quote(s.body), "error", errors.Join(err))
	return s
}

func (s *streamAnswer) read(body io.Reader, events int) error {
	if s.status != http.StatusOK {
		data, err := io.ReadAll(body)
		s.body = strings.TrimSpace(string(data))
		return err
	}
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id:") {
			s.events++
		}
	}
	s.whole = lines.Err() == nil && s.events == events
	return lines.Err()
}
