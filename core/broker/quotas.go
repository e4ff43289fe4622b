package broker

import (
	"time"

	"github.com/verbenastep/verbenastep/core/limits"
	"github.com/verbenastep/verbenastep/core/routes"
)

// burstSlackFraction is the fraction of the quota slack that is added to the burst,
// so that requests of uneven size are not refused while their average rate is
// within the quota. The rest of the slack covers the change of brokers: it is in a quota
// whose use nobody remembers.
const burstSlackFraction = 0.5

// localQuotaFactor is how many times its even share of a quota an entry may grant
// without a broker: a workspace's requests are rarely spread evenly over the
// entries, and the next broker compensates for what was used.
const localQuotaFactor = 1.5

// localQuotaFactorDuration is how long an entry without a broker uses localQuotaFactor.
// Over a longer outage the surplus would exceed what quotas tolerate.
const localQuotaFactorDuration = 1500 * time.Millisecond

// charge takes the request's tokens from its workspace's bucket. If the bucket
// holds too few, it returns how long it takes to refill and false.
func (b *Broker) charge(now time.Duration, req *request) (time.Duration, bool) {
	workspace := b.workspace(req.Workspace)
	if req.QuotaCharge == 0 || workspace == nil {
		return 0, true
	}
	rate, burst := b.quota(now, workspace)
	wait, ok := b.bucket(req.Workspace).Take(now, rate, burst, req.QuotaReserve*burst, float64(req.QuotaCharge))
	if ok {
		req.chargedTokens = req.QuotaCharge
	}
	return wait, ok
}

// quota returns this broker's part of a workspace's quota: the rate in tokens per
// second and the burst in tokens.
func (b *Broker) quota(now time.Duration, workspace *routes.Workspace) (rate, burst float64) {
	factor := 1.0
	if now-b.quotasResetAt < localQuotaFactorDuration {
		factor = localQuotaFactor
	}
	rate = float64(workspace.TokensPerSecond) * min(1, b.share*factor)
	burst = (float64(workspace.TokenBurst) + b.quotaSlackTokens*burstSlackFraction) * b.share
	return rate, burst
}

// bucket returns the bucket of a workspace's quota and creates it if necessary. For all that the
// broker knows, it was empty when the broker began; the slack covers what may be granted besides.
func (b *Broker) bucket(workspace string) *limits.Bucket {
	bucket := b.buckets[workspace]
	if bucket == nil {
		bucket = &limits.Bucket{}
		bucket.StartUnknown(b.quotasResetAt, b.quotaSlackTokens*(1-burstSlackFraction)*b.share)
		b.buckets[workspace] = bucket
	}
	return bucket
}

// nearlyFullLevel is the fraction of a quota that must be left for its level not
// to be reported.
const nearlyFullLevel = 0.95

// QuotaLevels returns, by workspace, the fraction of the quota that is left. It omits
// workspaces whose quota is nearly unused.
func (b *Broker) QuotaLevels(now time.Duration) map[string]float64 {
	out := map[string]float64{}
	for _, workspace := range b.limited() {
		rate, burst := b.quota(now, workspace)
		if left := b.bucket(workspace.Name).Level(now, rate, burst) / burst; left < nearlyFullLevel {
			out[workspace.Name] = left
		}
	}
	return out
}

// limited returns the workspaces that have a quota.
func (b *Broker) limited() []*routes.Workspace {
	if b.table == nil {
		return nil
	}
	out := []*routes.Workspace{}
	for i := range b.table.Table.Workspaces {
		if w := &b.table.Table.Workspaces[i]; w.TokensPerSecond != 0 {
			out = append(out, w)
		}
	}
	return out
}

// LowerQuotas reduces the quotas to the levels that another broker reported, so that a
// change of brokers does not grant a second burst. A level above 1 includes the refill of a
// full quota, which covers tokens that SpendQuotas takes. The first level of a workspace also
// replaces the one with which a broker begins that knows of none.
func (b *Broker) LowerQuotas(now time.Duration, levels map[string]float64) {
	for name, left := range levels {
		if workspace := b.workspace(name); workspace != nil {
			rate, burst := b.quota(now, workspace)
			b.bucket(name).Lower(now, rate, burst, left*burst)
		}
	}
}

// RefillLevels returns the levels of all quotas after a time in which nothing was used, from
// those that a broker of all entries reported. A level may exceed 1, as LowerQuotas allows it.
func (b *Broker) RefillLevels(levels map[string]float64, elapsed time.Duration) map[string]float64 {
	out := map[string]float64{}
	for _, workspace := range b.limited() {
		left, listed := levels[workspace.Name]
		if !listed {
			left = 1
		}
		burst := float64(workspace.TokenBurst) + b.quotaSlackTokens*burstSlackFraction
		out[workspace.Name] = left + float64(workspace.TokensPerSecond)*elapsed.Seconds()/max(1, burst)
	}
	return out
}

// SpendQuotas takes the tokens, by workspace, that an entry granted by itself while it had
// no broker.
func (b *Broker) SpendQuotas(now time.Duration, used map[string]int64) {
	for name, tokens := range used {
		if workspace := b.workspace(name); workspace != nil {
			rate, burst := b.quota(now, workspace)
			b.bucket(name).Spend(now, rate, burst, float64(tokens))
		}
	}
}

// ResetQuotas makes all quotas begin anew, without what was left: what was used elsewhere is not
// known. LowerQuotas or RestoreQuotas may replace that.
func (b *Broker) ResetQuotas(now time.Duration) {
	clear(b.buckets)
	b.quotasResetAt = now
}

// RestoreQuotas makes all quotas begin anew at the levels that another broker left. One that is not
// listed is full. An entry calls it when it loses its broker.
func (b *Broker) RestoreQuotas(now time.Duration, levels map[string]float64) {
	b.ResetQuotas(now)
	for _, workspace := range b.limited() {
		left, listed := levels[workspace.Name]
		if !listed {
			left = 1
		}
		b.LowerQuotas(now, map[string]float64{workspace.Name: left})
	}
}

// workspace returns the named workspace, or nil if it is unknown or has no quota.
func (b *Broker) workspace(name string) *routes.Workspace {
	if b.table == nil {
		return nil
	}
	workspace := b.table.WorkspaceByName(name)
	if workspace == nil || workspace.TokensPerSecond == 0 {
		return nil
	}
	return workspace
}

// refund returns the tokens of a request that did not run to its workspace's quota.
func (b *Broker) refund(req *request) {
	if p := b.pools[req.Pool]; p != nil {
		p.overload.refundShare(req)
	}
	if bucket := b.buckets[req.Workspace]; bucket != nil && req.chargedTokens > 0 {
		bucket.Refund(float64(req.chargedTokens))
		req.chargedTokens = 0
	}
}
