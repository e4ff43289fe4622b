package state

// Publish replaces the route table if its version is higher than that of the
// table in force. A table of the same or a lower version changes nothing, so
// that a publication may be resent at any time.
type Publish struct {
	Version uint64 `json:"version"`
	// Table is a routes.Table as compressed JSON, opaque to this package.
	Table []byte `json:"table"`
	// Source is the document that the operator sent, compressed, so that it can
	// be read back.
	Source []byte `json:"source,omitempty"`
}

func (m *Machine) applyPublish(p *Publish) Result {
	if p.Version == 0 || len(p.Table) == 0 {
		return Result{Status: Invalid}
	}
	if p.Version <= m.table.Version {
		return Result{Status: Superseded, Version: m.table.Version}
	}
	m.table = *p
	return Result{Status: OK, Version: p.Version}
}

// Table returns the route table in force; its version is zero if none was
// published. The caller must not change its contents.
func (m *Machine) Table() Publish { return m.table }
