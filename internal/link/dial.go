package link

import (
	"context"
	"net"
	"time"
)

const (
	// dialTimeout bounds making a connection.
	dialTimeout = time.Second
	// dialAgain is the pause after which another attempt is made beside those
	// under way. The system repeats a lost packet of an attempt only after a
	// second, which a daemon that has just come up would be waited for.
	dialAgain = 250 * time.Millisecond
)

// dialer makes one attempt at a connection.
type dialer func(ctx context.Context) (net.Conn, error)

// attempt is how one of several ended.
type attempt struct {
	conn net.Conn
	err  error
}

// dialRepeatedly returns the first connection that any of several attempts
// brings. An attempt that is refused ends all: the daemon's machine is up.
func dialRepeatedly(ctx context.Context, dial dialer, again time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	ended := make(chan attempt)
	begin := func() {
		conn, err := dial(ctx)
		select {
		case ended <- attempt{conn, err}:
		case <-ctx.Done():
			if conn != nil {
				_ = conn.Close()
			}
		}
	}
	go begin()
	next := time.NewTicker(again)
	defer next.Stop()
	for {
		select {
		case a := <-ended:
			return a.conn, a.err
		case <-next.C:
			go begin()
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
