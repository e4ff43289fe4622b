package link

import (
	"context"
	"net"
	"time"
)

const (
	// dialTimeout bounds all attempts at one connection.
	dialTimeout = time.Second
	// hedgeDelay is the interval at which further attempts start in parallel.
	// The kernel retransmits a lost SYN only after 1 s, which would delay the
	// connection to a daemon that has just started by as much.
	hedgeDelay = 250 * time.Millisecond
)

// dialFunc makes one attempt to connect.
type dialFunc func(ctx context.Context) (net.Conn, error)

// dialResult is the result of one attempt.
type dialResult struct {
	conn net.Conn
	err  error
}

// dialHedged starts an attempt at once and another after each delay, and returns
// the result of the attempt that ends first. An error such as a refused
// connection is returned without waiting for the other attempts, since it shows
// that the host is reachable. Surplus connections are closed.
func dialHedged(ctx context.Context, dial dialFunc, delay time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	results := make(chan dialResult)
	attempt := func() {
		conn, err := dial(ctx)
		select {
		case results <- dialResult{conn, err}:
		case <-ctx.Done():
			if conn != nil {
				_ = conn.Close()
			}
		}
	}
	go attempt()
	next := time.NewTicker(delay)
	defer next.Stop()
	for {
		select {
		case r := <-results:
			return r.conn, r.err
		case <-next.C:
			go attempt()
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
