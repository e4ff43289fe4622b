package brokerwire

import (
	"fmt"
	"hash/fnv"
	"strings"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/rollout"
	"github.com/verbenastep/verbenastep/core/routes"
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

// RouteHash returns the hash of a route's name in offers; it is never zero.
func RouteHash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // Write of a hash never fails
	return max(1, h.Sum64())
}

// NameRoutes replaces the hashes of a table's routes in the reason of a rollout by their names.
func NameRoutes(reason string, table *routes.Table) string {
	for _, r := range table.Routes {
		reason = strings.ReplaceAll(reason, fmt.Sprintf("route %x", RouteHash(r.Name)), fmt.Sprintf("route %q", r.Name))
	}
	return reason
}
