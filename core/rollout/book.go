package rollout

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// maxReasonBytes bounds the reason of a record.
const maxReasonBytes = 400

// Book holds the last rollout of each pool. Its zero value is empty and ready to use. It is
// encoded as the JSON list of its records.
type Book struct {
	records map[string]Record
}

// Start applies an order and returns the record in force. Another order than the running
// one is a Conflict.
func (b *Book) Start(s Start) (Record, Status) {
	if s.Pool == "" || s.Target == "" || s.Duration <= 0 {
		return Record{}, Invalid
	}
	old, known := b.records[s.Pool]
	if known && old.Target == s.Target && old.Duration == s.Duration {
		return old, OK
	}
	if old.Running() {
		return old, Conflict
	}
	r := Record{Pool: s.Pool, Target: s.Target, Number: old.Number + 1, Phase: Trial, Duration: s.Duration}
	if s.Complete {
		r.Phase, r.Reason = Completed, reasonOnlyVersion
	}
	b.set(r)
	return r, OK
}

// Advance raises the record of a rollout and returns it. It never lowers a field, and a
// final record does not change.
func (b *Book) Advance(a Advance) (Record, Status) {
	r, known := b.records[a.Pool]
	if !known || a.Phase.order() == 0 {
		return r, Invalid
	}
	if a.Number != r.Number {
		return r, Conflict
	}
	if !r.Running() {
		if a.Phase.IsFinal() && a.Phase != r.Phase {
			return r, Conflict
		}
		return r, OK
	}
	if a.Term != 0 && a.Term < r.Term {
		return r, Conflict
	}
	r.Term = max(r.Term, a.Term)
	if a.Elapsed >= r.Elapsed && !a.Phase.IsFinal() {
		r.Evidence = a.Evidence
	}
	r.Elapsed = max(r.Elapsed, a.Elapsed)
	r.Requests = max(r.Requests, a.Requests)
	r.Reserved = max(r.Reserved, a.Reserved)
	if a.Phase.order() > r.Phase.order() {
		r.Phase = a.Phase
	}
	if r.Phase.IsFinal() {
		r.Reason = strings.ToValidUTF8(a.Reason[:min(len(a.Reason), maxReasonBytes)], "")
	}
	b.set(r)
	return r, OK
}

func (b *Book) set(r Record) {
	if b.records == nil {
		b.records = map[string]Record{}
	}
	b.records[r.Pool] = r
}

// Record returns the last record of a pool, and false if there was no order for it.
func (b *Book) Record(pool string) (Record, bool) {
	r, ok := b.records[pool]
	return r, ok
}

// Records returns the last record of each pool, ordered by pool.
func (b *Book) Records() []Record {
	out := make([]Record, 0, len(b.records))
	for _, pool := range slices.Sorted(maps.Keys(b.records)) {
		out = append(out, b.records[pool])
	}
	return out
}

// Clone returns an independent copy.
func (b *Book) Clone() *Book { return &Book{records: maps.Clone(b.records)} }

// MarshalJSON implements json.Marshaler.
func (b *Book) MarshalJSON() ([]byte, error) { return json.Marshal(b.Records()) }

// UnmarshalJSON implements json.Unmarshaler. It returns an error and changes nothing if a
// record is not usable.
func (b *Book) UnmarshalJSON(data []byte) error {
	list := []Record{}
	if err := json.Unmarshal(data, &list); err != nil {
		return err
	}
	records := map[string]Record{}
	for _, r := range list {
		_, duplicate := records[r.Pool]
		if r.Pool == "" || r.Number == 0 || r.Phase.order() == 0 || duplicate {
			return fmt.Errorf("rollout of pool %q is not readable: number %d, phase %q, duplicate %t; restore the state from another replica", r.Pool, r.Number, r.Phase, duplicate)
		}
		records[r.Pool] = r
	}
	b.records = records
	return nil
}
