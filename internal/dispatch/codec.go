package dispatch

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/core/limits"
	"github.com/verbenastep/verbenastep/core/sched"
)

const (
	// maxQueueLength is the maximum number of requests queued at one dispatcher.
	maxQueueLength = 50_000
	// linkRoundTrip is the assumed round-trip time between two regions.
	linkRoundTrip = 40 * time.Millisecond
	// linkBytesPerSecond is the assumed bandwidth between two regions: 30 Mbit/s.
	linkBytesPerSecond = 30e6 / 8
)

// schedParams derives a dispatcher's parameters from the configuration.
func schedParams(c *config.Config, pool, region string) sched.Params {
	out := sched.Params{
		Region: region, QueueLimit: maxQueueLength, Spill: len(c.Regions) > 1,
		Link: sched.Link{RoundTrip: linkRoundTrip, BytesPerSecond: linkBytesPerSecond},
	}
	if m, ok := c.Model(pool); ok {
		out.BlockTokens = int(m.BlockTokens)
	}
	if s, ok := c.Service(pool); ok {
		out.PlainService = true
		out.Concurrency = int(max(1, s.Concurrency))
	}
	return out
}

// workspaceTerms returns the tier, weight and limits that this region applies
// to a workspace. A workspace that is no longer declared gets weight 1, no
// limits and a tier below all declared ones.
func workspaceTerms(c *config.Config, workspace, region string) (tier, weight int, l limits.Limits) {
	w, ok := c.Workspace(workspace)
	if !ok {
		return len(c.Tiers), 1, limits.Limits{}
	}
	tier, _ = c.TierIndex(w.Tier)
	l = limits.Limits(c.EffectiveLimits(w))
	if w.HomeRegion != region {
		l = l.Remote()
	}
	return tier, max(1, int(w.Weight)), l
}

func (p *pool) decodeOffer(now time.Duration, entry string, o *rpc.Offer) sched.Offer {
	out := sched.Offer{
		ID: sched.ID{Entry: entry, Number: o.Id}, Workspace: o.Workspace, Operation: o.Operation,
		PromptTokens: int(o.PromptTokens), MaxTokens: int(o.MaxTokens), Blocks: o.Blocks,
		Deadline: now + time.Duration(o.WaitMs)*time.Millisecond, Fingerprint: o.Fingerprint, RunningOn: o.Running,
		SpilledFrom: o.Spilled, Admitted: o.Admitted, Final: o.Final,
	}
	out.Tier, out.Weight, out.Limits = workspaceTerms(p.view.Snapshot().Config, o.Workspace, p.region)
	return out
}

func decodeUpstream(u *rpc.UpstreamState) sched.Upstream {
	out := sched.Upstream{
		Name: u.Name, Address: u.Address, Region: u.Region, DataCentre: u.DataCentre,
		Incarnation: u.Incarnation, Slots: int(u.Slots), Version: u.Version,
		Lease: time.Duration(u.LeaseMs) * time.Millisecond,
		Load:  sched.Load{Running: int(u.Running), Age: time.Duration(u.ReportAgeMs) * time.Millisecond},
	}
	for _, e := range u.CacheEvents {
		out.Events = append(out.Events, sched.CacheEvent{Sequence: e.Sequence, Evicted: e.Evicted, Blocks: e.Blocks})
	}
	return out
}

func decodeRelease(entry string, r *rpc.Release) sched.Release {
	return sched.Release{
		ID: sched.ID{Entry: entry, Number: r.Id}, Outcome: sched.Outcome(r.Outcome),
		Prefill: time.Duration(r.PrefillMs) * time.Millisecond, Decode: time.Duration(r.DecodeMs) * time.Millisecond,
		OutputTokens: int(r.OutputTokens), CachedTokens: int(r.CachedTokens),
	}
}

func encodeGrant(g sched.Grant) *rpc.Grant {
	explanation, err := json.Marshal(g.Explanation)
	if err != nil {
		explanation = nil
	}
	return &rpc.Grant{Id: g.ID.Number, Upstream: g.Upstream, Address: g.Address, Incarnation: g.Incarnation, Why: explanation, Version: g.Version}
}

func encodeRefusal(r sched.Refusal) *rpc.Refusal {
	return &rpc.Refusal{Id: r.ID.Number, Code: string(r.Code), RetryAfterMs: uint32(r.RetryAfter.Milliseconds()), Why: r.Reason}
}

// offerName returns the name of an offer in recorded events: "entry/number".
func offerName(id sched.ID) string {
	return id.Entry + "/" + strconv.FormatUint(id.Number, 10)
}
