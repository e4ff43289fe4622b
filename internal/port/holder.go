package port

import (
	"fmt"
	"strconv"
	"strings"
)

// Holder identifies one incarnation of a daemon in a lease, and the address at
// which its peers reach it.
type Holder struct {
	Name        string
	Incarnation uint64
	Address     string
}

// String returns the form stored in leases: "name#incarnation@address".
func (h Holder) String() string {
	return fmt.Sprintf("%s#%d@%s", h.Name, h.Incarnation, h.Address)
}

// ParseHolder parses the form stored in leases. It returns false if s has another
// form, such as the empty holder of a free lease.
func ParseHolder(s string) (Holder, bool) {
	daemon, address, ok := strings.Cut(s, "@")
	name, number, ok2 := strings.Cut(daemon, "#")
	incarnation, err := strconv.ParseUint(number, 10, 64)
	return Holder{Name: name, Incarnation: incarnation, Address: address}, ok && ok2 && err == nil
}
