package egress

import (
	"errors"
	"fmt"
)

// Result is what is known of an upstream after a connection was tried.
type Result uint32

// Results. They are sent between entries.
const (
	// Unknown means that no entry that was asked can tell.
	Unknown Result = iota
	// Connected means that the upstream was reached.
	Connected
	// UpstreamDown means that an entry which reaches other upstreams did not reach this one.
	UpstreamDown
	// NoOtherEntry means that there was no entry to ask.
	NoOtherEntry
	// UnknownAddress means that the entry that was asked knows no upstream at the address.
	UnknownAddress
)

var errNoOtherEntry = errors.New("no other entry is live")

// DialError says that an upstream could not be reached, neither directly nor through another
// entry.
type DialError struct {
	Address string
	// Result tells whose fault it is, as far as that is known.
	Result Result
	// Direct and Tunnel are the errors of the two ways; nil if one was not tried to the end.
	Direct error
	Tunnel error
}

// Error returns the address and both errors.
func (e *DialError) Error() string {
	if e.Tunnel == nil || errors.Is(e.Tunnel, errNoOtherEntry) {
		return fmt.Sprint(e.Direct)
	}
	return fmt.Sprintf("%s was reached neither directly (%v) nor through other entries (%v)", e.Address, e.Direct, e.Tunnel)
}

// Unwrap returns the error of the direct connection.
func (e *DialError) Unwrap() error { return e.Direct }

// IsUpstreamDown reports whether the upstream is at fault, as far as can be told.
func (e *DialError) IsUpstreamDown() bool {
	return e.Result == UpstreamDown || e.Result == NoOtherEntry
}

// add adds an attempt that failed.
func (e *DialError) add(d dialed) {
	if d.tunnel {
		e.Tunnel, e.Result = d.err, d.result
		return
	}
	e.Direct = d.err
}
