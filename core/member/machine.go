package member

import (
	"math/rand/v2"
	"slices"
	"time"
)

// entry is a known daemon.
type entry struct {
	state State
	// since is when its status began.
	since time.Duration
	// spread is how often its news must still be passed on.
	spread int
}

// probe is a check of one daemon, first direct, then through others.
type probe struct {
	target  string
	waiting int
	relayed bool
}

// walksAfterJoin is how often a daemon reads the list again after joining.
const walksAfterJoin = 3

// pending is a request on its way.
type pending struct {
	// probe is nil for a join.
	probe *probe
	join  bool
}

// Machine is one daemon's view of the fleet. It isn't safe for concurrent use.
type Machine struct {
	opt   Options
	rng   *rand.Rand
	self  State
	seeds []string

	known map[string]*entry
	// names are those of known, sorted.
	names   []string
	order   []string
	pending map[uint64]pending
	nextID  uint64
	changes []Change

	joined bool
	// walks is how often the list is still read again after joining, for what
	// the seed itself didn't know when many daemons start at once.
	walks      int
	after      string
	paging     bool
	nextRound  time.Duration
	nextRejoin time.Duration
}

// New returns the machine of a daemon that knows only itself and its seeds'
// addresses.
func New(self State, seeds []string, opt Options, rng *rand.Rand) *Machine {
	others := slices.DeleteFunc(slices.Clone(seeds), func(a string) bool { return a == self.Info.Peers })
	return &Machine{
		opt: opt, rng: rng, self: self, seeds: others, joined: len(others) == 0,
		walks: walksAfterJoin,
		known: map[string]*entry{}, pending: map[uint64]pending{},
	}
}

// Self returns the daemon's own state.
func (m *Machine) Self() State { return m.self }

// Update replaces what the daemon says of itself. Leaving is news for all; the
// rest spreads with ordinary messages.
func (m *Machine) Update(i Info) {
	if i == m.self.Info {
		return
	}
	if i.Leaving != m.self.Info.Leaving {
		m.raise(m.self.Incarnation)
	}
	m.self.Beat++
	m.self.Info = i
}

// Leave marks the daemon as gone; its last messages tell the others.
func (m *Machine) Leave() {
	m.raise(m.self.Incarnation)
	m.self.Status = Left
}

// Farewell returns the last requests of a daemon that left; their replies
// don't matter.
func (m *Machine) Farewell() []Request {
	out := []Request{}
	for range m.opt.Relays {
		if n, ok := m.random(); ok {
			out = append(out, m.direct(n))
		}
	}
	return out
}

// raise takes an incarnation above one.
func (m *Machine) raise(above uint64) {
	m.self.Incarnation = max(m.self.Incarnation, above) + 1
	m.self.Beat = 0
}

// Members returns the known daemons by name, without this one.
func (m *Machine) Members() []State {
	out := make([]State, 0, len(m.names))
	for _, n := range m.names {
		out = append(out, m.known[n].state)
	}
	return out
}

// Find returns a known daemon.
func (m *Machine) Find(name string) (State, bool) {
	e, ok := m.known[name]
	if !ok {
		return State{}, false
	}
	return e.state, true
}

// Changes returns what happened since the last call.
func (m *Machine) Changes() []Change {
	out := m.changes
	m.changes = nil
	return out
}

// Tick returns the requests that are due.
func (m *Machine) Tick(now time.Duration) []Request {
	m.expire(now)
	out := []Request{}
	if now >= m.nextRound {
		m.nextRound = now + m.opt.Period
		out = append(out, m.round()...)
	}
	if now >= m.nextRejoin {
		m.nextRejoin = now + m.opt.Rejoin
		out = append(out, m.rejoin()...)
	}
	return out
}

// expire declares suspects dead and forgets the dead.
func (m *Machine) expire(now time.Duration) {
	for _, n := range slices.Clone(m.names) {
		e := m.known[n]
		age := now - e.since
		switch {
		case e.state.Status == Suspect && age >= m.opt.Suspicion:
			s := e.state
			s.Status = Dead
			m.learn(now, s)
		case !e.state.Status.Live() && age >= m.opt.Forget:
			m.forget(n)
		}
	}
}

func (m *Machine) forget(name string) {
	delete(m.known, name)
	i, _ := slices.BinarySearch(m.names, name)
	m.names = slices.Delete(m.names, i, i+1)
}

// round probes the next daemon on the ring of names, so that each death is
// noticed within one period, and a random one, so that any broken link is.
func (m *Machine) round() []Request {
	out := []Request{}
	if !m.joined && len(m.seeds) > 0 {
		out = append(out, m.join(m.seeds[m.rng.IntN(len(m.seeds))], ""))
	} else if m.paging {
		m.paging = false
		if n, ok := m.random(); ok {
			out = append(out, m.join(m.known[n].state.Info.Peers, m.after))
		}
	}
	next, ok := m.successor()
	if ok {
		out = append(out, m.direct(next))
	}
	if other, found := m.random(); found && other != next {
		out = append(out, m.direct(other))
	}
	return out
}

// successor is the live daemon whose name follows this one's.
func (m *Machine) successor() (string, bool) {
	start, _ := slices.BinarySearch(m.names, m.self.Name)
	for i := range m.names {
		n := m.names[(start+i)%len(m.names)]
		if m.known[n].state.Status.Live() {
			return n, true
		}
	}
	return "", false
}

