package paths

// Verdict says whose fault it is that an upstream did not answer.
type Verdict uint8

// Verdicts.
const (
	// Undecided means that no entry could tell.
	Undecided Verdict = iota
	// Reachable means that this entry can connect to the upstream.
	Reachable
	// PathAtFault means that only other entries can connect to the upstream.
	PathAtFault
	// UpstreamAtFault means that the upstream is at fault, as far as can be told.
	UpstreamAtFault
)

// BlamesUpstream reports whether the failure is the upstream's and not the path's.
func (v Verdict) BlamesUpstream() bool { return v == Reachable || v == UpstreamAtFault }

// String returns the verdict as it is logged.
func (v Verdict) String() string {
	return [...]string{"undecided", "reachable", "path at fault", "upstream at fault"}[v]
}
