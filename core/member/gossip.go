package member

import (
	"slices"
	"time"
)

// updates chooses what a message carries: this daemon's own state, what the
// receiver must know of itself, the freshest news, and one random state, which
// repairs what got lost.
func (m *Machine) updates(receiver string) []State {
	out := []State{m.self}
	taken := map[string]bool{}
	add := func(e *entry) {
		if len(out) < m.opt.Updates && !taken[e.state.Name] {
			taken[e.state.Name] = true
			out = append(out, e.state)
		}
	}
	if e, ok := m.known[receiver]; ok && e.state.Status != Alive {
		add(e)
	}
	for _, e := range m.news() {
		add(e)
		e.spread--
	}
	if len(m.names) > 0 {
		add(m.known[m.names[m.rng.IntN(len(m.names))]])
	}
	return out
}

// news lists the states to pass on, those told least often first.
func (m *Machine) news() []*entry {
	out := []*entry{}
	for _, n := range m.names {
		if e := m.known[n]; e.spread > 0 {
			out = append(out, e)
		}
	}
	slices.SortStableFunc(out, func(a, b *entry) int { return b.spread - a.spread })
	return out[:min(len(out), m.opt.Updates-2)]
}

func (m *Machine) learnAll(now time.Duration, states []State) {
	for _, s := range states {
		if s.Name == m.self.Name {
			m.learnSelf(s)
			continue
		}
		m.learn(now, s)
	}
}

// learnSelf refutes what others say of this daemon, unless another daemon uses
// its name.
func (m *Machine) learnSelf(s State) {
	if s.Info.Peers != m.self.Info.Peers {
		m.changes = append(m.changes, Change{State: s, Conflict: s.Status.Live(), Known: true})
		return
	}
	if m.self.Status == Left {
		return
	}
	stale := s.Incarnation == m.self.Incarnation && s.Status == Alive
	if s.Incarnation >= m.self.Incarnation && !stale {
		m.raise(s.Incarnation)
	}
}

// learn takes a state that is newer than the known one.
func (m *Machine) learn(now time.Duration, s State) {
	e, ok := m.known[s.Name]
	if !ok {
		m.insert(now, s)
		return
	}
	if s.overrides(e.state) {
		if s.Status != e.state.Status || s.Info.Peers != e.state.Info.Peers {
			m.changes = append(m.changes, Change{State: s, Before: e.state.Status, Known: true})
		}
		if s.Status != e.state.Status {
			e.since = now
		}
		e.state = s
		e.spread = Spread(len(m.names) + 1)
		return
	}
	if s.Incarnation == e.state.Incarnation && s.Beat > e.state.Beat {
		e.state.Beat, e.state.Info = s.Beat, s.Info
	}
}

func (m *Machine) insert(now time.Duration, s State) {
	if s.Name == "" {
		return
	}
	i, _ := slices.BinarySearch(m.names, s.Name)
	m.names = slices.Insert(m.names, i, s.Name)
	m.known[s.Name] = &entry{state: s, since: now, spread: Spread(len(m.names) + 1)}
	m.changes = append(m.changes, Change{State: s})
}
