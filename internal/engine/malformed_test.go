package engine

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/api/upstream"
)

// write returns a script that writes a text line by line and leaves the connection open.
func write(text string) func(net.Conn) {
	return func(c net.Conn) {
		for line := range strings.Lines(text) {
			_, _ = io.WriteString(c, line)
			time.Sleep(time.Millisecond)
		}
		time.Sleep(2 * idleTimeout)
	}
}

// requireNoReply checks that a response is taken for no reply of a service.
func requireNoReply(t *testing.T, response string) {
	t.Helper()
	call := ServiceRequest{Method: http.MethodPost, Path: "/x", Header: http.Header{}}
	reply, err := dial(t, serveOne(t, write(response))).CallService(context.Background(), call, 100)
	require.Error(t, err, "status %d, body %q", reply.Status, reply.Body)
}

// requireMalformed checks that a response is taken for none by calls of services, streams and orders.
func requireMalformed(t *testing.T, response string) {
	t.Helper()
	requireNoReply(t, response)
	address := serveOne(t, write(response))
	for _, start := range []func(*Conn) (*Stream, error){
		func(c *Conn) (*Stream, error) { return c.Start(context.Background(), upstream.Start{}, idleTimeout) },
		func(c *Conn) (*Stream, error) { return c.Resume(context.Background(), "s", 0, idleTimeout) },
	} {
		_, err := start(dial(t, address))
		require.Error(t, err)
		refused := (*StatusError)(nil)
		require.NotErrorAs(t, err, &refused, "a refusal says that the stream was not started")
	}
	_, err := dial(t, address).Order(context.Background(), upstream.Order{})
	require.Error(t, err)
}

// TestStatusBelow100IsNoReply guards against a reply with an invalid status, such as 000, that
// is recorded and handed to the caller.
func TestStatusBelow100IsNoReply(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"000", "001", "099"} {
		for _, rest := range []string{"Content-Length: 2\r\n\r\n{}", "Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"} {
			t.Run(status, func(t *testing.T) {
				t.Parallel()
				requireMalformed(t, "HTTP/1.1 "+status+" x\r\n"+rest)
			})
		}
	}
}

// malformedFields are header lines without a valid field name.
var malformedFields = map[string]string{
	"blank":            "Oth er: a\r\n",
	"blank at its end": "Content-Type : a\r\n",
	"blank first":      " Other: a\r\n",
	"control byte":     "Oth\x01er: a\r\n",
	"chunks":           "Transfer-Encoding : chunked\r\n",
	"tab first":        "\tTransfer-Encoding: chunked\r\n",
}

// TestMalformedFieldNameIsNoReply guards against a reply with an invalid field name in its header:
// what the field says of the body or its type is ignored.
func TestMalformedFieldNameIsNoReply(t *testing.T) {
	t.Parallel()
	const body = "Content-Length: 2\r\n\r\n{}"
	for name, line := range malformedFields {
		for way, response := range map[string]string{
			"reply":            "HTTP/1.1 200 x\r\nServer: s\r\n" + line + body,
			"refusal":          "HTTP/1.1 422 x\r\nServer: s\r\n" + line + body,
			"interim":          "HTTP/1.1 103 x\r\nServer: s\r\n" + line + "\r\nHTTP/1.1 200 x\r\n" + body,
			"after an interim": "HTTP/1.1 103 x\r\nServer: s\r\n\r\nHTTP/1.1 200 x\r\nServer: s\r\n" + line + body,
		} {
			t.Run(name+"/"+way, func(t *testing.T) {
				t.Parallel()
				requireMalformed(t, response)
			})
		}
	}
}

// TestMalformedTrailerIsNoEnd guards against a reply that looks whole though its trailer has an
// invalid field name.
func TestMalformedTrailerIsNoEnd(t *testing.T) {
	t.Parallel()
	for name, line := range malformedFields {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			requireNoReply(t, "HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n"+line+"\r\n")
		})
	}
}

// TestUnusualReplyStaysWhole guards against a sound reply that is refused since its head is checked.
func TestUnusualReplyStaysWhole(t *testing.T) {
	t.Parallel()
	for name, response := range map[string]string{
		"folded":          "HTTP/1.1 200 x\r\nOther: a\r\n b\r\nContent-Length: 2\r\n\r\n{}",
		"names":           "HTTP/1.1 200 x\r\nX!#$%&'*+-.^_`|~: a : b\r\nContent-Length:2\r\n\r\n{}",
		"interim answers": "HTTP/1.1 100 x\r\n\r\nHTTP/1.1 103 x\nLink: </a>\n\nHTTP/1.1 200 x\nContent-Length: 2\n\n{}",
		"lines in body":   "HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\n :",
		"chunks":          "HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n1\r\n}\r\n0\r\nSum: 1\r\n\r\n",
		"failure":         "HTTP/1.1 500 x\r\nContent-Length: 2\r\n\r\n{}",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := serveOne(t, func(c net.Conn) {
				for _, b := range []byte(response) {
					_, _ = c.Write([]byte{b})
				}
			})
			reply, err := dial(t, address).CallService(context.Background(), ServiceRequest{Method: http.MethodPost, Path: "/x", Header: http.Header{}}, 100)
			require.NoError(t, err)
			require.Len(t, reply.Body, 2)
		})
	}
}

// serveEarly accepts connections, and runs a script on each once the head of a request has arrived.
func serveEarly(t *testing.T, script func(c *net.TCPConn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				script(c.(*net.TCPConn))
			}
			_ = c.Close()
		}
	}()
	return ln.Addr().String()
}

// upload calls a service with a body that is still being written while its service reads nothing.
func upload(t *testing.T, address string) (ServiceReply, error) {
	t.Helper()
	const uploadBytes = 8 << 20
	call := ServiceRequest{Method: http.MethodPost, Path: "/x", Header: http.Header{}, Body: make([]byte, uploadBytes)}
	return dial(t, address).CallService(context.Background(), call, 100)
}

// TestResetDuringUploadIsNoReply guards against a part of a reply that looks whole: its service
// replied at once and reset the connection while the request was being written.
func TestResetDuringUploadIsNoReply(t *testing.T) {
	t.Parallel()
	const tries = 20
	address := serveEarly(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 x\r\n\r\na part")
		time.Sleep(10 * time.Millisecond)
		_ = c.SetLinger(0)
	})
	for range tries {
		_, err := upload(t, address)
		require.Error(t, err)
	}
}

// TestEarlyReplyStaysWhole guards against a sound reply that is lost since it came before its request
// was read, and its service closed the connection.
func TestEarlyReplyStaysWhole(t *testing.T) {
	t.Parallel()
	const tries = 20
	for name, finish := range map[string]func(c *net.TCPConn){
		"reads on": func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) },
		"closes":   func(*net.TCPConn) { time.Sleep(10 * time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := serveEarly(t, func(c *net.TCPConn) {
				_, _ = io.WriteString(c, "HTTP/1.1 413 x\r\nContent-Length: 2\r\n\r\n{}")
				_ = c.CloseWrite()
				finish(c)
			})
			for range tries {
				reply, err := upload(t, address)
				require.NoError(t, err)
				require.Equal(t, "{}", string(reply.Body))
			}
		})
	}
}
