package brokerclient

// HasUpstream reports whether an upstream of the roster serves at an address.
func (s *Service) HasUpstream(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.roster {
		if e.Address == address {
			return true
		}
	}
	return false
}

// OtherUpstreams returns the addresses of up to n upstreams of the roster, other than the given
// one, whose heartbeats arrive.
func (s *Service) OtherUpstreams(address string, n int) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []string{}
	for _, e := range s.roster {
		if len(out) == n {
			break
		}
		if e.Address != address && !e.Silent && !e.Leaving {
			out = append(out, e.Address)
		}
	}
	return out
}
