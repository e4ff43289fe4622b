package roster

import (
	"encoding/binary"
	"hash/fnv"
	"io"
	"time"
)

// Renewal says that a process lives on and that nothing else has changed. It is
// what control daemons pass on of most heartbeats.
type Renewal struct {
	ID       string
	Sequence uint64
	// Digest is that of the entry which is renewed.
	Digest uint32
	// Heard is when the heartbeat arrived.
	Heard time.Duration
}

// Renewal returns the entry's renewal.
func (e Entry) Renewal() Renewal {
	return Renewal{ID: e.ID, Sequence: e.Sequence, Digest: e.digest(), Heard: e.Heard}
}

// digest sums up what makes a heartbeat a change: the fields that sameUse
// compares.
func (e Entry) digest() uint32 {
	h := fnv.New32a()
	for _, text := range []string{e.ID, e.Pool, e.Address, e.DataCentre} {
		_, _ = io.WriteString(h, text) // a hash doesn't fail
		_, _ = h.Write([]byte{0})
	}
	tail := binary.BigEndian.AppendUint64(nil, uint64(e.Born))
	tail = binary.BigEndian.AppendUint64(tail, uint64(e.Slots))
	for _, flag := range []bool{e.Leaving, e.Gone} {
		if flag {
			tail = append(tail, 1)
		} else {
			tail = append(tail, 0)
		}
	}
	_, _ = h.Write(tail)
	return h.Sum32()
}

// Renew takes in a renewal. It returns false where another entry is held, or
// none: then the whole entry is needed.
func (r *Roster) Renew(n Renewal) bool {
	held, ok := r.entries[n.ID]
	if !ok || held.digest() != n.Digest {
		return false
	}
	if n.Sequence <= held.Sequence {
		return true
	}
	held.Cold = max(0, held.Cold-max(0, n.Heard-held.Heard))
	held.Sequence, held.Heard = n.Sequence, n.Heard
	r.entries[n.ID] = held
	return true
}
