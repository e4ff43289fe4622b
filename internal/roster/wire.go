package roster

import (
	"time"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/roster"
)

// encode returns an entry as a message. Times travel as ages, since daemons don't
// share a clock.
func encode(e roster.Entry, now time.Duration) *rpc.RosterEntry {
	return &rpc.RosterEntry{
		Id: e.ID, Pool: e.Pool, Address: e.Address, DataCentre: e.DataCentre, Slots: uint32(e.Slots), Born: e.Born, Sequence: e.Sequence,
		Leaving: e.Leaving, Gone: e.Gone, ColdMs: uint32(e.Cold.Milliseconds()), AgeMs: age(e.Heard, now), SoftwareVersion: e.SoftwareVersion,
		EndedBefore: e.EndedBefore,
	}
}

// decode returns the entry of a message that arrives now.
func decode(e *rpc.RosterEntry, now time.Duration) roster.Entry {
	return roster.Entry{
		ID: e.Id, Pool: e.Pool, Address: e.Address, DataCentre: e.DataCentre, Slots: int(e.Slots), Born: e.Born, Sequence: e.Sequence,
		Leaving: e.Leaving, Gone: e.Gone, Cold: time.Duration(e.ColdMs) * time.Millisecond, Heard: heard(e.AgeMs, now),
		SoftwareVersion: e.SoftwareVersion, EndedBefore: e.EndedBefore,
	}
}

// encodeNews returns a message with changes as whole entries and renewals in
// short form.
func encodeNews(changes, renewals map[string]roster.Entry, now time.Duration) *rpc.RosterNews {
	news := &rpc.RosterNews{}
	for _, e := range changes {
		news.Entries = append(news.Entries, encode(e, now))
	}
	for _, e := range renewals {
		n := e.Renewal()
		news.Renewals = append(news.Renewals, &rpc.Renewal{Id: n.ID, Sequence: n.Sequence, Digest: n.Digest, AgeMs: age(n.Heard, now)})
	}
	return news
}

func decodeRenewal(n *rpc.Renewal, now time.Duration) roster.Renewal {
	return roster.Renewal{ID: n.Id, Sequence: n.Sequence, Digest: n.Digest, Heard: heard(n.AgeMs, now)}
}

// age returns the time since a heartbeat in milliseconds.
func age(heard, now time.Duration) uint32 { return uint32(max(0, now-heard).Milliseconds()) }

// heard returns the arrival time of a heartbeat with an age in milliseconds.
func heard(age uint32, now time.Duration) time.Duration {
	return now - time.Duration(age)*time.Millisecond
}
