package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/verbenastep/verbenastep/api/upstream"
)

// maxExport is the largest KV cache that is moved, in bytes.
const maxExport = 256 << 20

// Order gives a runner an order. A StatusError of 409 says that the fence is
// older than one that the runner has seen.
func (c *Conn) Order(ctx context.Context, o upstream.Order) (upstream.OrderReply, error) {
	out := upstream.OrderReply{}
	err := c.exchange(ctx, upstream.PathOrders, o, &out)
	return out, err
}

// Export takes a stream and its KV cache from a runner; the stream ends there.
func (c *Conn) Export(ctx context.Context, stream string) (upstream.Export, error) {
	out := upstream.Export{}
	err := c.exchange(ctx, upstream.PathStreams+"/"+stream+upstream.SuffixExport, struct{}{}, &out)
	return out, err
}

// Import lets a runner go on with an exported stream, which is then resumed
// there like any other.
func (c *Conn) Import(ctx context.Context, e upstream.Export) error {
	return c.exchange(ctx, upstream.PathImports, e, &struct{}{})
}

// exchange posts one JSON value and reads another.
func (c *Conn) exchange(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxFrame))
		return &StatusError{Status: resp.StatusCode, Body: string(text)}
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxExport)).Decode(out)
}
