package broker

// PoolDump is the state of a pool as operators see it.
type PoolDump struct {
	Pool      string         `json:"pool"`
	Queued    int            `json:"queued"`
	Upstreams []UpstreamDump `json:"upstreams"`
	// TokenMS and PrefillMS are the learned times per output and prompt token,
	// OverheadMS the time to the first event of an empty prompt, CallMS the time
	// of a service call.
	TokenMS    float64 `json:"token_ms"`
	PrefillMS  float64 `json:"read_ms"`
	OverheadMS float64 `json:"overhead_ms"`
	CallMS     float64 `json:"call_ms"`
}

// UpstreamDump is the state of an upstream as operators see it.
type UpstreamDump struct {
	ID          string  `json:"id"`
	InFlight    int     `json:"in_flight"`
	Slots       int     `json:"slots"`
	TokenMS     float64 `json:"token_ms"`
	CallMS      float64 `json:"call_ms"`
	FailureRate float64 `json:"fails"`
	Leaving     bool    `json:"leaving"`
	Silent      bool    `json:"silent"`
	Software    string  `json:"software,omitempty"`
	// LimitPerSecond is the limit that the upstream names, in requests a second; absent if
	// it names none.
	LimitPerSecond *float64 `json:"limit_per_second,omitempty"`
	Brittle        bool     `json:"brittle,omitempty"`
}

// Dump returns the state of all pools.
func (b *Broker) Dump() []PoolDump {
	out := []PoolDump{}
	for _, p := range b.pools {
		d := PoolDump{
			Pool: p.name, Queued: len(p.queue), TokenMS: 1000 * p.times.tokenTime, PrefillMS: 1000 * p.times.tokenTime * p.times.prefillRatio,
			OverheadMS: 1000 * p.times.tokenTime * p.times.overhead, CallMS: 1000 * p.times.callTime,
		}
		for _, u := range p.order {
			d.Upstreams = append(d.Upstreams, UpstreamDump{
				LimitPerSecond: u.namedLimit(), Brittle: u.isBrittle(), ID: u.ID, InFlight: len(u.inFlight), Slots: u.Slots, TokenMS: 1000 * u.times.tokenTime, CallMS: 1000 * u.times.callTime,
				FailureRate: u.health.failureRate, Leaving: u.isLeaving(), Silent: u.Silent, Software: u.SoftwareVersion,
			})
		}
		out = append(out, d)
	}
	return out
}
