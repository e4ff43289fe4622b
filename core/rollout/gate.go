package rollout

// Gate says which upstreams of a pool may get new requests. The zero Gate allows all.
//
// The gate of a completed rollout keeps requests from old upstreams that are about to be
// stopped. Remove it once no old upstream is listed, so that versions that are introduced
// without a rollout get requests.
type Gate struct {
	Target string
	Phase  Phase
}

// AllowsTarget reports whether upstreams of the target may get new requests. central is
// set for the broker of all entries, which also asks Controller.MayTry.
func (g Gate) AllowsTarget(central bool) bool {
	switch g.Phase {
	case Trial, Shift:
		return central
	case RolledBack:
		return false
	}
	return true
}

// AllowsOld reports whether upstreams of other versions than the target may get new
// requests.
func (g Gate) AllowsOld(_ bool) bool {
	return g.Phase != Settle && g.Phase != Completed
}
