// Package e2e tests complete sites on loopback, with real sockets and files,
// while faults are injected. It covers the cells of the fault matrix
// (internal/matrix) that matter most on a running system.
package e2e
