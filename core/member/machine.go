package member

import (
	"math/rand/v2"
	"slices"
	"time"
)

// memberRecord is what this daemon knows of another daemon.
type memberRecord struct {
	state State
	// statusSince is when the current status was learned.
	statusSince time.Duration
	// transmitsLeft is how often the state must still be sent.
	transmitsLeft int
}

// probe is a check of one daemon, first direct, then through relays.
type probe struct {
	target string
	// outstanding counts the requests without an outcome.
	outstanding int
	isIndirect  bool
}

// listingsAfterJoin is how often a daemon reads the member list again after it
// has joined.
const listingsAfterJoin = 3

// pendingRequest is a request without an outcome.
type pendingRequest struct {
	// probe is nil for a join.
	probe  *probe
	isJoin bool
}

// Machine holds one daemon's view of the fleet. It is not safe for concurrent
// use. Times are on a monotonic clock, since any fixed origin.
type Machine struct {
	options Options
	rng     *rand.Rand
	self    State
	seeds   []string

	known map[string]*memberRecord
	// names holds the keys of known, sorted.
	names      []string
	probeOrder []string
	pending    map[uint64]pendingRequest
	nextID     uint64
	events     []Event

	hasJoined bool
	// listingsLeft is how often the list is still to be read again after
	// joining. When many daemons start at once, the seed may not know all of
	// them yet.
	listingsLeft int
	// pageAfter is the name after which the next page of the list begins.
	pageAfter    string
	hasNextPage  bool
	nextProbeAt  time.Duration
	nextRejoinAt time.Duration
}

// New returns the machine of a daemon that knows only its own state and the
// peer addresses of its seeds.
func New(self State, seeds []string, opt Options, rng *rand.Rand) *Machine {
	others := slices.DeleteFunc(slices.Clone(seeds), func(a string) bool { return a == self.Info.PeerAddress })
	return &Machine{
		options: opt, rng: rng, self: self, seeds: others, hasJoined: len(others) == 0,
		listingsLeft: listingsAfterJoin,
		known:        map[string]*memberRecord{}, pending: map[uint64]pendingRequest{},
	}
}

// Self returns the daemon's own state.
func (m *Machine) Self() State { return m.self }

// Update replaces the daemon's own Info. A change of IsLeaving raises the
// incarnation, so that all daemons pass it on; other changes spread with the
// daemon's own messages only.
func (m *Machine) Update(i Info) {
	if i == m.self.Info {
		return
	}
	if i.IsLeaving != m.self.Info.IsLeaving {
		m.raiseIncarnation(m.self.Incarnation)
	}
	m.self.InfoVersion++
	m.self.Info = i
}

// Leave sets the daemon's own status to Left. Send the result of LeaveRequests
// to announce it.
func (m *Machine) Leave() {
	m.raiseIncarnation(m.self.Incarnation)
	m.self.Status = Left
}

// LeaveRequests returns the last requests of a daemon that has left. Their
// outcomes need not be reported.
func (m *Machine) LeaveRequests() []Request {
	out := []Request{}
	for range m.options.MaxRelays {
		if n, ok := m.nextRandom(); ok {
			out = append(out, m.newDirectProbe(n))
		}
	}
	return out
}

// raiseIncarnation sets an incarnation above both the current and the given
// one.
func (m *Machine) raiseIncarnation(above uint64) {
	m.self.Incarnation = max(m.self.Incarnation, above) + 1
	m.self.InfoVersion = 0
}

// Members returns the known daemons, sorted by name, without this one.
func (m *Machine) Members() []State {
	out := make([]State, 0, len(m.names))
	for _, n := range m.names {
		out = append(out, m.known[n].state)
	}
	return out
}

// Find returns a known daemon's state by name.
func (m *Machine) Find(name string) (State, bool) {
	e, ok := m.known[name]
	if !ok {
		return State{}, false
	}
	return e.state, true
}

// Events returns the events since the last call.
func (m *Machine) Events() []Event {
	out := m.events
	m.events = nil
	return out
}

// Tick applies timeouts and returns the requests that are due.
func (m *Machine) Tick(now time.Duration) []Request {
	m.expireStates(now)
	out := []Request{}
	if now >= m.nextProbeAt {
		m.nextProbeAt = now + m.options.ProbeInterval
		out = append(out, m.probeRound()...)
	}
	if now >= m.nextRejoinAt {
		m.nextRejoinAt = now + m.options.RejoinInterval
		out = append(out, m.rejoin()...)
	}
	return out
}

