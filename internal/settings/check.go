package settings

import (
	"fmt"
	"net/netip"
	"slices"
)

// checker collects contradictions between the values of a file. The form of each
// value is checked by the schema.
type checker struct {
	faults []Fault
}

func (k *checker) add(path, message, remedy string) {
	k.faults = append(k.faults, Fault{Path: path, Message: message, Remedy: remedy})
}

func (s *Settings) check() []Fault {
	k := &checker{}
	k.addresses(s)
	k.replicas(s)
	k.role(s)
	k.tls(s.TLS)
	k.times(s.Routing)
	for i, seed := range s.Seeds {
		k.address(fmt.Sprintf("$.seeds[%d]", i), seed)
	}
	return k.faults
}

// times checks that no time is stated in two units.
func (k *checker) times(r *Routing) {
	if r == nil {
		return
	}
	for _, t := range []struct {
		path        string
		ms, seconds float64
	}{
		{"$.routing.grace_s", r.GraceMS, r.GraceSeconds},
		{"$.routing.retry.window_s", r.Retry.WindowMS, r.Retry.WindowSeconds},
	} {
		if t.ms != 0 && t.seconds != 0 {
			k.add(t.path, "the time is given in milliseconds too", "give it in one unit")
		}
	}
}

func (k *checker) address(path, value string) {
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		k.add(path, fmt.Sprintf("%q is not an address", value), "write IP:port, such as 10.0.0.1:7201")
		return
	}
	if a.Port() == 0 {
		k.add(path, "the port is 0", "write a port from 1 to 65535")
	}
}

// addresses checks each address and that no two listeners conflict; see conflict.
func (k *checker) addresses(s *Settings) {
	all := []struct{ path, value string }{
		{"$.addresses.callers", s.Addresses.Callers},
		{"$.addresses.peers", s.Addresses.Peers},
		{"$.addresses.upstreams", s.Addresses.Upstreams},
		{"$.addresses.admin", s.Addresses.Admin},
	}
	if s.Routing != nil {
		all = append(all, []struct{ path, value string }{
			{"$.routing.ready", s.Routing.Ready},
			{"$.routing.control", s.Routing.Control},
			{"$.routing.directory", s.Routing.Directory},
		}...)
		all = slices.DeleteFunc(all, func(a struct{ path, value string }) bool { return a.value == "" })
	}
	for i, a := range all {
		k.address(a.path, a.value)
		for _, b := range all[:i] {
			if conflict(a.value, b.value) {
				k.add(a.path, fmt.Sprintf("%s clashes with %s", a.value, b.path), "give each address a port of its own")
			}
		}
	}
	if a, err := netip.ParseAddrPort(s.Addresses.Peers); err == nil && a.Addr().IsUnspecified() {
		k.add("$.addresses.peers", "other daemons can't reach an unspecified IP", "write the IP by which they reach this one")
	}
	if s.Routing != nil && s.Addresses.Callers == "" && s.Routing.Control == "" {
		k.add("$.routing", "the daemon serves neither callers nor control", "write $.addresses.callers, or $.routing.control")
	}
	if a, err := netip.ParseAddrPort(s.Addresses.Callers); err == nil && a.Addr().IsUnspecified() {
		k.add("$.addresses.callers", "the directory can't name an unspecified IP", "write the IP by which callers reach this daemon")
	}
}

// conflict reports whether two listeners have the same port and the same IP, or
// either listens on all IPs.
func conflict(a, b string) bool {
	x, err := netip.ParseAddrPort(a)
	if err != nil {
		return false
	}
	y, err := netip.ParseAddrPort(b)
	if err != nil || x.Port() != y.Port() {
		return false
	}
	return x.Addr() == y.Addr() || x.Addr().IsUnspecified() || y.Addr().IsUnspecified()
}

func (k *checker) replicas(s *Settings) {
	if s.Routing == nil && len(s.Replicas) == 0 {
		k.add("$.replicas", "the list is empty or missing", "list the daemons that keep the durable state")
	}
	if s.Routing != nil && len(s.Replicas)+len(s.Seeds) == 0 {
		k.add("$.seeds", "the list is empty or missing", "list peers' addresses of control daemons")
	}
	// seen maps names and addresses to the path of their first occurrence.
	seen := map[string]string{}
	for i, r := range s.Replicas {
		path := fmt.Sprintf("$.replicas[%d]", i)
		k.address(path+".address", r.Address)
		if other, ok := seen[r.Name]; ok && r.Name != "" {
			k.add(path+".name", fmt.Sprintf("%q is listed in %s too", r.Name, other), "list each replica once")
		}
		if other, ok := seen[r.Address]; ok && r.Address != "" {
			k.add(path+".address", fmt.Sprintf("%s is listed in %s too", r.Address, other), "list each replica once")
		}
		seen[r.Name] = path
		seen[r.Address] = path
	}
}

// role checks that the role Replica, the list of replicas and the data folder
// agree.
func (k *checker) role(s *Settings) {
	replica := s.HasRole(Replica)
	if replica && s.DataFolder == "" {
		k.add("$.data_folder", "a replica needs a data folder", "name a folder on its disk")
	}
	if s.Routing != nil {
		return
	}
	i := slices.IndexFunc(s.Replicas, func(p Peer) bool { return p.Name == s.Name })
	if replica && i < 0 && len(s.Replicas) > 0 {
		k.add("$.roles", fmt.Sprintf("%q has the role replica but is not listed in $.replicas", s.Name), "list it there, or remove the role")
	}
	if !replica && i >= 0 && s.Name != "" {
		k.add(fmt.Sprintf("$.replicas[%d]", i), fmt.Sprintf("%q is listed but has not the role replica", s.Name), `add "replica" to $.roles, or remove it from the list`)
	}
	if i >= 0 && s.Replicas[i].Address != s.Addresses.Peers {
		k.add(fmt.Sprintf("$.replicas[%d].address", i), fmt.Sprintf("%s is not this daemon's peers' address %s", s.Replicas[i].Address, s.Addresses.Peers), "write the same address in both places")
	}
}

// tls checks that either all TLS files are named or none.
func (k *checker) tls(t TLS) {
	files := []struct{ path, value string }{
		{"$.tls.cert_file", t.CertFile}, {"$.tls.key_file", t.KeyFile}, {"$.tls.ca_file", t.CAFile},
	}
	given := 0
	for _, f := range files {
		if f.value != "" {
			given++
		}
	}
	if given == 0 || given == len(files) {
		return
	}
	for _, f := range files {
		if f.value == "" {
			k.add(f.path, "the file is missing while others are named", "name all three TLS files, or none")
		}
	}
}
