package replica

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/verbenastep/verbenastep/core/consensus"
	"github.com/verbenastep/verbenastep/core/state"
)

// checks are what must hold in every schedule.
type checks struct {
	violation string
	leaders   map[uint64]consensus.ID
	terms     map[uint64]uint64
	// owners holds the stream that won each key, acknowledged or seen.
	owners map[string]string
	// digests holds the digest of each accepted version.
	digests map[uint64]string
	version uint64
	// holder, its epoch and the true time until which it believes to hold.
	holder string
	epoch  uint64
	until  time.Duration
	acks   int
	grants int
}

func newChecks() *checks {
	return &checks{leaders: map[uint64]consensus.ID{}, terms: map[uint64]uint64{}, owners: map[string]string{}, digests: map[uint64]string{}}
}

func (c *checks) fail(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, args...)
	}
}

// look checks one replica after each of its steps.
func (c *checks) look(s *site) {
	st := s.engine.node.Status()
	if st.Role == consensus.Leader {
		if old, ok := c.leaders[st.Term]; ok && old != st.ID {
			c.fail("two leaders in term %d", st.Term)
		}
		c.leaders[st.Term] = st.ID
	}
	for i := s.checked + 1; i <= st.CommitIndex; i++ {
		term, ok := s.engine.node.Term(i)
		if !ok {
			continue
		}
		if old, seen := c.terms[i]; seen && old != term {
			c.fail("entry %d committed with terms %d and %d", i, old, term)
		}
		c.terms[i] = term
	}
	s.checked = max(s.checked, st.CommitIndex)
}

func (c *checks) claimed(key, stream string) {
	if old, ok := c.owners[key]; ok && old != stream {
		c.fail("key %s belongs to %s and to %s", key, old, stream)
	}
	c.owners[key] = stream
	c.acks++
}

func (c *checks) accepted(version uint64, digest string) {
	if old, ok := c.digests[version]; ok && old != digest {
		c.fail("version %d has two contents", version)
	}
	c.digests[version] = digest
	c.version = max(c.version, version)
	c.acks++
}

// granted says that a holder believes to have the lease until a true time.
func (c *checks) granted(now time.Duration, holder string, epoch uint64, until time.Duration) {
	if until <= now {
		return
	}
	if holder != c.holder && c.until > now {
		c.fail("lease held by %s and %s at once", c.holder, holder)
	}
	if epoch < c.epoch || (holder != c.holder && epoch == c.epoch) {
		c.fail("epoch %d of %s follows %d of %s", epoch, holder, c.epoch, c.holder)
	}
	c.holder, c.epoch, c.until = holder, epoch, max(until, c.until)
	c.grants++
}

// acknowledged is what a read that begins now must see.
type acknowledged struct {
	version uint64
	owners  map[string]string
}

func (c *checks) acknowledged() acknowledged {
	a := acknowledged{version: c.version, owners: map[string]string{}}
	for k, v := range c.owners {
		a.owners[k] = v
	}
	return a
}

// sees checks a state against what was acknowledged before it was read.
func (c *checks) sees(where string, m *state.Machine, a acknowledged) {
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

// final checks that all replicas agree and nothing acknowledged is lost.
func (c *checks) final(w *world) {
	if w.leader() == nil {
		c.fail("no leader after all faults ended")
		return
	}
	first := ""
	for _, s := range w.sites {
		if s.engine == nil {
			c.fail("%s is down after all faults ended", s.name())
			return
		}
		c.sees(s.name(), s.engine.machine, c.acknowledged())
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
