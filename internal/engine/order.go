package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/verbenastep/verbenastep/api/upstream"
)

// maxReplyBytes is the maximum size of a runner's reply; the largest one is an
// exported KV cache.
const maxReplyBytes = 256 << 20

// Order sends an order to a runner. A StatusError with status 409 means that the
// order's fencing token is older than one that the runner has seen.
func (c *Conn) Order(ctx context.Context, o upstream.Order) (upstream.OrderReply, error) {
	out := upstream.OrderReply{}
	err := c.post(ctx, upstream.PathOrders, o, &out)
	return out, err
}

// Export ends a stream on its runner and returns it with its KV cache.
func (c *Conn) Export(ctx context.Context, stream string) (upstream.Export, error) {
	out := upstream.Export{}
	err := c.post(ctx, upstream.PathStreams+"/"+stream+upstream.SuffixExport, struct{}{}, &out)
	return out, err
}

// Import makes a runner continue an exported stream, which can then be read with
// Resume.
func (c *Conn) Import(ctx context.Context, e upstream.Export) error {
	return c.post(ctx, upstream.PathImports, e, &struct{}{})
}

// post posts request as JSON and decodes the JSON response into reply. It
// returns a StatusError for any status but 200.
func (c *Conn) post(ctx context.Context, path string, request, reply any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxFrameBytes))
		return &StatusError{Status: resp.StatusCode, Body: string(text)}
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(reply)
}