// expireStates declares suspects dead and removes daemons that have been dead
// for long.
func (m *Machine) expireStates(now time.Duration) {
	for _, n := range slices.Clone(m.names) {
		e := m.known[n]
		age := now - e.statusSince
		switch {
		case e.state.Status == Suspect && age >= m.options.SuspicionTimeout:
			s := e.state
			s.Status = Dead
			m.merge(now, s)
		case !e.state.Status.IsLive() && age >= m.options.DeadRetention:
			m.remove(n)
		}
	}
}

func (m *Machine) remove(name string) {
	delete(m.known, name)
	i, _ := slices.BinarySearch(m.names, name)
	m.names = slices.Delete(m.names, i, i+1)
}

// probeRound probes the next daemon on the ring of names, so that each death is
// noticed within one probe interval, and a random one, so that any broken link is
// noticed eventually.
func (m *Machine) probeRound() []Request {
	out := []Request{}
	if !m.hasJoined && len(m.seeds) > 0 {
		out = append(out, m.newJoin(m.seeds[m.rng.IntN(len(m.seeds))], ""))
	} else if m.hasNextPage {
		m.hasNextPage = false
		if n, ok := m.nextRandom(); ok {
			out = append(out, m.newJoin(m.known[n].state.Info.PeerAddress, m.pageAfter))
		}
	}
	next, ok := m.nextOnRing()
	if ok {
		out = append(out, m.newDirectProbe(next))
	}
	if other, found := m.nextRandom(); found && other != next {
		out = append(out, m.newDirectProbe(other))
	}
	return out
}

// nextOnRing returns the live daemon whose name follows this one's.
func (m *Machine) nextOnRing() (string, bool) {
	start, _ := slices.BinarySearch(m.names, m.self.Name)
	for i := range m.names {
		n := m.names[(start+i)%len(m.names)]
		if m.known[n].state.Status.IsLive() {
			return n, true
		}
	}
	return "", false
}

// nextRandom returns the next live daemon in an order that is shuffled for each
// pass.
func (m *Machine) nextRandom() (string, bool) {
	for range 2 {
		for len(m.probeOrder) > 0 {
			n := m.probeOrder[len(m.probeOrder)-1]
			m.probeOrder = m.probeOrder[:len(m.probeOrder)-1]
			if e, ok := m.known[n]; ok && e.state.Status.IsLive() {
				return n, true
			}
		}
		m.probeOrder = slices.Clone(m.names)
		m.rng.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
	}
	return "", false
}

// rejoin contacts one seed that is not live and one dead daemon, which heals
// partitions.
func (m *Machine) rejoin() []Request {
	out := []Request{}
	if !m.hasJoined {
		return out
	}
	if m.listingsLeft > 0 {
		m.listingsLeft--
		m.pageAfter, m.hasNextPage = "", true
	}
	lost := slices.DeleteFunc(slices.Clone(m.seeds), m.isReachable)
	if len(lost) > 0 {
		out = append(out, m.newJoin(lost[m.rng.IntN(len(lost))], ""))
	}
	dead := slices.DeleteFunc(slices.Clone(m.names), func(n string) bool { return m.known[n].state.Status != Dead })
	if len(dead) > 0 {
		out = append(out, m.newDirectProbe(dead[m.rng.IntN(len(dead))]))
	}
	return out
}

// isReachable reports whether a live daemon has the peer address.
func (m *Machine) isReachable(address string) bool {
	return slices.ContainsFunc(m.names, func(n string) bool {
		s := m.known[n].state
		return s.Status.IsLive() && s.Info.PeerAddress == address
	})
}

func (m *Machine) newJoin(address, after string) Request {
	r := m.newRequest(address, m.options.DirectTimeout, "", pendingRequest{isJoin: true})
	r.Join = true
	r.After = after
	return r
}

func (m *Machine) newDirectProbe(name string) Request {
	p := pendingRequest{probe: &probe{target: name, outstanding: 1}}
	return m.newRequest(m.known[name].state.Info.PeerAddress, m.options.DirectTimeout, name, p)
}

