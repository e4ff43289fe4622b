package e2e

import (
	"strings"

	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/localsite"
	"github.com/verbenastep/verbenastep/internal/port"
)

// leadsLog reports whether a daemon's replica leads the log.
func leadsLog(site *testSite, i int) bool {
	for _, st := range site.replicaStatus(i) {
		if st.Group == port.GroupMain && st.Role == "leader" {
			return true
		}
	}
	return false
}

// dispatchesPool reports whether a daemon holds a pool's lease, by its own
// view.
func dispatchesPool(site *testSite, i int, pool string) bool {
	v, err := kernel.Find[port.View](site.Daemon(i).Kernel(), port.NameView)
	if err != nil {
		return false
	}
	holder, ok := port.ParseHolder(v.Lease(port.DispatchLeaseName(pool, "gauteng")).Holder)
	return ok && strings.HasPrefix(holder.Name, localsite.DaemonName(i))
}

// replicaStatus returns the status of a daemon's replicas, as the daemon
// reports it.
func (site *testSite) replicaStatus(i int) []port.ReplicaStatus {
	dump, _ := site.Daemon(i).Kernel().Dump()[port.NameReplica].([]port.ReplicaStatus)
	return dump
}
