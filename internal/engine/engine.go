// Package engine is the daemons' client to upstreams: it starts, resumes and
// cancels streams on runners and makes calls on plain services.
//
// A Conn carries one request. It is made before the request is claimed, so
// that an upstream that can't be reached is known before anything is sent.
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
)

const (
	// dialTimeout bounds making a connection.
	dialTimeout = time.Second
	// maxFrame is the longest line of a stream, in bytes.
	maxFrame = 1 << 20
	// keepAlive is the pause between TCP probes on an idle connection.
	keepAlive = 5 * time.Second
)

// Conn is a connection to an upstream for one request.
type Conn struct {
	address string
	raw     *countedConn
	client  *http.Client
}

// countedConn counts what was written, so that "nothing was sent" is certain.
type countedConn struct {
	net.Conn
	sent  atomic.Bool
	first func()
}

// Write counts before it writes: a failed write may have sent something.
func (c *countedConn) Write(p []byte) (int, error) {
	if !c.sent.Swap(true) && c.first != nil {
		c.first()
	}
	return c.Conn.Write(p)
}

// OnSend sets what is called before the first byte leaves.
func (c *Conn) OnSend(fn func()) { c.raw.first = fn }

// Sent tells whether any byte may have left for the upstream.
func (c *Conn) Sent() bool { return c.raw.sent.Load() }

// Dial connects to an upstream.
func Dial(ctx context.Context, address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	d := net.Dialer{KeepAlive: keepAlive}
	dialed, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	raw := &countedConn{Conn: dialed}
	c := &Conn{address: address, raw: raw}
	used := atomic.Bool{}
	c.client = &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			DisableKeepAlives:  true,
			DisableCompression: true,
			DialContext: func(context.Context, string, string) (net.Conn, error) {
				if used.Swap(true) {
					return nil, fmt.Errorf("connection to %s is used up", address)
				}
				return raw, nil
			},
		},
	}
	return c, nil
}

// Close ends the connection.
func (c *Conn) Close() {
	_ = c.raw.Close()
}

// StatusError is an upstream's refusal before a stream began.
type StatusError struct {
	Status int
	Body   string
}

// Error gives status and body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("upstream answered %d: %s", e.Status, e.Body)
}

// Stream yields the frames of one answer.
type Stream struct {
	conn  *Conn
	body  io.ReadCloser
	lines *bufio.Scanner
}

// Start begins a stream. It fails where no header comes within the silence.
func (c *Conn) Start(ctx context.Context, s upstream.Start, silence time.Duration) (*Stream, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+upstream.PathStreams, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return c.open(req, silence)
}

// Resume reads a stream from an offset, in bytes.
func (c *Conn) Resume(ctx context.Context, stream string, offset int64, silence time.Duration) (*Stream, error) {
	url := "http://" + c.address + upstream.PathStreams + "/" + stream + "?offset=" + strconv.FormatInt(offset, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return c.open(req, silence)
}

func (c *Conn) open(req *http.Request, silence time.Duration) (*Stream, error) {
	_ = c.raw.SetDeadline(time.Now().Add(silence))
	defer func() { _ = c.raw.SetWriteDeadline(time.Time{}) }()
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxFrame))
		return nil, &StatusError{Status: resp.StatusCode, Body: string(text)}
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxFrame)
	return &Stream{conn: c, body: resp.Body, lines: lines}, nil
}

// Next returns the next frame; empty lines between are heartbeats. It fails
// with os.ErrDeadlineExceeded where the stream carries nothing for the given
// time, and with io.ErrUnexpectedEOF where it ends without a last frame.
func (s *Stream) Next(silence time.Duration) (upstream.Frame, error) {
	for {
		_ = s.conn.raw.SetReadDeadline(time.Now().Add(silence))
		if !s.lines.Scan() {
			if err := s.lines.Err(); err != nil {
				return upstream.Frame{}, err
			}
			return upstream.Frame{}, io.ErrUnexpectedEOF
		}
		if len(bytes.TrimSpace(s.lines.Bytes())) == 0 {
			continue
		}
		f := upstream.Frame{}
		err := json.Unmarshal(s.lines.Bytes(), &f)
		return f, err
	}
}

// Close ends the stream's connection.
func (s *Stream) Close() {
	_ = s.body.Close()
	s.conn.Close()
}

// Cancel tells a runner that nobody waits for a stream.
func (c *Conn) Cancel(ctx context.Context, stream string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+c.address+upstream.PathStreams+"/"+stream, nil)
	if err != nil {
		return err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// Call is one call on a plain service.
type Call struct {
	Stream string
	Method string
	// Path is below the service's root, with the query.
	Path   string
	Header http.Header
	Body   []byte
}

// Reply is a service's whole answer.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
}

// errNoEnd says that a cut reply could not be told from a whole one.
var errNoEnd = errors.New("the reply has neither a length nor chunks; let the service send either")

// Do makes the call and reads the whole reply, of limit bytes at most.
func (c *Conn) Do(ctx context.Context, call Call, limit int64) (Reply, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+c.address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Reply{}, err
	}
	req.GetBody = nil
	req.Header = call.Header.Clone()
	req.Header.Set(upstream.HeaderRequest, call.Stream)
	resp, err := c.client.Do(req)
	if err != nil {
		return Reply{}, err
	}
	defer resp.Body.Close()
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return Reply{}, errNoEnd
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return Reply{}, err
	}
	if int64(len(body)) > limit {
		return Reply{}, fmt.Errorf("the reply is over %d bytes", limit)
	}
	return Reply{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}