func (m *Machine) newRequest(address string, timeout time.Duration, receiver string, p pendingRequest) Request {
	m.nextID++
	m.pending[m.nextID] = p
	return Request{ID: m.nextID, Address: address, Timeout: timeout, Updates: m.selectUpdates(receiver)}
}

// HandleRequest processes a request and returns its reply. If the second result
// is not nil, the caller must send that request first and set the reply's
// TargetAlive to whether it was answered.
func (m *Machine) HandleRequest(now time.Duration, r Request) (Reply, *Request) {
	m.mergeAll(now, r.Updates)
	reply := Reply{TargetAlive: true, Updates: m.selectUpdates(senderName(r.Updates))}
	if r.Join {
		m.addPage(&reply, r.After)
	}
	if r.Target == "" || r.Target == m.self.Name {
		return reply, nil
	}
	reply.TargetAlive = false
	e, ok := m.known[r.Target]
	if !ok {
		return reply, nil
	}
	return reply, &Request{Address: e.state.Info.PeerAddress, Timeout: m.options.DirectTimeout, Updates: m.selectUpdates(r.Target)}
}

func senderName(updates []State) string {
	if len(updates) == 0 {
		return ""
	}
	return updates[0].Name
}

// addPage adds the members after a name.
func (m *Machine) addPage(reply *Reply, after string) {
	i, found := slices.BinarySearch(m.names, after)
	if found {
		i++
	}
	end := min(len(m.names), i+m.options.MaxPageMembers)
	for _, n := range m.names[i:end] {
		reply.Updates = append(reply.Updates, m.known[n].state)
	}
	if end < len(m.names) {
		reply.Next = m.names[end-1]
	}
}

// HandleReply processes the reply to a request and returns the requests to send
// next. A reply to a direct probe from a daemon with another name counts as a
// failure.
func (m *Machine) HandleReply(now time.Duration, id uint64, r Reply) []Request {
	p, ok := m.pending[id]
	if !ok {
		return nil
	}
	if p.isJoin {
		delete(m.pending, id)
		m.mergeAll(now, r.Updates)
		m.hasJoined = true
		m.pageAfter = r.Next
		m.hasNextPage = r.Next != ""
		return nil
	}
	m.mergeAll(now, r.Updates)
	isOtherDaemon := !p.probe.isIndirect && senderName(r.Updates) != p.probe.target
	if !r.TargetAlive || isOtherDaemon {
		return m.HandleFailure(now, id)
	}
	delete(m.pending, id)
	p.probe.outstanding = 0
	return nil
}

// HandleFailure records that a request was not answered within its timeout and
// returns the requests to send next: indirect probes of a daemon that did not
// answer a direct one.
func (m *Machine) HandleFailure(now time.Duration, id uint64) []Request {
	p, ok := m.pending[id]
	delete(m.pending, id)
	if !ok || p.isJoin || p.probe.outstanding == 0 {
		return nil
	}
	p.probe.outstanding--
	if p.probe.outstanding > 0 {
		return nil
	}
	if !p.probe.isIndirect {
		p.probe.isIndirect = true
		if out := m.newIndirectProbes(p.probe); len(out) > 0 {
			return out
		}
	}
	m.markSuspect(now, p.probe.target)
	return nil
}

// newIndirectProbes asks a few random live daemons to probe the target.
func (m *Machine) newIndirectProbes(p *probe) []Request {
	relays := slices.DeleteFunc(slices.Clone(m.names), func(n string) bool {
		return n == p.target || m.known[n].state.Status != Alive
	})
	m.rng.Shuffle(len(relays), func(i, j int) { relays[i], relays[j] = relays[j], relays[i] })
	out := []Request{}
	for _, n := range relays[:min(len(relays), m.options.MaxRelays)] {
		r := m.newRequest(m.known[n].state.Info.PeerAddress, m.options.IndirectTimeout, n, pendingRequest{probe: p})
		r.Target = p.target
		out = append(out, r)
	}
	p.outstanding = len(out)
	return out
}

func (m *Machine) markSuspect(now time.Duration, name string) {
	e, ok := m.known[name]
	if !ok || e.state.Status != Alive {
		return
	}
	s := e.state
	s.Status = Suspect
	m.merge(now, s)
}
