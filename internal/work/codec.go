// Package work holds the wire forms of what entries and the broker tell each
// other.
package work

import (
	"time"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/core/roster"
	"github.com/verbenastep/verbenastep/internal/port"
)

func ms(d time.Duration) uint32 { return uint32(max(0, d).Milliseconds()) }

func duration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// Upstreams gives the roster's entries that may serve, with their regions.
func Upstreams(list []port.RosterEntry, regions map[string]string) []broker.Upstream {
	out := []broker.Upstream{}
	for _, e := range list {
		if e.Gone {
			continue
		}
		out = append(out, broker.Upstream{
			ID: e.ID, Pool: e.Pool, Address: e.Address, DataCentre: e.DataCentre, Region: regions[e.DataCentre], Slots: e.Slots,
			Leaving: e.Leaving, Silent: e.Silent, Cold: max(0, e.Cold-e.Age),
		})
	}
	return out
}

// EncodeOffer gives an offer's wire form at a time.
func EncodeOffer(now time.Duration, o broker.Offer) *rpc.WorkOffer {
	return &rpc.WorkOffer{
		Id: o.ID.Number, Pool: o.Pool, Workspace: o.Workspace, DataCentre: o.DataCentre, Region: o.Region, Rank: uint32(o.Rank),
		PromptTokens: uint32(o.PromptTokens), OutputTokens: uint32(o.OutputTokens), Charge: uint32(o.Charge),
		AimMs: int32((o.Aim - now).Milliseconds()), WaitMs: ms(o.Deadline - now), Session: o.Session, SessionTokens: uint32(o.SessionTokens),
		Fingerprint: o.Fingerprint, Avoid: o.Avoid, Running: o.Running, Reserve: uint32(o.Reserve * thousandths), LateMs: ms(o.Latest - o.Aim),
	}
}

// DecodeOffer reads an offer's wire form.
func DecodeOffer(now time.Duration, entry string, o *rpc.WorkOffer) broker.Offer {
	aim := now + time.Duration(o.AimMs)*time.Millisecond
	return broker.Offer{
		ID: broker.ID{Entry: entry, Number: o.Id}, Pool: o.Pool, Workspace: o.Workspace, DataCentre: o.DataCentre, Region: o.Region,
		Rank: int(o.Rank), PromptTokens: int(o.PromptTokens), OutputTokens: int(o.OutputTokens), Charge: int(o.Charge),
		Aim: aim, Latest: aim + duration(o.LateMs), Deadline: now + duration(o.WaitMs), Session: o.Session, SessionTokens: int(o.SessionTokens),
		Fingerprint: o.Fingerprint, Avoid: o.Avoid, Running: o.Running, Reserve: float64(o.Reserve) / thousandths,
	}
}

// EncodeGrant gives a grant's wire form.
func EncodeGrant(g broker.Grant) *rpc.WorkGrant {
	return &rpc.WorkGrant{Id: g.ID.Number, Upstream: g.Upstream, Address: g.Address, ExpectedMs: ms(g.Expected), Free: uint32(max(0, g.Free)), Queued: uint32(g.Queued)}
}

// DecodeGrant reads a grant's wire form.
func DecodeGrant(entry string, g *rpc.WorkGrant) broker.Grant {
	return broker.Grant{
		ID: broker.ID{Entry: entry, Number: g.Id}, Upstream: g.Upstream, Address: g.Address, Expected: duration(g.ExpectedMs),
		Free: int(g.Free), Queued: int(g.Queued),
	}
}

// EncodeRefusal gives a refusal's wire form.
func EncodeRefusal(r broker.Refusal) *rpc.WorkRefusal {
	return &rpc.WorkRefusal{Id: r.ID.Number, Code: string(r.Code), RetryAfterMs: ms(r.RetryAfter), Why: r.Why}
}

// DecodeRefusal reads a refusal's wire form.
func DecodeRefusal(entry string, r *rpc.WorkRefusal) broker.Refusal {
	return broker.Refusal{ID: broker.ID{Entry: entry, Number: r.Id}, Code: broker.Code(r.Code), RetryAfter: duration(r.RetryAfterMs), Why: r.Why}
}

// EncodeEnd gives the wire form of a grant's end.
func EncodeEnd(e broker.End) *rpc.WorkEnd {
	return &rpc.WorkEnd{Id: e.ID.Number, Outcome: uint32(e.Outcome), FirstMs: ms(e.First), DecodeMs: ms(e.Decode), OutputTokens: uint32(e.OutputTokens)}
}

// DecodeEnd reads the wire form of a grant's end.
func DecodeEnd(entry string, e *rpc.WorkEnd) broker.End {
	return broker.End{
		ID: broker.ID{Entry: entry, Number: e.Id}, Outcome: broker.Outcome(e.Outcome), First: duration(e.FirstMs), Decode: duration(e.DecodeMs),
		OutputTokens: int(e.OutputTokens),
	}
}

const (
	// microseconds and thousandths are the units of what is learned.
	microseconds = 1e6
	thousandths  = 1000
)

// EncodeEntry gives an upstream's wire form for entries.
func EncodeEntry(e port.RosterEntry, l broker.Learned) *rpc.RosterEntry {
	return &rpc.RosterEntry{
		Id: e.ID, Pool: e.Pool, Address: e.Address, DataCentre: e.DataCentre, Slots: uint32(e.Slots), Leaving: e.Leaving, Gone: e.Gone,
		Silent: e.Silent, ColdMs: ms(e.Cold), AgeMs: ms(e.Age),
		TokenUs: uint32(l.Token * microseconds), CallUs: uint32(l.Call * microseconds), Trouble: uint32(l.Fails * thousandths),
	}
}

// DecodeEntry reads an upstream's wire form.
func DecodeEntry(e *rpc.RosterEntry) (port.RosterEntry, broker.Learned) {
	entry := port.RosterEntry{
		Entry: roster.Entry{
			ID: e.Id, Pool: e.Pool, Address: e.Address, DataCentre: e.DataCentre, Slots: int(e.Slots), Leaving: e.Leaving, Gone: e.Gone,
			Cold: duration(e.ColdMs),
		},
		Age: duration(e.AgeMs), Silent: e.Silent,
	}
	return entry, broker.Learned{ID: e.Id, Token: float64(e.TokenUs) / microseconds, Call: float64(e.CallUs) / microseconds, Fails: float64(e.Trouble) / thousandths}
}

// EncodeLevels gives the wire form of what is left of quotas.
func EncodeLevels(levels map[string]float64) []*rpc.QuotaLevel {
	out := []*rpc.QuotaLevel{}
	for name, left := range levels {
		out = append(out, &rpc.QuotaLevel{Workspace: name, Left: int32(left * thousandths)})
	}
	return out
}

// DecodeLevels reads the wire form of what is left of quotas.
func DecodeLevels(list []*rpc.QuotaLevel) map[string]float64 {
	out := map[string]float64{}
	for _, q := range list {
		out[q.Workspace] = float64(q.Left) / thousandths
	}
	return out
}
