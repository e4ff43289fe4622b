package e2e

import (
	"strings"

	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/localsite"
	"github.com/verbenastep/verbenastep/internal/port"
)

// leads tells whether a daemon's replica leads the log.
func leads(r *rig, i int) bool {
	for _, st := range r.replicaStatus(i) {
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
	holder, ok := port.ParseHolder(v.Lease(port.DispatchLeaseName(pool, "gauteng")).Holder)
	return ok && strings.HasPrefix(holder.Name, localsite.Name(i))
}

// replicaStatus is a daemon's account of its replicas.
func (r *rig) replicaStatus(i int) []port.ReplicaStatus {
	dump, _ := r.Daemon(i).Kernel().Dump()[port.NameReplica].([]port.ReplicaStatus)
	return dump
}
