package replica

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/verbenastep/verbenastep/core/consensus"
	"github.com/verbenastep/verbenastep/core/state"
)

// invariantChecker checks the invariants that must hold in every schedule.
type invariantChecker struct {
	violation string
	leaders   map[uint64]consensus.ID
	terms     map[uint64]uint64
	// claimStreams holds, by key, the stream whose claim was acknowledged.
	claimStreams map[string]string
	// digests holds the digest of each accepted configuration version.
	digests    map[uint64]string
	maxVersion uint64
	// holder, leaseEpoch and heldUntil describe the last lease granted;
	// heldUntil is the virtual time until which the holder relies on the lease.
	holder     string
	leaseEpoch uint64
	heldUntil  time.Duration
	acks       int
	grants     int
}

func newInvariantChecker() *invariantChecker {
	return &invariantChecker{leaders: map[uint64]consensus.ID{}, terms: map[uint64]uint64{}, claimStreams: map[string]string{}, digests: map[uint64]string{}}
}

// fail records the first violation.
func (c *invariantChecker) fail(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, args...)
	}
}

// checkReplica checks after each step of a replica that a term has only one
// leader and that committed entries agree between replicas.
func (c *invariantChecker) checkReplica(s *simReplica) {
	st := s.engine.node.Status()
	if st.Role == consensus.Leader {
		if old, ok := c.leaders[st.Term]; ok && old != st.ID {
			c.fail("two leaders in term %d", st.Term)
		}
		c.leaders[st.Term] = st.ID
	}
	for i := s.checkedIndex + 1; i <= st.CommitIndex; i++ {
		term, ok := s.engine.node.Term(i)
		if !ok {
			continue
		}
		if old, seen := c.terms[i]; seen && old != term {
			c.fail("entry %d committed with terms %d and %d", i, old, term)
		}
		c.terms[i] = term
	}
	s.checkedIndex = max(s.checkedIndex, st.CommitIndex)
}

// checkClaim checks that a key is claimed by one stream only.
func (c *invariantChecker) checkClaim(key, stream string) {
	if old, ok := c.claimStreams[key]; ok && old != stream {
		c.fail("key %s belongs to %s and to %s", key, old, stream)
	}
	c.claimStreams[key] = stream
	c.acks++
}

// checkVersion checks that a configuration version has one content only.
func (c *invariantChecker) checkVersion(version uint64, digest string) {
	if old, ok := c.digests[version]; ok && old != digest {
		c.fail("version %d has two contents", version)
	}
	c.digests[version] = digest
	c.maxVersion = max(c.maxVersion, version)
	c.acks++
}

// checkLease checks that a lease on which holder relies until the given virtual
// time does not overlap another holder's, and that epochs increase.
func (c *invariantChecker) checkLease(now time.Duration, holder string, epoch uint64, until time.Duration) {
	if until <= now {
		return
	}
	if holder != c.holder && c.heldUntil > now {
		c.fail("lease held by %s and %s at once", c.holder, holder)
	}
	if epoch < c.leaseEpoch || (holder != c.holder && epoch == c.leaseEpoch) {
		c.fail("epoch %d of %s follows %d of %s", epoch, holder, c.leaseEpoch, c.holder)
	}
	c.holder, c.leaseEpoch, c.heldUntil = holder, epoch, max(until, c.heldUntil)
	c.grants++
}

// acknowledgedState is the state that a read which starts now must see.
type acknowledgedState struct {
	version uint64
	owners  map[string]string
}

func (c *invariantChecker) acknowledged() acknowledgedState {
	a := acknowledgedState{version: c.maxVersion, owners: map[string]string{}}
	for k, v := range c.claimStreams {
		a.owners[k] = v
	}
	return a
}

// checkRead checks that a machine includes the state acknowledged before the
// read.
func (c *invariantChecker) checkRead(where string, m *state.Machine, a acknowledgedState) {
	if version, _, _ := m.Config(); version < a.version {
		c.fail("%s reads version %d after %d was acknowledged", where, version, a.version)
	}
	for key, stream := range a.owners {
		claim, ok := m.Claim(workspace, key)
		if !ok || claim.Stream != stream {
			c.fail("%s lost the acknowledged claim %s of %s (it has %q)", where, key, stream, claim.Stream)
		}
	}
}

// checkFinalState checks that all replicas agree and have lost nothing
// acknowledged.
func (c *invariantChecker) checkFinalState(sim *simulation) {
	if sim.leader() == nil {
		c.fail("no leader after all faults ended")
		return
	}
	first := ""
	for _, s := range sim.replicas {
		if s.engine == nil {
			c.fail("%s is down after all faults ended", s.name())
			return
		}
		c.checkRead(s.name(), s.engine.machine, c.acknowledged())
		summary := summarize(s.engine.machine)
		if first == "" {
			first = summary
		}
		if summary != first {
			c.fail("%s differs from the first replica:\n%s\n%s", s.name(), summary, first)
		}
	}
}

func summarize(m *state.Machine) string {
	version, digest, _ := m.Config()
	data, err := json.Marshal(struct {
		Version uint64
		Digest  string
		Leases  map[string]state.Lease
		Claims  int
	}{version, digest, m.Leases(), m.ClaimCount()})
	return fmt.Sprintf("%s %v", data, err)
}
