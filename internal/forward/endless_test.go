package forward

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/core/routes"
	"github.com/verbenastep/verbenastep/internal/settings"
)

const (
	// endlessBytes is what an endless upstream sends at most, so that a test that fails
	// ends.
	endlessBytes = 64 << 20
	// kernelBytes is what the buffers of a loopback connection may hold.
	kernelBytes = 8 << 20
	// endlessChunkBytes is the size of one write of an endless upstream.
	endlessChunkBytes = 64 << 10
	// longCalls is the number of long responses at once.
	longCalls = 12
)

// sendEndless sends a beginning and then repeats a text until the connection is closed. It
// adds the bytes it could send to sent.
func sendEndless(sent *atomic.Int64, beginning, text string) script {
	return func(c net.Conn, r *http.Request, _ string) {
		fmt.Fprintf(c, beginning, r.Header.Get("Id"))
		chunk := bytes.Repeat([]byte(text), max(1, endlessChunkBytes/len(text)))
		for total := 0; total < endlessBytes; total += len(chunk) {
			if _, err := c.Write(chunk); err != nil {
				return
			}
			sent.Add(int64(len(chunk)))
		}
	}
}

const (
	sealedHead = "HTTP/1.1 200 x\r\nId: %s\r\nSeal: s\r\n"
	streamHead = sealedHead + "Content-Type: text/event-stream\r\n\r\n"
)

// patientTable returns the test table with a deadline that no cut-off comes near, also on a
// busy machine. What takes time in the square of the bytes does not meet it.
func patientTable() *routes.Table {
	t := testTable()
	for i := range t.Routes {
		t.Routes[i].TimeoutMS = time.Minute.Milliseconds()
	}
	return t
}

// TestEndlessBytesAreCutOff guards against an entry that runs out of memory, or of processor
// time, at an upstream which sends bytes that are no answer for as long as the connection is
// open.
func TestEndlessBytesAreCutOff(t *testing.T) {
	for name, c := range map[string]struct{ beginning, text string }{
		"status line":         {beginning: "%.0sHTTP/1.1 200 ", text: "x"},
		"header line":         {beginning: "HTTP/1.1 200 x\r\nId: %s\r\nLong: ", text: "x"},
		"headers":             {beginning: "HTTP/1.1 200 x\r\nId: %s\r\n", text: "Name: value\r\n"},
		"interim responses":   {beginning: "%.0s", text: "HTTP/1.1 102 x\r\n\r\n"},
		"event line":          {beginning: streamHead + "data: ", text: "x"},
		"event":               {beginning: streamHead, text: "data: x\n"},
		"blank lines":         {beginning: streamHead, text: "\n"},
		"body":                {beginning: sealedHead + "\r\n", text: "x"},
		"chunk size":          {beginning: sealedHead + "Transfer-Encoding: chunked\r\n\r\n", text: "0"},
		"chunk extension":     {beginning: sealedHead + "Transfer-Encoding: chunked\r\n\r\n5;", text: "x"},
		"trailer":             {beginning: sealedHead + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", text: "Name: value\r\n"},
		"body of a late one":  {beginning: "HTTP/1.1 200 x\r\nId: another%.0s\r\nSeal: s\r\n\r\n", text: "x"},
		"body of a rejection": {beginning: "HTTP/1.1 503 x\r\nId: %s\r\nNot-Run: 1\r\n\r\n", text: "x"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for route, status := range map[string]int{"idempotent": http.StatusOK, "once": http.StatusBadGateway} {
				if route == "once" && strings.Contains(c.beginning, "Not-Run") {
					status = http.StatusOK // the other upstream may have it
				}
				sent := &atomic.Int64{}
				r := newTestEntry(t, newUpstream(t, sendEndless(sent, c.beginning, c.text)), newUpstream(t, respondWith(http.StatusOK, "", "whole")))
				r.service.view = testView{routes.NewIndex(patientTable())}
				result := r.call(route, "body")
				require.Equal(t, status, result.status, "it is cut off long before the deadline; %s", route)
				require.Less(t, sent.Load(), int64(maxResponseBytes+kernelBytes), "bytes that the upstream could send; %s", route)
				require.NotContains(t, r.brokerClient.outcomes(), broker.ConnectionLost, "an upstream that sends is not lost; %s", route)
			}
		})
	}
}

// TestManyLongResponsesShareABound guards against an entry that runs out of memory though
// each response by itself is short enough. The upstreams hold back the last byte, so that what
// is buffered stays so until the responses that exceed the bound together have failed.
func TestManyLongResponsesShareABound(t *testing.T) {
	const bodyBytes = 8 << 20
	const limit = int64(settings.DefaultBufferMB * (1 << 20))
	const held = int(limit / bodyBytes)
	finish := make(chan struct{})
	withheld := func(c net.Conn, r *http.Request, _ string) {
		fmt.Fprintf(c, sealedHead+"Content-Length: %d\r\n\r\n", r.Header.Get("Id"), bodyBytes)
		_, _ = c.Write(bytes.Repeat([]byte("x"), bodyBytes-1))
		<-finish
		_, _ = c.Write([]byte("x"))
	}
	upstreams := []*scriptedUpstream{}
	for range longCalls {
		upstreams = append(upstreams, newUpstream(t, withheld))
	}
	r := newTestEntry(t, upstreams...)
	r.service.view = testView{routes.NewIndex(patientTable())}
	results := make(chan callResult, longCalls)
	for range longCalls {
		go func() { results <- r.call("once", "body") }()
	}
	for range longCalls - held {
		require.Equal(t, http.StatusBadGateway, (<-results).status, "a response beyond the bound")
	}
	require.LessOrEqual(t, r.service.buffers.used.Load(), limit+int64(held*bodyChunkBytes))
	close(finish)
	for range held {
		if result := <-results; result.status != http.StatusBadGateway {
			require.Len(t, result.body, bodyBytes)
		}
	}
	require.Eventually(t, func() bool { return r.service.buffers.used.Load() == 0 }, time.Minute, time.Millisecond, "all of it is released")
}
