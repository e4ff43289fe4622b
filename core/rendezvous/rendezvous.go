// Package rendezvous ranks members for keys by hashing, so that keys spread
// evenly over members and few move when a member comes or goes.
package rendezvous

import "hash/fnv"

// Weight is a member's weight for a key; the member with the highest is first.
func Weight(key, member string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(member + "\x00" + key))
	// FNV's high bits change little with the last bytes; a multiplication and
	// shifts spread them.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// mantissa is how many bits of a weight a Point holds.
const mantissa = 53

// Point maps a member and a key to a number in [0, 1).
func Point(key, member string) float64 {
	return float64(Weight(key, member)>>(64-mantissa)) / (1 << mantissa)
}
