package e2e

import (
	"strings"

	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/localsite"
	"github.com/verbenastep/verbenastep/internal/port"
)

// leads tells whether a daemon's replica leads the log.
func leads(r *rig, i int) bool {
	s, err := kernel.Find[port.Replicas](r.Daemon(i).Kernel(), port.NameReplica)
	if err != nil {
		return false
	}
	for _, st := range s.Status() {
		if st.Group == port.GroupMain && st.Role == "leader" {
			return true
		}
	}
	return false
}

// dispatches tells whether a daemon holds a pool's lease, as it sees it.
func dispatches(r *rig, i int, pool string) bool {
	v, err := kernel.Find[port.View](r.Daemon(i).Kernel(), port.NameView)
	if err != nil {
		return false
	}
	holder, ok := port.ParseHolder(v.Lease(port.DispatchLease(pool, "gauteng")).Holder)
	return ok && strings.HasPrefix(holder.Name, localsite.Name(i))
}
