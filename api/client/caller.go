package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/verbenastep/verbenastep/api/fault"
)

const (
	// HeaderKey carries the caller's own key for a request.
	HeaderKey = "Idempotency-Key"
	// HeaderRequest carries the request's key back, the caller's or one issued.
	HeaderRequest = "Verbenastep-Request"
	// pathDirectory answers which entries to use.
	pathDirectory = "/v1/directory"
	// pathAnswers gives the rest of an answer by key and offset.
	pathAnswers = "/v1/answers/"
	// directoryTimeout bounds one question to the directory.
	directoryTimeout = 2 * time.Second
)

// ConnectionLost is the kind of the client's own error where a connection
// broke and the answer could not be picked up.
const ConnectionLost fault.Kind = "connection_lost"

// Directory says which entries callers may use, and for how long.
type Directory struct {
	// Addresses are the callers' addresses, the best first.
	Addresses []string `json:"addresses"`
	// Seconds is how long the answer may be kept.
	Seconds int `json:"seconds"`
}

// Caller sends requests of one workspace. It asks the directory which entries
// to use, spreads requests over them, and moves on from an entry that can't be
// reached. It is safe for concurrent use.
type Caller struct {
	// Entries are callers' addresses, IP:port, to ask for the directory.
	Entries []string
	// Fixed keeps to Entries without asking the directory.
	Fixed bool
	// Key is the workspace's bearer key.
	Key string

	mu    sync.Mutex
	known Directory
	until time.Time
	next  int
}

// Directory asks the entries, one after the other, which addresses to use.
func (c *Caller) Directory(ctx context.Context) (Directory, error) {
	last := error(fault.New(Unreachable, "name the callers' address of a daemon", "no entry is named"))
	for _, address := range append(c.cached(), c.Entries...) {
		d, err := askDirectory(ctx, address)
		if err == nil && len(d.Addresses) > 0 {
			c.keep(d)
			return d, nil
		}
		if err != nil {
			last = unanswered(address, "callers'", err)
		}
	}
	return Directory{}, last
}

func askDirectory(ctx context.Context, address string) (Directory, error) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	d := Directory{}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+pathDirectory, nil)
	if err != nil {
		return d, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return d, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return d, refusal(resp)
	}
	err = json.NewDecoder(resp.Body).Decode(&d)
	return d, err
}

func (c *Caller) cached() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string{}, c.known.Addresses...)
}

func (c *Caller) keep(d Directory) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known = d
	c.until = time.Now().Add(time.Duration(d.Seconds) * time.Second)
}

// entries returns the addresses to try, a different one first each time.
func (c *Caller) entries(ctx context.Context) ([]string, error) {
	if c.Fixed {
		return c.Entries, nil
	}
	c.mu.Lock()
	fresh := len(c.known.Addresses) > 0 && time.Now().Before(c.until)
	c.mu.Unlock()
	if !fresh {
		if _, err := c.Directory(ctx); err != nil {
			return nil, err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	all := c.known.Addresses
	first := c.next % len(all)
	return append(append([]string{}, all[first:]...), all[:first]...), nil
}

// Request is one request of a caller.
type Request struct {
	Method string
	// Path is below the entry's root, such as "/v1/chat/completions".
	Path string
	Body []byte
	// ContentType is the body's; empty means JSON.
	ContentType string
	// Key is the caller's own key; empty lets the entry issue one.
	Key string
}

// Reply is a whole answer that was not streamed.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
	// Key is the request's key and Entry the address that answered.
	Key   string
	Entry string
}

// Do sends a request and reads its whole answer. An entry that can't be
// reached, or that drains, is passed over. With a key a request whose
// connection broke is sent again to another entry; without one its outcome is
// unknown. Errors of the system are *fault.Error.
func (c *Caller) Do(ctx context.Context, r Request) (*Reply, error) {
	entries, err := c.entries(ctx)
	if err != nil {
		return nil, err
	}
	last := error(nil)
	for _, address := range entries {
		reply, err := c.attempt(ctx, address, r)
		if err == nil {
			return reply, nil
		}
		last = err
		if !mayMove(err, r) {
			break
		}
	}
	return nil, asFault(last, r)
}

func (c *Caller) attempt(ctx context.Context, address string, r Request) (*Reply, error) {
	resp, err := c.send(ctx, address, r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		if e, ok := decodeRefusal(body); ok {
			return nil, e
		}
	}
	return &Reply{
		Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body,
		Key: resp.Header.Get(HeaderRequest), Entry: address,
	}, nil
}

func (c *Caller) send(ctx context.Context, address string, r Request) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set("Content-Type", r.ContentType)
	if r.ContentType == "" {
		req.Header.Set("Content-Type", "application/json")
	}
	if r.Key != "" {
		req.Header.Set(HeaderKey, r.Key)
	}
	return http.DefaultClient.Do(req)
}

// maxRefusal is the longest refusal that is read, in bytes.
const maxRefusal = 64 << 10

// decodeRefusal tells the system's refusal from a service's own answer with an
// error status.
func decodeRefusal(data []byte) (*fault.Error, bool) {
	body := struct {
		Error *fault.Error `json:"error"`
	}{}
	if json.Unmarshal(data, &body) != nil || body.Error == nil {
		return nil, false
	}
	return body.Error, body.Error.Kind != "" && body.Error.Ran != ""
}

func refusal(resp *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxRefusal))
	if err != nil {
		return err
	}
	if e, ok := decodeRefusal(data); ok {
		return e
	}
	e := fault.New(fault.Internal, "check that the address is a daemon's callers' one", "the answer has status %d and is not readable", resp.StatusCode)
	return e.WithRan(fault.MayHaveRun)
}

// mayMove tells whether another entry may be tried.
func mayMove(err error, r Request) bool {
	refused := (*fault.Error)(nil)
	if errors.As(err, &refused) {
		return refused.Kind == fault.Draining && refused.Ran == fault.NotRun
	}
	return notSent(err) || r.Key != ""
}

// notSent tells that no byte of the request left.
func notSent(err error) bool {
	op := (*net.OpError)(nil)
	return errors.As(err, &op) && op.Op == "dial"
}

func asFault(err error, r Request) *fault.Error {
	found := (*fault.Error)(nil)
	if errors.As(err, &found) {
		return found
	}
	if notSent(err) {
		return fault.New(Unreachable, "check the entries' addresses", "no entry can be reached: %v", err)
	}
	e := fault.New(ConnectionLost, "send it again with the same key, where it has one", "the connection broke: %v", err)
	e.Key = r.Key
	return e.WithRan(fault.MayHaveRun)
}

// answerPath is where the rest of an answer lies.
func answerPath(key string, offset int64) string {
	return pathAnswers + key + "?offset=" + strconv.FormatInt(offset, 10)
}
