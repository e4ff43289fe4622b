package sched

const (
	// initialCacheBlocks is the initial estimate of an upstream's prefix cache
	// size, in blocks.
	initialCacheBlocks = 4096
	// minCacheBlocks is the lower bound of the estimated size.
	minCacheBlocks = 64
	// maxCacheBlocks is the upper bound of the estimated size.
	maxCacheBlocks = 1 << 16
	// gapTrustFactor multiplies the trust after a gap in the cache events.
	gapTrustFactor = 0.9
	// trustGain is the weight of a new observation in the trust.
	trustGain = 0.1
	// cacheGrowthBlocks is added to the estimated size after a hit as
	// predicted; cacheShrinkFactor multiplies it after a miss.
	cacheGrowthBlocks = 16
	cacheShrinkFactor = 0.9
	// missRatio is the fraction of the predicted hit below which an observation
	// counts as a miss.
	missRatio = 0.5
	// maxHolders is the maximum number of upstreams remembered per block.
	maxHolders = 4
)

// block is a node of the cache model's recency list, linked by node index.
type block struct {
	hash       uint64
	prev, next int32
}

// cacheModel estimates which prefix blocks an upstream holds. It is a
// least-recently-used list, updated from the dispatcher's own grants and
// corrected by the upstream's cache events.
type cacheModel struct {
	index map[uint64]int32
	nodes []block
	free  []int32
	head  int32
	tail  int32
	size  int
	// trust is the fraction of a predicted hit that is relied on, from 0 to 1.
	trust    float64
	sequence uint64
	sawEvent bool
}

const noIndex = -1

func newCacheModel() *cacheModel {
	return &cacheModel{index: map[uint64]int32{}, head: noIndex, tail: noIndex, size: initialCacheBlocks, trust: 1}
}

// touch marks a block as the most recently used, evicting the least recently
// used one where the cache is full. It returns false where the block was
// already held.
func (c *cacheModel) touch(hash uint64) bool {
	if i, ok := c.index[hash]; ok {
		if c.head != i {
			c.unlink(i)
			c.link(i)
		}
		return false
	}
	if len(c.index) >= c.size {
		c.evict(c.nodes[c.tail].hash)
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

func (c *cacheModel) link(i int32) {
	c.nodes[i].prev = noIndex
	c.nodes[i].next = c.head
	if c.head != noIndex {
		c.nodes[c.head].prev = i
	}
	c.head = i
	if c.tail == noIndex {
		c.tail = i
	}
}

func (c *cacheModel) unlink(i int32) {
	n := c.nodes[i]
	if n.prev != noIndex {
		c.nodes[n.prev].next = n.next
	} else {
		c.head = n.next
	}
	if n.next != noIndex {
		c.nodes[n.next].prev = n.prev
	} else {
		c.tail = n.prev
	}
}

func (c *cacheModel) evict(hash uint64) {
	i, ok := c.index[hash]
	if !ok {
		return
	}
	c.unlink(i)
	delete(c.index, hash)
	c.free = append(c.free, i)
}

// matchedBlocks returns the number of leading blocks that the upstream holds. A
// block's hash covers all blocks before it, and earlier blocks are used
// together with later ones, so a binary search finds the end.
func (c *cacheModel) matchedBlocks(blocks []uint64) int {
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

// applyEvent corrects the model by one cache event. Old and repeated events are
// ignored; a gap in the sequence lowers the trust.
func (c *cacheModel) applyEvent(e CacheEvent) {
	if c.sawEvent && e.Sequence <= c.sequence {
		return
	}
	if c.sawEvent && e.Sequence > c.sequence+1 {
		c.trust *= gapTrustFactor
	}
	c.sawEvent = true
	c.sequence = e.Sequence
	if !e.Evicted {
		return
	}
	for _, h := range e.Blocks {
		c.evict(h)
	}
}

// learnFromHit updates trust and estimated size from the predicted hit and the
// hit that the engine reported, both in tokens.
func (c *cacheModel) learnFromHit(predicted, reported float64) {
	if predicted <= 0 {
		return
	}
	got := min(1, reported/predicted)
	c.trust += trustGain * (got - c.trust)
	if got < missRatio {
		c.size = max(minCacheBlocks, int(float64(c.size)*cacheShrinkFactor))
	} else {
		c.size = min(maxCacheBlocks, c.size+cacheGrowthBlocks)
	}
}

// reset empties the model after a restart of the upstream.
func (c *cacheModel) reset() {
	*c = *newCacheModel()
}

// holderSet is a small set of upstreams that hold a block.
type holderSet struct {
	ids  [maxHolders]int32
	used uint8
	next uint8
}

// add adds an upstream, replacing the oldest one where the set is full. It
// returns false where the upstream is already in the set.
func (h *holderSet) add(id int32) bool {
	for i := range h.used {
		if h.ids[i] == id {
			return false
		}
	}
	h.ids[h.next] = id
	h.next = (h.next + 1) % maxHolders
	h.used = min(maxHolders, h.used+1)
	return true
}

// holderIndex maps blocks to the upstreams that hold them, within bounded
// memory.
type holderIndex struct {
	sets map[uint64]holderSet
}

// maxHolderSets is the maximum number of blocks in the index, which is cleared
// when full.
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

// longestHeld returns the holders of the longest indexed prefix of the blocks,
// and its length in blocks.
func (x *holderIndex) longestHeld(blocks []uint64) (holderSet, int) {
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
