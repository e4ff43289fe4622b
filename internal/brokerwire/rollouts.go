package brokerwire

import (
	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/rollout"
)

// EncodeRollouts encodes how far an entry knows the rollouts of pools.
func EncodeRollouts(list []rollout.Record) []*rpc.KnownRollout {
	out := make([]*rpc.KnownRollout, 0, len(list))
	for _, r := range list {
		out = append(out, &rpc.KnownRollout{Pool: r.Pool, Number: r.Number, Phase: string(r.Phase)})
	}
	return out
}

// KnowsPhase reports whether an entry that knows a rollout has the phase of a record.
func KnowsPhase(k *rpc.KnownRollout, r rollout.Record) bool {
	return k.GetNumber() == r.Number && rollout.Phase(k.GetPhase()) == r.Phase
}
