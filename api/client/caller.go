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
	// HeaderKey is the request header that carries the caller's own key for a
	// request.
	HeaderKey = "Idempotency-Key"
	// HeaderRequest is the response header that carries the request's key, either
	// the caller's own or one that the entry issued.
	HeaderRequest = "Verbenastep-Request"
	// pathDirectory serves a Directory.
	pathDirectory = "/v1/directory"
	// pathAnswers is followed by a request's key and serves its answer from an
	// offset on.
	pathAnswers = "/v1/answers/"
	// directoryTimeout bounds one directory request.
	directoryTimeout = 2 * time.Second
)

// ConnectionLost is the kind of the error that the client itself reports when a
// connection broke and the answer could not be resumed.
const ConnectionLost fault.Kind = "connection_lost"

// Directory lists the entries that callers may use, and for how long.
type Directory struct {
	// Addresses are the callers' addresses of entries, in order of preference.
	Addresses []string `json:"addresses"`
	// Seconds is how long the list may be cached.
	Seconds int `json:"seconds"`
}

// Caller sends the requests of one workspace. It gets the list of entries from
// the directory and caches it, distributes requests over the entries, and fails
// over from an entry that can't be reached. It is safe for concurrent use; its
// exported fields must not change after the first call.
type Caller struct {
	// Entries are the callers' addresses, IP:port, of entries to ask for the
	// directory.
	Entries []string
	// Fixed restricts the caller to Entries; the directory is not asked.
	Fixed bool
	// Key is the workspace's bearer key.
	Key string

	mu        sync.Mutex
	directory Directory
	expiresAt time.Time
	nextFirst int
}

// Directory gets the directory from the first entry that answers and caches it.
// It asks cached addresses before Entries. The error is that of the last entry
// asked, of kind Unreachable.
func (c *Caller) Directory(ctx context.Context) (Directory, error) {
	lastErr := error(fault.New(Unreachable, "name the callers' address of a daemon", "no entry is named"))
	for _, address := range append(c.cachedAddresses(), c.Entries...) {
		d, err := askDirectory(ctx, address)
		if err == nil && len(d.Addresses) > 0 {
			c.cacheDirectory(d)
			return d, nil
		}
		if err != nil {
			lastErr = unreachableError(address, "callers'", err)
		}
	}
	return Directory{}, lastErr
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

// cachedAddresses returns a copy of the cached directory's addresses, even after
// it has expired.
func (c *Caller) cachedAddresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string{}, c.directory.Addresses...)
}

func (c *Caller) cacheDirectory(d Directory) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.directory = d
	c.expiresAt = time.Now().Add(time.Duration(d.Seconds) * time.Second)
}

// candidateEntries returns the entries to try, in order. Successive calls rotate
// the directory's list to spread the load. The directory is asked when the cache
// has expired.
func (c *Caller) candidateEntries(ctx context.Context) ([]string, error) {
	if c.Fixed {
		return c.Entries, nil
	}
	c.mu.Lock()
	fresh := len(c.directory.Addresses) > 0 && time.Now().Before(c.expiresAt)
	c.mu.Unlock()
	if !fresh {
		if _, err := c.Directory(ctx); err != nil {
			return nil, err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextFirst++
	all := c.directory.Addresses
	first := c.nextFirst % len(all)
	return append(append([]string{}, all[first:]...), all[:first]...), nil
}

// Request is one request of a caller to an entry.
type Request struct {
	Method string
	// Path is the path on the entry, with the query, such as "/v1/chat/completions".
	Path string
	Body []byte
	// ContentType is the body's media type; empty means application/json.
	ContentType string
	// Key is the caller's own idempotency key; if empty, the entry issues one.
	Key string
}

// Reply is a complete answer that was not streamed.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
	// Key is the request's key, Entry the address that answered.
	Key   string
	Entry string
}

// Do sends a request and reads the complete answer. It skips an entry that can't
// be reached or is draining. If the connection breaks, a request with a key is
// sent again to another entry, while one without a key fails with an unknown
// outcome. A service's own answer with an error status is a Reply; every refusal
// of the system and lost connection is a *fault.Error.
func (c *Caller) Do(ctx context.Context, r Request) (*Reply, error) {
	entries, err := c.candidateEntries(ctx)
	if err != nil {
		return nil, err
	}
	lastErr := error(nil)
	for _, address := range entries {
		reply, err := c.attempt(ctx, address, r)
		if err == nil {
			return reply, nil
		}
		lastErr = err
		if !mayTryNextEntry(err, r) {
			break
		}
	}
	return nil, asFault(lastErr, r)
}

// attempt sends the request to one entry and reads the complete answer.
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

// maxRefusalBytes bounds how much of a refusal's body is read.
const maxRefusalBytes = 64 << 10

// decodeRefusal decodes a refusal by the system. It returns false for a service's
// own answer with an error status.
func decodeRefusal(data []byte) (*fault.Error, bool) {
	body := struct {
		Error *fault.Error `json:"error"`
	}{}
	if json.Unmarshal(data, &body) != nil || body.Error == nil {
		return nil, false
	}
	return body.Error, body.Error.Kind != "" && body.Error.Ran != ""
}

// refusal returns the error of a response whose status is not OK.
func refusal(resp *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	if err != nil {
		return err
	}
	if e, ok := decodeRefusal(data); ok {
		return e
	}
	e := fault.New(fault.Internal, "check that the address is a daemon's callers' one", "the answer has status %d and is not readable", resp.StatusCode)
	return e.WithRan(fault.MayHaveRun)
}

// mayTryNextEntry reports whether the request may be sent to another entry after
// err: a draining entry refused it, nothing was sent, or its key prevents a second
// run.
func mayTryNextEntry(err error, r Request) bool {
	faultErr := (*fault.Error)(nil)
	if errors.As(err, &faultErr) {
		return faultErr.Kind == fault.Draining && faultErr.Ran == fault.NotRun
	}
	return notSent(err) || r.Key != ""
}

// notSent reports whether no byte of the request was sent, because the connection
// could not be established.
func notSent(err error) bool {
	op := (*net.OpError)(nil)
	return errors.As(err, &op) && op.Op == "dial"
}

// asFault converts the error of a request to the one that the caller gets.
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

// answerPath returns the path of the rest of an answer from an offset in bytes.
func answerPath(key string, offset int64) string {
	return pathAnswers + key + "?offset=" + strconv.FormatInt(offset, 10)
}
