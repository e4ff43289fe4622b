package roster

import (
	"encoding/binary"
	"hash/fnv"
	"io"
	"time"
)

// Renewal is the short form of a heartbeat that changes nothing but its sequence
// and arrival time. Control daemons forward most heartbeats in this form.
type Renewal struct {
	ID       string
	Sequence uint64
	// Digest identifies the state of the renewed entry.
	Digest uint32
	// Heard is the arrival time of the heartbeat.
	Heard time.Duration
}

// Renewal returns the short form of the entry's heartbeat.
func (e Entry) Renewal() Renewal {
	return Renewal{ID: e.ID, Sequence: e.Sequence, Digest: e.digest(), Heard: e.Heard}
}

// digest returns a hash of the fields that sameUse compares.
func (e Entry) digest() uint32 {
	h := fnv.New32a()
	for _, text := range []string{e.ID, e.Pool, e.Address, e.DataCentre, e.SoftwareVersion} {
		_, _ = io.WriteString(h, text) // Write of a hash never fails
		_, _ = h.Write([]byte{0})
	}
	fixed := binary.BigEndian.AppendUint64(nil, uint64(e.Born))
	fixed = binary.BigEndian.AppendUint64(fixed, uint64(e.Slots))
	for _, flag := range []bool{e.Leaving, e.Gone} {
		if flag {
			fixed = append(fixed, 1)
		} else {
			fixed = append(fixed, 0)
		}
	}
	if e.EndedBefore > 0 {
		// Daemons of earlier versions don't know the field.
		fixed = binary.BigEndian.AppendUint64(fixed, uint64(e.EndedBefore))
	}
	_, _ = h.Write(fixed)
	return h.Sum32()
}

// Renew applies a renewal. It returns false if the entry is unknown or has
// another digest; the sender must then send the whole entry.
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
