package member

import (
	"slices"
	"time"
)

// selectUpdates chooses the states of a message: this daemon's own, that of the
// receiver unless it is alive, so that it can refute, the least transmitted
// updates, and one random state, which repairs losses.
func (m *Machine) selectUpdates(receiver string) []State {
	out := []State{m.self}
	selected := map[string]bool{}
	add := func(e *memberRecord) {
		if len(out) < m.options.MaxUpdates && !selected[e.state.Name] {
			selected[e.state.Name] = true
			out = append(out, e.state)
		}
	}
	if e, ok := m.known[receiver]; ok && e.state.Status != Alive {
		add(e)
	}
	for _, e := range m.pendingUpdates() {
		add(e)
		e.transmitsLeft--
	}
	if len(m.names) > 0 {
		add(m.known[m.names[m.rng.IntN(len(m.names))]])
	}
	return out
}

// pendingUpdates returns the states to send, the least transmitted ones first.
func (m *Machine) pendingUpdates() []*memberRecord {
	out := []*memberRecord{}
	for _, n := range m.names {
		if e := m.known[n]; e.transmitsLeft > 0 {
			out = append(out, e)
		}
	}
	slices.SortStableFunc(out, func(a, b *memberRecord) int { return b.transmitsLeft - a.transmitsLeft })
	return out[:min(len(out), m.options.MaxUpdates-2)]
}

func (m *Machine) mergeAll(now time.Duration, states []State) {
	for _, s := range states {
		if s.Name == m.self.Name {
			m.refute(s)
			continue
		}
		m.merge(now, s)
	}
}

// refute answers a wrong state of this daemon with a higher incarnation. A
// state with another peer address is a name conflict: it is reported and not
// refuted, so that the two daemons do not raise their incarnations
// in turn.
func (m *Machine) refute(s State) {
	if s.Info.PeerAddress != m.self.Info.PeerAddress {
		m.events = append(m.events, Event{State: s, Conflict: s.Status.IsLive(), Known: true})
		return
	}
	if m.self.Status == Left {
		return
	}
	isAccurate := s.Incarnation == m.self.Incarnation && s.Status == Alive
	if s.Incarnation >= m.self.Incarnation && !isAccurate {
		m.raiseIncarnation(s.Incarnation)
	}
}

// merge stores a state if it is newer than the known one.
func (m *Machine) merge(now time.Duration, s State) {
	e, ok := m.known[s.Name]
	if !ok {
		m.insert(now, s)
		return
	}
	if s.supersedes(e.state) {
		if s.Status != e.state.Status || s.Info.PeerAddress != e.state.Info.PeerAddress {
			m.events = append(m.events, Event{State: s, PreviousStatus: e.state.Status, Known: true})
		}
		if s.Status != e.state.Status {
			e.statusSince = now
		}
		e.state = s
		e.transmitsLeft = TransmitLimit(len(m.names) + 1)
		return
	}
	if s.Incarnation == e.state.Incarnation && s.InfoVersion > e.state.InfoVersion {
		e.state.InfoVersion, e.state.Info = s.InfoVersion, s.Info
	}
}

func (m *Machine) insert(now time.Duration, s State) {
	if s.Name == "" {
		return
	}
	i, _ := slices.BinarySearch(m.names, s.Name)
	m.names = slices.Insert(m.names, i, s.Name)
	m.known[s.Name] = &memberRecord{state: s, statusSince: now, transmitsLeft: TransmitLimit(len(m.names) + 1)}
	m.events = append(m.events, Event{State: s})
}
