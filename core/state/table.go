package state

// Publish replaces the route table where its version is higher than that of
// the table held. A table of the same or a lower version changes nothing, so
// that a publication may be sent again at any time.
type Publish struct {
	Version uint64 `json:"version"`
	// Table is a routes.Table as compressed JSON; the log does not read it.
	Table []byte `json:"table"`
	// Source is the document that the operator sent, compressed, for reading
	// back.
	Source []byte `json:"source,omitempty"`
}

func (m *Machine) publish(p *Publish) Result {
	if p.Version == 0 || len(p.Table) == 0 {
		return Result{Status: Invalid}
	}
	if p.Version <= m.table.Version {
		return Result{Status: Superseded, Version: m.table.Version}
	}
	m.table = *p
	return Result{Status: OK, Version: p.Version}
}

// Table returns the route table in force, which the caller must not change;
// its version is zero where none was published.
func (m *Machine) Table() Publish { return m.table }
