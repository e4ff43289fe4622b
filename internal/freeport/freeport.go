// Package freeport finds loopback addresses for daemons that run on one machine
// in demonstrations, measurements and tests.
package freeport

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync/atomic"
)

const (
	// firstPort and portRange lie below the ports that the system gives to
	// outgoing connections, so that none of these can take an address between
	// the moment it is found free and the moment a daemon listens on it.
	firstPort = 10_000
	portRange = 20_000
	// portsPerProcess spreads processes that run at the same time.
	portsPerProcess = 997
)

// lastPort counts the ports that this process has tried.
var lastPort atomic.Int64

// Addresses returns n loopback addresses that nobody listens on. It never
// returns the same one twice before all others.
func Addresses(n int) ([]string, error) {
	out := make([]string, 0, n)
	for range portRange {
		if len(out) == n {
			return out, nil
		}
		address := nextAddress()
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = ln.Close()
		out = append(out, address)
	}
	return nil, fmt.Errorf("no %d ports are free from %d on; end what listens there", n, firstPort)
}

func nextAddress() string {
	offset := (int64(os.Getpid())*portsPerProcess + lastPort.Add(1)) % portRange
	return net.JoinHostPort("127.0.0.1", strconv.FormatInt(firstPort+offset, 10))
}
