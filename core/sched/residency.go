package sched

const (
	// firstBlocks is the assumed size of an upstream's prefix cache, in blocks.
	firstBlocks = 4096
	// minBlocks is the smallest size assumed.
	minBlocks = 64
	// maxBlocks is the largest size assumed.
	maxBlocks = 1 << 16
	// gapTrust is what remains of the trust after a gap in the cache events.
	gapTrust = 0.9
	// trustGain is the weight of a new observation in the trust.
	trustGain = 0.1
	// growth is by how many blocks the assumed size grows after a hit as
	// predicted, shrink is what remains of it after a miss.
	growth = 16
	shrink = 0.9
	// missPart is the part of the predicted hit below which it was a miss.
	missPart = 0.5
	// holders is how many upstreams are remembered for each block.
	holders = 4
)

// block is one entry of a residency list; links are indexes.
type block struct {
	hash       uint64
	prev, next int32
}

// residency models which prefix blocks an upstream holds: a list in order of
// last use, kept from the dispatcher's own grants and corrected by events.
type residency struct {
	index map[uint64]int32
	nodes []block
	free  []int32
	head  int32
	tail  int32
	size  int
	// trust is the part of a predicted hit to count on, from 0 to 1.
	trust    float64
	sequence uint64
	started  bool
}

const nowhere = -1

func newResidency() *residency {
	return &residency{index: map[uint64]int32{}, head: nowhere, tail: nowhere, size: firstBlocks, trust: 1}
}

// touch makes a block the most recently used, and pushes out the least recent
// one where there is no space. It returns false where the block was held.
func (c *residency) touch(hash uint64) bool {
	if i, ok := c.index[hash]; ok {
		if c.head != i {
			c.unlink(i)
			c.link(i)
		}
		return false
	}
	if len(c.index) >= c.size {
		c.drop(c.nodes[c.tail].hash)
	}
	i := int32(len(c.nodes))
	if n := len(c.free); n > 0 {
		i = c.free[n-1]
		c.free = c.free[:n-1]
		c.nodes[i].hash = hash
	} else {
		c.nodes = append(c.nodes, block{hash: hash})
	}
	c.index[hash] = i
	c.link(i)
	return true
}

func (c *residency) link(i int32) {
	c.nodes[i].prev = nowhere
	c.nodes[i].next = c.head
	if c.head != nowhere {
		c.nodes[c.head].prev = i
	}
	c.head = i
	if c.tail == nowhere {
		c.tail = i
	}
}

func (c *residency) unlink(i int32) {
	n := c.nodes[i]
	if n.prev != nowhere {
		c.nodes[n.prev].next = n.next
	} else {
		c.head = n.next
	}
	if n.next != nowhere {
		c.nodes[n.next].prev = n.prev
	} else {
		c.tail = n.prev
	}
}

func (c *residency) drop(hash uint64) {
	i, ok := c.index[hash]
	if !ok {
		return
	}
	c.unlink(i)
	delete(c.index, hash)
	c.free = append(c.free, i)
}

// matched returns how many leading blocks the upstream holds. Since a block's
// hash covers all before it, and earlier blocks are used with later ones, a
// binary search finds the end.
func (c *residency) matched(blocks []uint64) int {
	if len(blocks) == 0 {
		return 0
	}
	if _, ok := c.index[blocks[0]]; !ok {
		return 0
	}
	low, high := 1, len(blocks)
	for low < high {
		middle := (low + high + 1) / 2
		if _, ok := c.index[blocks[middle-1]]; ok {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return low
}

// event corrects the model by one cache event. Events of the past, and such
// that come twice, change nothing; a gap lowers the trust.
func (c *residency) event(e CacheEvent) {
	if c.started && e.Sequence <= c.sequence {
		return
	}
	if c.started && e.Sequence > c.sequence+1 {
		c.trust *= gapTrust
	}
	c.started = true
	c.sequence = e.Sequence
	if !e.Evicted {
		return
	}
	for _, h := range e.Blocks {
		c.drop(h)
	}
}

// confirm compares a predicted hit with what the engine reported.
func (c *residency) confirm(predicted, reported float64) {
	if predicted <= 0 {
		return
	}
	got := min(1, reported/predicted)
	c.trust += trustGain * (got - c.trust)
	if got < missPart {
		c.size = max(minBlocks, int(float64(c.size)*shrink))
	} else {
		c.size = min(maxBlocks, c.size+growth)
	}
}

// reset forgets all, after a restart of the upstream.
func (c *residency) reset() {
	*c = *newResidency()
}

// holderSet remembers a few upstreams that hold a block.
type holderSet struct {
	ids  [holders]int32
	used uint8
	next uint8
}

// add remembers an upstream in place of the oldest one. It returns false where
// the upstream was known.
func (h *holderSet) add(id int32) bool {
	for i := range h.used {
		if h.ids[i] == id {
			return false
		}
	}
	h.ids[h.next] = id
	h.next = (h.next + 1) % holders
	h.used = min(holders, h.used+1)
	return true
}

// holderIndex finds upstreams by block, within a bounded memory.
type holderIndex struct {
	sets map[uint64]holderSet
}

// maxHolderSets bounds the blocks whose holders are remembered.
const maxHolderSets = 1 << 18

func (x *holderIndex) add(hash uint64, id int32) {
	s, ok := x.sets[hash]
	if !ok && len(x.sets) >= maxHolderSets {
		clear(x.sets)
	}
	if s.add(id) {
		x.sets[hash] = s
	}
}

// deepest returns the holders of the last block that any upstream was granted,
// and how many blocks these are.
func (x *holderIndex) deepest(blocks []uint64) (holderSet, int) {
	low, high := 0, len(blocks)
	best := holderSet{}
	for low < high {
		middle := (low + high + 1) / 2
		if s, ok := x.sets[blocks[middle-1]]; ok {
			low = middle
			best = s
		} else {
			high = middle - 1
		}
	}
	return best, low
}
