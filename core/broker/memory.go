package broker

import "fmt"

// boundsMemory reports whether requests may use up the memory of the pool's engines.
func (p *pool) boundsMemory() bool { return p.engine != nil && p.engine.MemoryTokens > 0 }

// memoryTokens returns how much of the memory of an engine with the given slots a broker with
// the given share may use, in tokens: that share, or what one slot has if the share is less than
// a slot.
func (p *pool) memoryTokens(slots int, share float64) int64 {
	return int64(float64(p.engine.MemoryTokens) * min(1, max(share, 1/float64(max(1, slots)))))
}

// hasMemory reports whether an upstream has enough memory for a request. A request that exceeds
// the part of a broker that shares the engine is granted on an engine on which the broker runs
// nothing, and on that fraction of the engines only: about one of the brokers grants such
// requests on an engine.
func (p *pool) hasMemory(share float64, u *upstream, req *request) bool {
	if !p.boundsMemory() || u.tokens+req.tokens() <= p.memoryTokens(u.Slots, share) {
		return true
	}
	return share < 1 && len(u.inFlight) == 0 && u.roundingPoint < share && req.tokens() <= p.engine.MemoryTokens
}

// exceedsShare reports whether a request needs more memory than a broker with the given share
// may use of an engine. It waits for one of few engines and holds up no other request.
func (p *pool) exceedsShare(share float64, req *request) bool {
	return p.boundsMemory() && req.tokens() > p.memoryTokens(p.engine.Slots, share)
}

// refuseTooLarge refuses a request that fits into no engine's memory, and reports whether it
// did. Such a request would wait until it is late and hold up others.
func (b *Broker) refuseTooLarge(p *pool, req *request) bool {
	if !p.boundsMemory() || req.tokens() <= p.engine.MemoryTokens {
		return false
	}
	b.refuse(req, ExceedsMemory, 0, fmt.Sprintf("prompt and greatest output are %d tokens, but an engine has memory for %d; ask for less output", req.tokens(), p.engine.MemoryTokens))
	return true
}
