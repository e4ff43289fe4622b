package port

import (
	"fmt"
	"strconv"
	"strings"
)

// Holder identifies one run of a daemon in a lease, with its peers' address.
type Holder struct {
	Name        string
	Incarnation uint64
	Address     string
}

// String gives the form that leases hold.
func (h Holder) String() string {
	return fmt.Sprintf("%s#%d@%s", h.Name, h.Incarnation, h.Address)
}

// ParseHolder reads the form that leases hold.
func ParseHolder(s string) (Holder, bool) {
	who, address, ok := strings.Cut(s, "@")
	name, number, ok2 := strings.Cut(who, "#")
	inc, err := strconv.ParseUint(number, 10, 64)
	return Holder{Name: name, Incarnation: inc, Address: address}, ok && ok2 && err == nil
}
