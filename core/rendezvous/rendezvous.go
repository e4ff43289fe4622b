// Package rendezvous implements rendezvous hashing: it ranks members for a key so that
// keys spread evenly over the members and only the keys of a member that is added or
// removed move.
package rendezvous

import "hash/fnv"

// Weight returns a member's weight for a key; the member with the highest weight ranks
// first.
func Weight(key, member string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(member + "\x00" + key))
	// The last input bytes barely change the high bits of FNV; the multiplication and
	// shifts mix them in.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// mantissaBits is the number of bits of a weight that a float64 holds exactly.
const mantissaBits = 53

// Point returns a hash of a key and a member in [0, 1).
func Point(key, member string) float64 {
	return float64(Weight(key, member)>>(64-mantissaBits)) / (1 << mantissaBits)
}
