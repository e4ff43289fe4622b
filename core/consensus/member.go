package consensus

import (
	"slices"
	"sort"
)

// membership is the group's members along the log: the newest list counts from
// the moment it is appended.
type membership struct {
	lists []memberList
}

type memberList struct {
	index   uint64
	members []Member
}

func (c *membership) reset(m Meta) {
	c.lists = []memberList{{index: m.Index, members: m.Members}}
}

// take notes the member lists among entries.
func (c *membership) take(entries []Entry) {
	for _, e := range entries {
		if e.Kind != EntryMembers {
			continue
		}
		list, err := DecodeMembers(e.Data)
		if err == nil {
			c.lists = append(c.lists, memberList{index: e.Index, members: list})
		}
	}
}

// cut forgets lists from an index on.
func (c *membership) cut(from uint64) {
	for len(c.lists) > 1 && c.lists[len(c.lists)-1].index >= from {
		c.lists = c.lists[:len(c.lists)-1]
	}
}

func (c *membership) newest() memberList { return c.lists[len(c.lists)-1] }

func (c *membership) members() []Member { return c.newest().members }

func (c *membership) at(index uint64) []Member {
	for i := len(c.lists) - 1; i > 0; i-- {
		if c.lists[i].index <= index {
			return c.lists[i].members
		}
	}
	return c.lists[0].members
}

func (c *membership) voter(id ID) bool {
	return slices.ContainsFunc(c.members(), func(m Member) bool { return m.ID == id && !m.Learner })
}

func (c *membership) quorum() int { return len(voters(c.members()))/2 + 1 }

func voters(list []Member) []ID {
	out := []ID{}
	for _, m := range list {
		if !m.Learner {
			out = append(out, m.ID)
		}
	}
	slices.Sort(out)
	return out
}

// quorumValue returns the largest value that a majority of the voters reach.
func (c *membership) quorumValue(of func(ID) uint64) uint64 {
	values := []uint64{}
	for _, id := range voters(c.members()) {
		values = append(values, of(id))
	}
	if len(values) == 0 {
		return 0
	}
	sort.Slice(values, func(i, j int) bool { return values[i] > values[j] })
	return values[len(values)/2]
}

// distance is how many voters two lists don't share.
func distance(a, b []Member) int {
	va, vb := voters(a), voters(b)
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

// ProposeMembers appends a new member list that differs by at most one voter.
// Two changes never overlap, and a new leader changes nothing before it has
// committed an entry of its own term: else two lists could be in force whose
// majorities don't meet.
func (n *Node) ProposeMembers(list []Member) (uint64, error) {
	if err := n.mayPropose(); err != nil {
		return 0, err
	}
	if !n.committedInTerm() || n.conf.newest().index > n.log.commit {
		return 0, &ChangeError{Reason: "another membership change or a new leader's first entry is not committed yet", Remedy: "retry after a moment"}
	}
	if distance(n.conf.members(), list) > 1 {
		return 0, &ChangeError{Reason: "the change adds or removes more than one voter", Remedy: "change one voter at a time"}
	}
	if !slices.ContainsFunc(list, func(m Member) bool { return m.ID == n.opt.ID && !m.Learner }) {
		return 0, &ChangeError{Reason: "the leader can't remove itself", Remedy: "transfer leadership first"}
	}
	index := n.appendOwn(EntryMembers, [][]byte{EncodeMembers(list)})
	n.syncPeers()
	n.broadcastAppend()
	return index, nil
}
