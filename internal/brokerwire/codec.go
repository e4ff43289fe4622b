// Package brokerwire converts offers, grants, refusals and roster entries to and from
// the messages that entries and the broker exchange.
//
// Times are relative on the wire, in milliseconds, so that the clocks of the two sides
// need not agree.
package brokerwire

import (
	"math"
	"time"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/core/roster"
	"github.com/verbenastep/verbenastep/core/suspects"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// milliseconds returns a duration on the wire; negative ones become zero.
func milliseconds(d time.Duration) uint32 { return uint32(max(0, d).Milliseconds()) }

func duration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// goneVersionAge is how long the software version of an upstream that is gone matters to the
// streams that it began.
const goneVersionAge = time.Minute

// Upstreams returns the upstreams of the roster, with their regions by data centre, and those
// that went lately, as Gone.
func Upstreams(list []port.RosterEntry, regions map[string]string) []broker.Upstream {
	out := []broker.Upstream{}
	for _, e := range list {
		if e.Gone && e.Age > goneVersionAge || e.IsUnknown() {
			continue
		}
		out = append(out, broker.Upstream{
			ID: e.ID, Pool: e.Pool, Address: e.Address, DataCentre: e.DataCentre, Region: regions[e.DataCentre], Slots: e.Slots,
			Born: e.Born, Leaving: e.Leaving, Silent: e.Silent, Gone: e.Gone, HeardAgo: e.Age, WarmUpTime: max(0, e.Cold-e.Age), SoftwareVersion: e.SoftwareVersion,
		})
	}
	return out
}

// EncodeOffer encodes an offer relative to the given time.
func EncodeOffer(now time.Duration, o broker.Offer) *rpc.WorkOffer {
	return &rpc.WorkOffer{
		Id: o.ID.Number, Pool: o.Pool, Workspace: o.Workspace, DataCentre: o.DataCentre, Region: o.Region, Rank: uint32(o.Rank),
		PromptTokens: uint32(o.PromptTokens), OutputTokens: uint32(o.OutputTokens), Charge: uint32(o.QuotaCharge),
		AimMs: int32((o.LatencyTarget - now).Milliseconds()), WaitMs: milliseconds(o.Deadline - now), Session: o.Session, SessionTokens: uint32(o.SessionTokens),
		Fingerprint: o.Fingerprint, Avoid: o.Avoid, Running: o.Running, Reserve: uint32(o.QuotaReserve * permille), LateMs: milliseconds(o.LatestUseful - o.LatencyTarget),
		Stream: o.Stream, Resumes: o.Resumes, ResumesContent: o.ResumesContent, SoftwareVersion: o.SoftwareVersion, VersionBound: o.VersionBound, SharedParts: o.SharedParts,
		Route: o.Route, Counted: o.Counted, MaxOutputTokens: uint32(o.MaxOutputTokens),
		AbandonMs: milliseconds(o.AbandonAt - now),
	}
}

// DecodeOffer decodes an entry's offer that was received at the given time.
func DecodeOffer(now time.Duration, entry string, o *rpc.WorkOffer) broker.Offer {
	target := now + time.Duration(o.AimMs)*time.Millisecond
	abandonAt := time.Duration(0)
	if o.AbandonMs > 0 {
		abandonAt = now + duration(o.AbandonMs)
	}
	return broker.Offer{
		ID: broker.ID{Entry: entry, Number: o.Id}, Pool: o.Pool, Workspace: o.Workspace, DataCentre: o.DataCentre, Region: o.Region,
		Rank: int(o.Rank), PromptTokens: int(o.PromptTokens), OutputTokens: int(o.OutputTokens), QuotaCharge: int(o.Charge),
		LatencyTarget: target, LatestUseful: target + duration(o.LateMs), Deadline: now + duration(o.WaitMs), Session: o.Session, SessionTokens: int(o.SessionTokens),
		Fingerprint: o.Fingerprint, Avoid: o.Avoid, Running: o.Running, QuotaReserve: float64(o.Reserve) / permille,
		Stream: o.Stream, Resumes: o.Resumes, ResumesContent: o.ResumesContent, SoftwareVersion: o.SoftwareVersion, VersionBound: o.VersionBound, SharedParts: o.SharedParts,
		Route: o.Route, Counted: o.Counted, MaxOutputTokens: int(o.MaxOutputTokens),
		AbandonAt: abandonAt,
	}
}

// EncodeStreams encodes streams that may be resumed, relative to the given time.
func EncodeStreams(now time.Duration, list []broker.StreamOrigin) []*rpc.StreamOrigin {
	out := make([]*rpc.StreamOrigin, 0, len(list))
	for _, o := range list {
		out = append(out, &rpc.StreamOrigin{Stream: o.Stream, Content: o.Content, SoftwareVersion: o.SoftwareVersion, LeftMs: milliseconds(o.Until - now)})
	}
	return out
}

// DecodeStreams decodes streams that were received at the given time.
func DecodeStreams(now time.Duration, list []*rpc.StreamOrigin) []broker.StreamOrigin {
	out := make([]broker.StreamOrigin, 0, len(list))
	for _, o := range list {
		out = append(out, broker.StreamOrigin{Stream: o.Stream, Content: o.Content, SoftwareVersion: o.SoftwareVersion, Until: now + duration(o.LeftMs)})
	}
	return out
}

// EncodeSuspects encodes suspected and cleared contents, relative to the given time.
func EncodeSuspects(now time.Duration, list []suspects.Suspect) []*rpc.ContentSuspect {
	out := make([]*rpc.ContentSuspect, 0, len(list))
	for _, x := range list {
		m := &rpc.ContentSuspect{Content: x.Content, Crashes: uint32(x.Crashes), Together: x.Together, RefusedMs: milliseconds(x.RefusedUntil - now)}
		for _, r := range x.Runs {
			m.Runs = append(m.Runs, &rpc.CrashedRun{Attempt: r.Attempt, GrantedUs: microseconds(now - r.Granted), LostUs: microseconds(now - r.Lost)})
		}
		if x.IsCleared {
			m.ClearedUs = max(1, microseconds(now-x.ClearedAt))
		}
		out = append(out, m)
	}
	return out
}

// DecodeSuspects decodes suspected and cleared contents that were received at the given time.
func DecodeSuspects(now time.Duration, list []*rpc.ContentSuspect) []suspects.Suspect {
	out := make([]suspects.Suspect, 0, len(list))
	for _, x := range list {
		s := suspects.Suspect{Content: x.Content, Crashes: int(x.Crashes), Together: x.Together, RefusedUntil: now + duration(x.RefusedMs)}
		for _, r := range x.Runs {
			s.Runs = append(s.Runs, suspects.Run{Attempt: r.Attempt, Granted: now - ago(r.GrantedUs), Lost: now - ago(r.LostUs)})
		}
		if x.ClearedUs > 0 {
			s.IsCleared, s.ClearedAt = true, now-ago(x.ClearedUs)
		}
		out = append(out, s)
	}
	return out
}

// microseconds encodes a time that has passed, and ago decodes it.
func microseconds(d time.Duration) uint64 { return uint64(max(0, d.Microseconds())) }

// maxAgo bounds a time that has passed, as no daemon remembers more.
const maxAgo = 30 * 24 * time.Hour

func ago(us uint64) time.Duration {
	return time.Duration(min(us, uint64(maxAgo.Microseconds()))) * time.Microsecond
}

// EncodeLimit encodes what an upstream said of the requests that it takes, relative to the
// given time.
func EncodeLimit(now time.Duration, l broker.RequestLimit) *rpc.UpstreamLimit {
	return &rpc.UpstreamLimit{Upstream: l.Upstream, Born: l.Born, Limited: l.Limited, PerSecond: l.PerSecond, AgeMs: milliseconds(now - l.AskedAt), Brittle: l.Brittle, MaxRejections: uint32(l.MaxRejections)}
}

// DecodeLimit decodes what an upstream said, received at the given time; nil says nothing.
func DecodeLimit(now time.Duration, l *rpc.UpstreamLimit) broker.RequestLimit {
	return broker.RequestLimit{
		Upstream: l.GetUpstream(), Born: l.GetBorn(), Limited: l.GetLimited(), PerSecond: l.GetPerSecond(), AskedAt: now - duration(l.GetAgeMs()),
		Brittle: l.GetBrittle(), MaxRejections: int(l.GetMaxRejections()),
	}
}

// EncodeLimits encodes what upstreams said, relative to the given time.
func EncodeLimits(now time.Duration, list []broker.RequestLimit) []*rpc.UpstreamLimit {
	out := make([]*rpc.UpstreamLimit, 0, len(list))
	for _, l := range list {
		out = append(out, EncodeLimit(now, l))
	}
	return out
}

// EncodeGrant encodes a grant.
func EncodeGrant(g broker.Grant) *rpc.WorkGrant {
	return &rpc.WorkGrant{
		Id: g.ID.Number, Upstream: g.Upstream, Address: g.Address, Born: g.Born, ExpectedMs: milliseconds(g.ExpectedTimeToFirstEvent),
		Free: uint32(max(0, g.FreeSlots)), Queued: uint32(g.Queued), SoftwareVersion: g.SoftwareVersion, VersionReason: g.VersionReason,
	}
}

// DecodeGrant decodes a grant for the given entry.
func DecodeGrant(entry string, g *rpc.WorkGrant) broker.Grant {
	return broker.Grant{
		ID: broker.ID{Entry: entry, Number: g.Id}, Upstream: g.Upstream, Address: g.Address, Born: g.Born, ExpectedTimeToFirstEvent: duration(g.ExpectedMs),
		FreeSlots: int(g.Free), Queued: int(g.Queued), SoftwareVersion: g.SoftwareVersion, VersionReason: g.VersionReason,
	}
}

// EncodeRefusal encodes a refusal.
func EncodeRefusal(r broker.Refusal) *rpc.WorkRefusal {
	return &rpc.WorkRefusal{Id: r.ID.Number, Code: string(r.Code), RetryAfterMs: milliseconds(r.RetryAfter), Why: r.Reason}
}

// DecodeRefusal decodes a refusal for the given entry.
func DecodeRefusal(entry string, r *rpc.WorkRefusal) broker.Refusal {
	return broker.Refusal{ID: broker.ID{Entry: entry, Number: r.Id}, Code: broker.Code(r.Code), RetryAfter: duration(r.RetryAfterMs), Reason: r.Why}
}

// EncodeShedding encodes ranks that are shed.
func EncodeShedding(list []broker.Shedding) []*rpc.SheddingRank {
	out := []*rpc.SheddingRank{}
	for _, x := range list {
		out = append(out, &rpc.SheddingRank{Pool: x.Pool, Rank: uint32(x.Rank), WaitMs: milliseconds(x.Wait)})
	}
	return out
}

// DecodeShedding decodes ranks that are shed.
func DecodeShedding(list []*rpc.SheddingRank) []broker.Shedding {
	out := []broker.Shedding{}
	for _, x := range list {
		out = append(out, broker.Shedding{Pool: x.Pool, Rank: int(x.Rank), Wait: duration(x.WaitMs)})
	}
	return out
}

// EncodeCommitments encodes commitments relative to the given time.
func EncodeCommitments(now time.Duration, list []broker.Commitment) []*rpc.ReturnCommitment {
	out := make([]*rpc.ReturnCommitment, 0, len(list))
	for _, x := range list {
		out = append(out, &rpc.ReturnCommitment{Fingerprint: x.Fingerprint, DueMs: milliseconds(x.Due - now)})
	}
	return out
}

// DecodeCommitments decodes commitments that were received at the given time.
func DecodeCommitments(now time.Duration, list []*rpc.ReturnCommitment) []broker.Commitment {
	out := make([]broker.Commitment, 0, len(list))
	for _, x := range list {
		out = append(out, broker.Commitment{Fingerprint: x.Fingerprint, Due: now + duration(x.DueMs)})
	}
	return out
}

// EncodeEnd encodes the end of a request.
func EncodeEnd(e broker.End) *rpc.WorkEnd {
	return &rpc.WorkEnd{
		Id: e.ID.Number, Outcome: uint32(e.Outcome), FirstMs: milliseconds(e.TimeToFirstEvent), DecodeMs: milliseconds(e.DecodeTime), OutputTokens: uint32(e.OutputTokens),
		Leaving: e.Leaving, RetryAfterMs: milliseconds(e.RetryAfter), Born: e.Born, AnswerBegun: e.AnswerBegun,
	}
}

// DecodeEnd decodes the end of a request of the given entry.
func DecodeEnd(entry string, e *rpc.WorkEnd) broker.End {
	return broker.End{
		ID: broker.ID{Entry: entry, Number: e.Id}, Outcome: broker.Outcome(e.Outcome), TimeToFirstEvent: duration(e.FirstMs), DecodeTime: duration(e.DecodeMs),
		OutputTokens: int(e.OutputTokens), Leaving: e.Leaving, RetryAfter: duration(e.RetryAfterMs), Born: e.Born, AnswerBegun: e.AnswerBegun,
	}
}

const (
	// microsecondsPerSecond and permille are the units of learned times and of ratios
	// on the wire.
	microsecondsPerSecond = 1e6
	permille              = 1000
)

// Pace returns the settings of slow start for a broker; ok is false if it is off.
func Pace(r *settings.Routing) (p broker.Pace, ok bool) {
	if r == nil || r.Pace == nil {
		return broker.Pace{}, false
	}
	return broker.Pace{InitialSlots: r.Pace.InitialSlots, TimeFactor: r.Pace.TimeFactor}, true
}

// EncodeUpstream encodes an upstream and what was learned about it. Times of a process that another
// one has replaced are left out.
func EncodeUpstream(e port.RosterEntry, l broker.Estimates) *rpc.RosterEntry {
	if l.Born > 0 && l.Born < e.Born {
		l.TokenTime, l.CallTime = 0, 0
	}
	return &rpc.RosterEntry{
		Id: e.ID, Pool: e.Pool, Address: e.Address, DataCentre: e.DataCentre, Slots: uint32(e.Slots), Born: e.Born, Leaving: e.Leaving, Gone: e.Gone,
		Silent: e.Silent, ColdMs: milliseconds(e.Cold), AgeMs: milliseconds(e.Age),
		TokenUs: uint32(l.TokenTime * microsecondsPerSecond), CallUs: uint32(l.CallTime * microsecondsPerSecond), Trouble: uint32(l.FailureRate * permille),
		SoftwareVersion: e.SoftwareVersion, PaceSlots: uint32(max(0, l.Window)),
	}
}

// DecodeUpstream decodes an upstream and what was learned about it.
func DecodeUpstream(e *rpc.RosterEntry) (port.RosterEntry, broker.Estimates) {
	entry := port.RosterEntry{
		Entry: roster.Entry{
			ID: e.Id, Pool: e.Pool, Address: e.Address, DataCentre: e.DataCentre, Slots: int(e.Slots), Born: e.Born, Leaving: e.Leaving, Gone: e.Gone,
			Cold: duration(e.ColdMs), SoftwareVersion: e.SoftwareVersion,
		},
		Age: duration(e.AgeMs), Silent: e.Silent,
	}
	return entry, broker.Estimates{ID: e.Id, Born: e.Born, TokenTime: float64(e.TokenUs) / microsecondsPerSecond, CallTime: float64(e.CallUs) / microsecondsPerSecond, FailureRate: float64(e.Trouble) / permille, Window: int(e.PaceSlots)}
}

// EncodeQuotaLevels encodes the fractions of quotas that are left, by workspace.
func EncodeQuotaLevels(levels map[string]float64) []*rpc.QuotaLevel {
	out := []*rpc.QuotaLevel{}
	for name, left := range levels {
		out = append(out, &rpc.QuotaLevel{Workspace: name, Left: int32(left * permille)})
	}
	return out
}

// EncodeQuotaReport encodes what an entry reports to a new broker: the fractions of quotas
// that the last broker left and the tokens used since, both by workspace.
func EncodeQuotaReport(levels map[string]float64, used map[string]int64) []*rpc.QuotaLevel {
	out := EncodeQuotaLevels(levels)
	listed := map[string]*rpc.QuotaLevel{}
	for _, q := range out {
		listed[q.Workspace] = q
	}
	for name, tokens := range used {
		q := listed[name]
		if q == nil {
			q = &rpc.QuotaLevel{Workspace: name, NoLevel: true}
			out = append(out, q)
		}
		q.Used = uint64(tokens)
	}
	return out
}

// DecodeQuotaUse decodes the tokens used without a broker, by workspace.
func DecodeQuotaUse(list []*rpc.QuotaLevel) map[string]int64 {
	out := map[string]int64{}
	for _, q := range list {
		if q.Used > 0 {
			out[q.Workspace] = int64(min(q.Used, math.MaxInt64))
		}
	}
	return out
}

// DecodeQuotaLevels decodes the fractions of quotas that are left, by workspace.
func DecodeQuotaLevels(list []*rpc.QuotaLevel) map[string]float64 {
	out := map[string]float64{}
	for _, q := range list {
		if !q.NoLevel {
			out[q.Workspace] = float64(q.Left) / permille
		}
	}
	return out
}
