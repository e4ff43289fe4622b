package accept

import (
	"errors"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// lingerTimeout is how long a connection may linger: until then the caller must have taken
	// what was written to it.
	lingerTimeout = 2 * time.Second
	// lingerPollInterval is how often it is looked whether the caller has.
	lingerPollInterval = 5 * time.Millisecond
	// lingerBufferBytes is the size of the buffer for bytes that are discarded.
	lingerBufferBytes = 4 << 10
	// maxLingering is the number of connections above which others are closed at once.
	maxLingering = 1000
)

// LingerOnClose makes connections linger that are closed from now on. It must be called once callers
// are told to use their connections no more, and may be called again.
func (l *Listener) LingerOnClose() { l.lingers.Store(true) }

// lingersOnClose reports whether the kernel may reset the connection when it is closed now: it does
// if bytes are unread or more arrive, and then drops what it has not delivered.
func (c *conn) lingersOnClose() bool {
	return c.listener.lingers.Load() || controlSocket(c, hasUnread)
}

// linger discards what the caller sends until its kernel has everything that was written, and then
// closes the connection.
func (c *conn) linger() {
	defer c.release()
	defer c.listener.lingering.Add(-1)
	buffer := make([]byte, lingerBufferBytes)
	for end := time.Now().Add(lingerTimeout); time.Now().Before(end); {
		_ = c.TCPConn.SetReadDeadline(time.Now().Add(lingerPollInterval))
		_, err := c.TCPConn.Read(buffer)
		isQuiet := errors.Is(err, os.ErrDeadlineExceeded)
		if err != nil && !isQuiet || isQuiet && controlSocket(c, isDelivered) {
			return
		}
	}
}

// isDelivered reports whether the peer's kernel has acknowledged all bytes that were written to a
// socket.
func isDelivered(fd int) bool {
	n, err := unix.IoctlGetInt(fd, unix.TIOCOUTQ)
	return err == nil && n == 0
}
