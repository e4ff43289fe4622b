package roster

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// Bounds of what an entry may state. Messages between daemons carry numbers of 32 bits, and texts
// in UTF-8 only: one entry beyond them would keep all others of a message from being read.
const (
	maxIDBytes   = 128
	maxTextBytes = 256
	// maxSlots is far above what any upstream serves at a time.
	maxSlots = 1 << 16
	// maxNumber is the largest integer that every JSON encoder writes exactly. Sequence numbers
	// and start times beyond it outdate all that the upstream says of itself.
	maxNumber = 1<<53 - 1
	maxCold   = 24 * time.Hour
)

// Error reports an entry that names no upstream to use.
type Error struct {
	Field  string
	Reason string
}

// Error returns the field, the reason and the remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("%s %s; correct what the upstream announces", e.Field, e.Reason)
}

// Validate returns an *Error if the entry names no upstream that requests can be sent to, or cannot
// be sent to other daemons as it is.
func (e Entry) Validate() error {
	if err := ValidateID(e.ID); err != nil {
		return err
	}
	for _, field := range []struct{ name, text string }{{"pool", e.Pool}, {"data centre", e.DataCentre}, {"software version", e.SoftwareVersion}} {
		if reason := oddText(field.text, maxTextBytes); reason != "" {
			return &Error{Field: field.name, Reason: reason}
		}
	}
	switch {
	case e.Born < 0 || e.Born > maxNumber:
		return &Error{Field: "start time", Reason: "is out of range"}
	case e.EndedBefore < 0 || e.EndedBefore > maxNumber:
		return &Error{Field: "end of earlier processes", Reason: "is out of range"}
	case e.Sequence > maxNumber:
		return &Error{Field: "sequence number", Reason: "is out of range"}
	case e.Cold < 0 || e.Cold > maxCold:
		return &Error{Field: "warm-up time", Reason: "is out of range"}
	case e.Gone && e.Address == "" && e.Slots == 0:
		// The end of a process needs no more than its id.
		return nil
	case e.Slots < 1 || e.Slots > maxSlots:
		return &Error{Field: "number of slots", Reason: "is out of range"}
	}
	return validateAddress(e.Address)
}

// ValidateID returns an *Error if no upstream can have the id. Requests name it in a header field.
func ValidateID(id string) error {
	reason := oddText(id, maxIDBytes)
	if id == "" {
		reason = "is missing"
	}
	if reason == "" && strings.ContainsFunc(id, func(r rune) bool { return r <= ' ' || r > '~' }) {
		reason = "has characters other than visible ASCII"
	}
	if reason != "" {
		return &Error{Field: "id", Reason: reason}
	}
	return nil
}

// oddText returns what is wrong with a text, or an empty string.
func oddText(text string, maxBytes int) string {
	switch {
	case len(text) > maxBytes:
		return "is too long"
	case !utf8.ValidString(text):
		return "is not UTF-8"
	case strings.ContainsFunc(text, unicode.IsControl):
		return "has control characters"
	}
	return ""
}

func validateAddress(address string) error {
	a, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		return &Error{Field: "address", Reason: "is no IP address with a port"}
	case a.Port() == 0:
		return &Error{Field: "address", Reason: "has no port"}
	case a.Addr().IsUnspecified() || a.Addr().IsMulticast():
		return &Error{Field: "address", Reason: "is not that of a machine"}
	}
	return nil
}
