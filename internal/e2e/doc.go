// Package e2e holds tests that run whole sites on loopback, with real sockets
// and files, and bring faults about: the cells of the fault matrix that matter
// most, as they show on the running system.
package e2e
