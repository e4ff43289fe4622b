package consensus

// entryLog holds the part of the log in memory: all entries after prevIndex.
type entryLog struct {
	// snapshot describes the newest snapshot on disk.
	snapshot Meta
	// prevIndex and prevTerm identify the entry before entries[0].
	prevIndex uint64
	prevTerm  uint64
	entries   []Entry
	// emitted is the last index returned for writing, persisted the last that
	// is synced.
	emitted      uint64
	persisted    uint64
	commitIndex  uint64
	appliedIndex uint64
}

func newEntryLog(s StoredState) entryLog {
	l := entryLog{snapshot: s.Meta, prevIndex: s.Meta.Index, prevTerm: s.Meta.Term, commitIndex: s.Meta.Index, appliedIndex: s.Meta.Index}
	for _, e := range s.Entries {
		if e.Index == l.lastIndex()+1 {
			l.entries = append(l.entries, e)
		}
	}
	l.emitted = l.lastIndex()
	l.persisted = l.lastIndex()
	return l
}

func (l *entryLog) lastIndex() uint64 { return l.prevIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of an entry, and false if the entry is compacted or
// does not exist yet.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.prevIndex {
		return l.prevTerm, true
	}
	if index < l.prevIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.prevIndex-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// slice returns the entries from lo to hi inclusive, as many as fit into limit
// bytes but at least one. It returns nil if lo is past hi or compacted.
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

// merge adds a leader's entries that follow a matching entry. It returns the
// first index that was overwritten or appended, zero if nothing changed.
func (l *entryLog) merge(entries []Entry) uint64 {
	for i, e := range entries {
		if e.Index <= l.prevIndex || l.matches(e.Index, e.Term) {
			continue
		}
		l.truncate(e.Index)
		l.entries = append(l.entries, entries[i:]...)
		return e.Index
	}
	return 0
}

// truncate removes the entries from an index on. It copies the backing array
// because messages may still refer to it.
func (l *entryLog) truncate(firstIndex uint64) {
	if firstIndex > l.lastIndex() {
		return
	}
	l.entries = append([]Entry(nil), l.entries[:firstIndex-l.prevIndex-1]...)
	l.emitted = min(l.emitted, firstIndex-1)
	l.persisted = min(l.persisted, firstIndex-1)
}

// compact removes the entries up to an applied index.
func (l *entryLog) compact(upTo uint64) {
	if upTo <= l.prevIndex || upTo > l.appliedIndex {
		return
	}
	term, _ := l.term(upTo)
	l.entries = append([]Entry(nil), l.entries[upTo-l.prevIndex:]...)
	l.prevIndex = upTo
	l.prevTerm = term
}

// restore replaces the whole log by a snapshot.
func (l *entryLog) restore(m Meta) {
	*l = entryLog{
		snapshot: m, prevIndex: m.Index, prevTerm: m.Term, emitted: m.Index,
		persisted: m.Index, commitIndex: m.Index, appliedIndex: m.Index,
	}
}

// conflictHint returns the index that the leader should try next after a
// mismatch at index: the one before all entries of the conflicting term, but
// never below the commit index.
func (l *entryLog) conflictHint(index uint64) uint64 {
	if index > l.lastIndex() {
		return l.lastIndex()
	}
	term, ok := l.term(index)
	for ok && index > l.commitIndex+1 {
		before, found := l.term(index - 1)
		if !found || before != term {
			break
		}
		index--
	}
	return max(index, 1) - 1
}
