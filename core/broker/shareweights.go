package broker

import "github.com/verbenastep/verbenastep/core/routes"

// minShareWeight and maxShareWeight bound the weights of workspaces, so that a very small or
// large quota starves no workspace.
const (
	minShareWeight = 0.25
	maxShareWeight = 4
)

// shareWeights holds the weights of workspaces in fair sharing: the quota over the mean quota
// of the workspaces of the same rank. A workspace without a quota, or without a name, has
// weight 1.
type shareWeights map[string]float64

// noRank is the key of workspaces without a rank.
const noRank = -1

func newShareWeights(x *routes.Index) shareWeights {
	out := shareWeights{}
	if x == nil {
		return out
	}
	type quotas struct{ sum, count float64 }
	byRank := map[int]quotas{}
	for _, w := range x.Table.Workspaces {
		if w.TokensPerSecond > 0 {
			q := byRank[workspaceRank(w)]
			byRank[workspaceRank(w)] = quotas{q.sum + float64(w.TokensPerSecond), q.count + 1}
		}
	}
	for _, w := range x.Table.Workspaces {
		if w.TokensPerSecond > 0 {
			q := byRank[workspaceRank(w)]
			out[w.Name] = min(maxShareWeight, max(minShareWeight, float64(w.TokensPerSecond)*q.count/q.sum))
		}
	}
	return out
}

func workspaceRank(w routes.Workspace) int {
	if w.Rank == nil {
		return noRank
	}
	return *w.Rank
}

// of returns the weight of a workspace.
func (s shareWeights) of(workspace string) float64 {
	if weight, ok := s[workspace]; ok {
		return weight
	}
	return 1
}

// setTable takes the weights from a route table. It may be called on nil.
func (o *overload) setTable(x *routes.Index) {
	if o != nil {
		o.weights = newShareWeights(x)
	}
}
