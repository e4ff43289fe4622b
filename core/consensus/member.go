package consensus

import (
	"slices"
	"sort"
)

// membership holds the member lists of the log. The newest list applies as soon
// as it is appended, committed or not.
type membership struct {
	history []memberList
}

type memberList struct {
	index   uint64
	members []Member
}

func (c *membership) reset(m SnapshotMeta) {
	c.history = []memberList{{index: m.Index, members: m.Members}}
}

// recordChanges adds the member lists found in entries.
func (c *membership) recordChanges(entries []Entry) {
	for _, e := range entries {
		if e.Kind != EntryMembers {
			continue
		}
		list, err := DecodeMembers(e.Data)
		if err == nil {
			c.history = append(c.history, memberList{index: e.Index, members: list})
		}
	}
}

// truncate removes the lists from an index on.
func (c *membership) truncate(from uint64) {
	for len(c.history) > 1 && c.history[len(c.history)-1].index >= from {
		c.history = c.history[:len(c.history)-1]
	}
}

func (c *membership) latest() memberList { return c.history[len(c.history)-1] }

func (c *membership) members() []Member { return c.latest().members }

func (c *membership) membersAt(index uint64) []Member {
	for i := len(c.history) - 1; i > 0; i-- {
		if c.history[i].index <= index {
			return c.history[i].members
		}
	}
	return c.history[0].members
}

func (c *membership) isVoter(id ID) bool {
	return slices.ContainsFunc(c.members(), func(m Member) bool { return m.ID == id && !m.Learner })
}

func (c *membership) quorumSize() int { return len(voterIDs(c.members()))/2 + 1 }

func voterIDs(list []Member) []ID {
	out := []ID{}
	for _, m := range list {
		if !m.Learner {
			out = append(out, m.ID)
		}
	}
	slices.Sort(out)
	return out
}

// quorumValue returns the largest value that a majority of the voters have
// reached, zero if there are no voters.
func (c *membership) quorumValue(valueOf func(ID) uint64) uint64 {
	values := []uint64{}
	for _, id := range voterIDs(c.members()) {
		values = append(values, valueOf(id))
	}
	if len(values) == 0 {
		return 0
	}
	sort.Slice(values, func(i, j int) bool { return values[i] > values[j] })
	return values[len(values)/2]
}

// voterDifference counts the voters that are in only one of two lists.
func voterDifference(a, b []Member) int {
	va, vb := voterIDs(a), voterIDs(b)
	n := 0
	for _, id := range va {
		if !slices.Contains(vb, id) {
			n++
		}
	}
	for _, id := range vb {
		if !slices.Contains(va, id) {
			n++
		}
	}
	return n
}

// CanChangeMembers reports whether ProposeMembers accepts a change now.
func (n *Node) CanChangeMembers() bool {
	return n.checkCanPropose() == nil && n.committedInTerm() && n.membership.latest().index <= n.log.commitIndex
}

// ProposeMembers appends a new member list that differs by at most one voter
// and returns its index. A change is rejected with a *ChangeError while the
// previous one is uncommitted, and until a new leader has committed an entry of
// its own term: otherwise two lists with disjoint majorities could be in force.
func (n *Node) ProposeMembers(list []Member) (uint64, error) {
	if err := n.checkCanPropose(); err != nil {
		return 0, err
	}
	if !n.committedInTerm() || n.membership.latest().index > n.log.commitIndex {
		return 0, &ChangeError{Reason: "another membership change or a new leader's first entry is not committed yet", Remedy: "retry after a moment"}
	}
	if voterDifference(n.membership.members(), list) > 1 {
		return 0, &ChangeError{Reason: "the change adds or removes more than one voter", Remedy: "change one voter at a time"}
	}
	if !slices.ContainsFunc(list, func(m Member) bool { return m.ID == n.options.ID && !m.Learner }) {
		return 0, &ChangeError{Reason: "the leader can't remove itself", Remedy: "transfer leadership first"}
	}
	index := n.appendEntries(EntryMembers, [][]byte{EncodeMembers(list)})
	n.updatePeers()
	n.broadcastAppend()
	return index, nil
}
