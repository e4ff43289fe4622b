// Package engine is the HTTP client for upstreams: it starts, resumes and
// cancels streams on runners, sends orders to them, moves streams between them,
// and calls services. The entry uses it.
//
// A Conn carries one request. The entry dials before it claims the request, so
// that an unreachable upstream is detected while nothing has been sent.
package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/verbenastep/verbenastep/api/upstream"
	"github.com/verbenastep/verbenastep/internal/httpresponse"
)

const (
	// dialTimeout limits establishing a connection.
	dialTimeout = time.Second
	// maxFrameBytes is the maximum length of a line of a stream, in bytes.
	maxFrameBytes = 1 << 20
	// maxResponseHeaderBytes is the maximum length of a response's header, in bytes.
	maxResponseHeaderBytes = 64 << 10
	// keepAliveInterval is the interval of TCP keep-alive probes.
	keepAliveInterval = 5 * time.Second
)

// Conn is a connection to an upstream that carries one request. It is not safe
// for concurrent use.
type Conn struct {
	address string
	netConn *upstreamConn
	client  *http.Client
}

// upstreamConn records whether anything was written, so that a failed request can
// be reported as not sent with certainty. Its reads fail at a malformed head.
type upstreamConn struct {
	net.Conn
	head    httpresponse.HeadChecker
	written atomic.Bool
	// onFirstWrite, if set, is called before the first write.
	onFirstWrite func()
}

// Write records the write before it happens, because a write that fails may
// still have sent some bytes.
func (c *upstreamConn) Write(p []byte) (int, error) {
	if !c.written.Swap(true) && c.onFirstWrite != nil {
		c.onFirstWrite()
	}
	return c.Conn.Write(p)
}

// Read returns an error once a head is malformed.
func (c *upstreamConn) Read(p []byte) (int, error) {
	if malformed := c.head.Check(nil); malformed != nil {
		return 0, malformed
	}
	n, err := c.Conn.Read(p)
	if malformed := c.head.Check(p[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}

// OnFirstWrite sets a function that is called before the first byte is written.
// It must be set before the request is sent.
func (c *Conn) OnFirstWrite(fn func()) { c.netConn.onFirstWrite = fn }

// MayHaveSent reports whether any byte may have been sent to the upstream.
func (c *Conn) MayHaveSent() bool { return c.netConn.written.Load() }

// Dial connects to an upstream at host:port, within a second.
func Dial(ctx context.Context, address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	d := net.Dialer{KeepAlive: keepAliveInterval}
	dialed, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	wrapped := &upstreamConn{Conn: dialed}
	c := &Conn{address: address, netConn: wrapped}
	used := atomic.Bool{}
	c.client = &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
			DialContext: func(context.Context, string, string) (net.Conn, error) {
				if used.Swap(true) {
					return nil, fmt.Errorf("connection to %s has already carried a request; dial a new one", address)
				}
				return wrapped, nil
			},
		},
	}
	return c, nil
}

// Close closes the connection.
func (c *Conn) Close() {
	_ = c.netConn.Close()
}

// StatusError reports an upstream's response with a status other than 200.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("upstream answered %d: %s", e.Status, e.Body)
}

// do sends a request. It returns an error for a response that is malformed.
func (c *Conn) do(req *http.Request) (*http.Response, error) {
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, err
	}
	if err := httpresponse.Check(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// Stream reads the frames of one answer.
type Stream struct {
	conn    *Conn
	body    io.ReadCloser
	scanner *bufio.Scanner
}

// Start starts a stream. It fails if no response header arrives within
// idleTimeout, and returns a StatusError if the runner refuses.
func (c *Conn) Start(ctx context.Context, s upstream.Start, idleTimeout time.Duration) (*Stream, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+upstream.PathStreams, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return c.openStream(req, idleTimeout)
}

// Resume reads a running stream from an offset, in bytes. It fails as Start does.
func (c *Conn) Resume(ctx context.Context, stream string, offset int64, idleTimeout time.Duration) (*Stream, error) {
	url := "http://" + c.address + upstream.PathStreams + "/" + stream + "?offset=" + strconv.FormatInt(offset, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return c.openStream(req, idleTimeout)
}

// openStream sends the request and returns its response body as a stream.
func (c *Conn) openStream(req *http.Request, idleTimeout time.Duration) (*Stream, error) {
	_ = c.netConn.SetDeadline(time.Now().Add(idleTimeout))
	defer func() { _ = c.netConn.SetWriteDeadline(time.Time{}) }()
	resp, err := c.do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxFrameBytes))
		return nil, &StatusError{Status: resp.StatusCode, Body: string(text)}
	}
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(nil, maxFrameBytes)
	return &Stream{conn: c, body: resp.Body, scanner: scanner}, nil
}

// Next returns the next frame and skips empty lines, which are heartbeats. It
// returns os.ErrDeadlineExceeded if nothing arrives within idleTimeout, and
// io.ErrUnexpectedEOF if the connection ends before the last frame.
func (s *Stream) Next(idleTimeout time.Duration) (upstream.Frame, error) {
	for {
		_ = s.conn.netConn.SetReadDeadline(time.Now().Add(idleTimeout))
		if !s.scanner.Scan() {
			if err := s.scanner.Err(); err != nil {
				return upstream.Frame{}, err
			}
			return upstream.Frame{}, io.ErrUnexpectedEOF
		}
		if len(bytes.TrimSpace(s.scanner.Bytes())) == 0 {
			continue
		}
		f := upstream.Frame{}
		err := json.Unmarshal(s.scanner.Bytes(), &f)
		return f, err
	}
}

// Close closes the stream and its connection.
func (s *Stream) Close() {
	_ = s.body.Close()
	s.conn.Close()
}

// Cancel asks a runner to stop a stream that no caller waits for.
func (c *Conn) Cancel(ctx context.Context, stream string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+c.address+upstream.PathStreams+"/"+stream, nil)
	if err != nil {
		return err
	}
	resp, err := c.do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// ServiceRequest is a request to a service.
type ServiceRequest struct {
	Stream string
	Method string
	// Path is relative to the service's root and includes the query.
	Path   string
	Header http.Header
	Body   []byte
}

// ServiceReply is the complete response of a service.
type ServiceReply struct {
	Status      int
	ContentType string
	Body        []byte
}

// errUnframedReply reports a reply whose truncation could not be detected.
var errUnframedReply = errors.New("reply has neither Content-Length nor chunked encoding; make the service send one of them")

// CallService sends the request and reads the complete reply. It fails if the
// body is longer than maxBytes, or if its end could not be recognized.
func (c *Conn) CallService(ctx context.Context, call ServiceRequest, maxBytes int64) (ServiceReply, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+c.address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return ServiceReply{}, err
	}
	req.GetBody = nil
	req.Header = call.Header.Clone()
	req.Header.Set(upstream.HeaderRequest, call.Stream)
	resp, err := c.do(req)
	if err != nil {
		return ServiceReply{}, err
	}
	defer resp.Body.Close()
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return ServiceReply{}, errUnframedReply
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes+1))
	if err != nil {
		return ServiceReply{}, err
	}
	if err := httpresponse.CheckTrailer(resp); err != nil {
		return ServiceReply{}, err
	}
	if int64(len(body)) > maxBytes {
		return ServiceReply{}, fmt.Errorf("reply body exceeds the limit of %d bytes", maxBytes)
	}
	return ServiceReply{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}
