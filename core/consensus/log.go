package consensus

// entryLog is the part of the log that is in memory: all entries after prev.
type entryLog struct {
	// base is the newest snapshot.
	base Meta
	// prevIndex and prevTerm name the entry before entries[0].
	prevIndex uint64
	prevTerm  uint64
	entries   []Entry
	// handed is the last index given out for writing, persisted the last that
	// is synced.
	handed    uint64
	persisted uint64
	commit    uint64
	applied   uint64
}

func newLog(s Saved) entryLog {
	l := entryLog{base: s.Meta, prevIndex: s.Meta.Index, prevTerm: s.Meta.Term, commit: s.Meta.Index, applied: s.Meta.Index}
	for _, e := range s.Entries {
		if e.Index == l.last()+1 {
			l.entries = append(l.entries, e)
		}
	}
	l.handed = l.last()
	l.persisted = l.last()
	return l
}

func (l *entryLog) last() uint64 { return l.prevIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns false where the entry is compacted away or not there yet.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.prevIndex {
		return l.prevTerm, true
	}
	if index < l.prevIndex || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.prevIndex-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// slice returns entries from lo to hi inclusive, at least one, up to about
// limit bytes.
func (l *entryLog) slice(lo, hi uint64, limit int) []Entry {
	if lo > hi || lo <= l.prevIndex {
		return nil
	}
	part := l.entries[lo-l.prevIndex-1 : hi-l.prevIndex]
	size := 0
	for i, e := range part {
		size += len(e.Data)
		if size > limit && i > 0 {
			return part[:i:i]
		}
	}
	return part[:len(part):len(part)]
}

// merge takes a leader's entries that follow a matching entry and returns the
// first index that was overwritten or appended, zero where nothing changed.
func (l *entryLog) merge(entries []Entry) uint64 {
	for i, e := range entries {
		if e.Index <= l.prevIndex || l.matches(e.Index, e.Term) {
			continue
		}
		l.cut(e.Index)
		l.entries = append(l.entries, entries[i:]...)
		return e.Index
	}
	return 0
}

// cut drops the entries from an index on. The backing array is copied, since
// messages may still refer to it.
func (l *entryLog) cut(from uint64) {
	if from > l.last() {
		return
	}
	l.entries = append([]Entry(nil), l.entries[:from-l.prevIndex-1]...)
	l.handed = min(l.handed, from-1)
	l.persisted = min(l.persisted, from-1)
}

// compact drops the entries up to an index.
func (l *entryLog) compact(upTo uint64) {
	if upTo <= l.prevIndex || upTo > l.applied {
		return
	}
	term, _ := l.term(upTo)
	l.entries = append([]Entry(nil), l.entries[upTo-l.prevIndex:]...)
	l.prevIndex = upTo
	l.prevTerm = term
}

// restore replaces everything by a snapshot.
func (l *entryLog) restore(m Meta) {
	*l = entryLog{
		base: m, prevIndex: m.Index, prevTerm: m.Term, handed: m.Index,
		persisted: m.Index, commit: m.Index, applied: m.Index,
	}
}

// conflictHint suggests where a leader may find agreement: before the whole
// term that conflicts, but never below what is committed.
func (l *entryLog) conflictHint(index uint64) uint64 {
	if index > l.last() {
		return l.last()
	}
	term, ok := l.term(index)
	for ok && index > l.commit+1 {
		before, found := l.term(index - 1)
		if !found || before != term {
			break
		}
		index--
	}
	return max(index, 1) - 1
}
