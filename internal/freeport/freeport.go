// Package freeport finds free loopback addresses for daemons that run on one
// machine in demonstrations, measurements and tests.
package freeport

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync/atomic"
)

const (
	// firstPort and portRange select ports below the range from which the system
	// assigns ports to outgoing connections. Otherwise such a connection could
	// take an address between the check here and the moment a daemon listens on
	// it.
	firstPort = 10_000
	portRange = 20_000
	// portsPerProcess is the distance between the first ports of processes with
	// consecutive IDs, so that concurrent processes rarely try the same ports.
	portsPerProcess = 997
)

// triedPorts is the number of ports that this process has tried.
var triedPorts atomic.Int64

// Addresses returns n loopback addresses on which nothing listens, or an error
// if portRange ports don't yield as many. It may be called concurrently, and it
// doesn't repeat an address before it has tried all others.
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
	return nil, fmt.Errorf("fewer than %d loopback ports are free from port %d up; stop processes that listen there", n, firstPort)
}

func nextAddress() string {
	offset := (int64(os.Getpid())*portsPerProcess + triedPorts.Add(1)) % portRange
	return net.JoinHostPort("127.0.0.1", strconv.FormatInt(firstPort+offset, 10))
}