// random walks through the live daemons in an order shuffled anew each time.
func (m *Machine) random() (string, bool) {
	for range 2 {
		for len(m.order) > 0 {
			n := m.order[len(m.order)-1]
			m.order = m.order[:len(m.order)-1]
			if e, ok := m.known[n]; ok && e.state.Status.Live() {
				return n, true
			}
		}
		m.order = slices.Clone(m.names)
		m.rng.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
	}
	return "", false
}

// rejoin tries one lost seed and one daemon believed dead.
func (m *Machine) rejoin() []Request {
	out := []Request{}
	if !m.joined {
		return out
	}
	if m.walks > 0 {
		m.walks--
		m.after, m.paging = "", true
	}
	lost := slices.DeleteFunc(slices.Clone(m.seeds), m.reached)
	if len(lost) > 0 {
		out = append(out, m.join(lost[m.rng.IntN(len(lost))], ""))
	}
	dead := slices.DeleteFunc(slices.Clone(m.names), func(n string) bool { return m.known[n].state.Status != Dead })
	if len(dead) > 0 {
		out = append(out, m.direct(dead[m.rng.IntN(len(dead))]))
	}
	return out
}

// reached tells whether a live daemon has a peers' address.
func (m *Machine) reached(address string) bool {
	return slices.ContainsFunc(m.names, func(n string) bool {
		s := m.known[n].state
		return s.Status.Live() && s.Info.Peers == address
	})
}

func (m *Machine) join(address, after string) Request {
	r := m.request(address, m.opt.Direct, "", pending{join: true})
	r.Join = true
	r.After = after
	return r
}

func (m *Machine) direct(name string) Request {
	p := pending{probe: &probe{target: name, waiting: 1}}
	return m.request(m.known[name].state.Info.Peers, m.opt.Direct, name, p)
}

func (m *Machine) request(address string, timeout time.Duration, receiver string, p pending) Request {
	m.nextID++
	m.pending[m.nextID] = p
	return Request{ID: m.nextID, To: address, Timeout: timeout, Updates: m.updates(receiver)}
}

// Receive answers a request. Where the second result isn't nil, the caller
// sends it first and sets the reply's Alive to whether it was answered.
func (m *Machine) Receive(now time.Duration, r Request) (Reply, *Request) {
	m.learnAll(now, r.Updates)
	reply := Reply{Alive: true, Updates: m.updates(sender(r.Updates))}
	if r.Join {
		m.page(&reply, r.After)
	}
	if r.Target == "" || r.Target == m.self.Name {
		return reply, nil
	}
	reply.Alive = false
	e, ok := m.known[r.Target]
	if !ok {
		return reply, nil
	}
	return reply, &Request{To: e.state.Info.Peers, Timeout: m.opt.Direct, Updates: m.updates(r.Target)}
}

func sender(updates []State) string {
	if len(updates) == 0 {
		return ""
	}
	return updates[0].Name
}

// page adds the members after a name.
func (m *Machine) page(reply *Reply, after string) {
	i, found := slices.BinarySearch(m.names, after)
	if found {
		i++
	}
	end := min(len(m.names), i+m.opt.Page)
	for _, n := range m.names[i:end] {
		reply.Updates = append(reply.Updates, m.known[n].state)
	}
	if end < len(m.names) {
		reply.Next = m.names[end-1]
	}
}

// Acked takes the reply to a request and returns what to send next. A reply
// that another daemon than the one probed gave counts as none.
func (m *Machine) Acked(now time.Duration, id uint64, r Reply) []Request {
	p, ok := m.pending[id]
	if !ok {
		return nil
	}
	if p.join {
		delete(m.pending, id)
		m.learnAll(now, r.Updates)
		m.joined = true
		m.after = r.Next
		m.paging = r.Next != ""
		return nil
	}
	m.learnAll(now, r.Updates)
	other := !p.probe.relayed && sender(r.Updates) != p.probe.target
	if !r.Alive || other {
		return m.Failed(now, id)
	}
	delete(m.pending, id)
	p.probe.waiting = 0
	return nil
}

// Failed reports that a request had no reply in time and returns what to send
// next: questions to others about a daemon that didn't answer.
func (m *Machine) Failed(now time.Duration, id uint64) []Request {
	p, ok := m.pending[id]
	delete(m.pending, id)
	if !ok || p.join || p.probe.waiting == 0 {
		return nil
	}
	p.probe.waiting--
	if p.probe.waiting > 0 {
		return nil
	}
	if !p.probe.relayed {
		p.probe.relayed = true
		if out := m.relay(p.probe); len(out) > 0 {
			return out
		}
	}
	m.suspect(now, p.probe.target)
	return nil
}

// relay asks a few random daemons to probe the target.
func (m *Machine) relay(p *probe) []Request {
	helpers := slices.DeleteFunc(slices.Clone(m.names), func(n string) bool {
		return n == p.target || m.known[n].state.Status != Alive
	})
	m.rng.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	out := []Request{}
	for _, n := range helpers[:min(len(helpers), m.opt.Relays)] {
		r := m.request(m.known[n].state.Info.Peers, m.opt.Indirect, n, pending{probe: p})
		r.Target = p.target
		out = append(out, r)
	}
	p.waiting = len(out)
	return out
}

func (m *Machine) suspect(now time.Duration, name string) {
	e, ok := m.known[name]
	if !ok || e.state.Status != Alive {
		return
	}
	s := e.state
	s.Status = Suspect
	m.learn(now, s)
}
