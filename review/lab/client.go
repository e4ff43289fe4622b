package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// Names that the configuration of the lab declares.
const (
	hostName    = "ficu95.example"
	serviceName = "app-tesoro"
	keyOfTenant = "i9n73hh2b9wu3fexd9dn"
)

func newReader(body []byte) io.Reader { return bytes.NewReader(body) }

// attempt is a request of a client as it was sent and answered.
type attempt struct {
	id     string
	entry  machine
	path   string
	sentAt time.Time
	status int
	sealed bool
	body   string
	err    error
}

// newClient returns an HTTP client whose connections all go to one entry.
func newClient(m machine, timeout time.Duration) *http.Client {
	dialer := net.Dialer{Timeout: time.Second}
	return &http.Client{Timeout: timeout, Transport: &http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: 8, IdleConnTimeout: 12 * time.Second,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", m.address(portFront))
		},
	}}
}

// newID returns a new id of a client attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends a request once and waits for its answer.
func send(client *http.Client, m machine, method, path, body string, deadline time.Duration, headers map[string]string) attempt {
	a := attempt{id: newID(), entry: m, path: path, sentAt: time.Now()}
	if id := headers[headerAttempt]; id != "" {
		a.id = id
	}
	request, err := http.NewRequest(method, "http://"+hostName+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	request.Header.Set(headerAttempt, a.id)
	request.Header.Set(headerDeadline, fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("Authorization", "Token "+keyOfTenant)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		a.err = err
		return a
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	a.status, a.body, a.err, a.sealed = response.StatusCode, string(data), err, response.Header.Get(headerSeal) != ""
	return a
}

// outcome describes how the attempt ended.
func (a attempt) outcome() string {
	if a.err != nil {
		return fmt.Sprintf("%d, connection ended: %v", a.status, a.err)
	}
	return fmt.Sprint(a.status)
}

// readAll returns the body of a request that has arrived.
func readAll(r *http.Request) string {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return ""
	}
	return string(data)
}
