package consensus

import (
	"encoding/binary"
	"errors"
)

// ErrMalformed says that bytes are no message, entry or member list of this
// version.
var ErrMalformed = errors.New("bytes are not a consensus record of a known version; run the same version on all replicas")

// codecVersion is the first byte of each encoded message.
const codecVersion = 1

// maxListed bounds lists in a decoded record before memory is taken for them.
const maxListed = 1 << 20

type writer struct{ b []byte }

func (w *writer) num(v uint64) { w.b = binary.AppendUvarint(w.b, v) }

func (w *writer) bytes(v []byte) {
	w.num(uint64(len(v)))
	w.b = append(w.b, v...)
}

func (w *writer) flag(v bool) {
	if v {
		w.num(1)
		return
	}
	w.num(0)
}

type reader struct {
	b   []byte
	bad bool
}

func (r *reader) num() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.bad = true
		r.b = nil
		return 0
	}
	r.b = r.b[n:]
	return v
}

// bytes returns a copy, so that decoded records don't pin their buffer.
func (r *reader) bytes() []byte {
	n := r.num()
	if n > uint64(len(r.b)) {
		r.bad = true
		return nil
	}
	out := append([]byte(nil), r.b[:n]...)
	r.b = r.b[n:]
	return out
}

func (r *reader) flag() bool { return r.num() == 1 }

func (r *reader) count() int {
	n := r.num()
	if n > maxListed || n > uint64(len(r.b)) {
		r.bad = true
		return 0
	}
	return int(n)
}

func (w *writer) entry(e Entry) {
	w.num(e.Term)
	w.num(e.Index)
	w.num(uint64(e.Kind))
	w.bytes(e.Data)
}

func (r *reader) entry() Entry {
	return Entry{Term: r.num(), Index: r.num(), Kind: EntryKind(r.num()), Data: r.bytes()}
}

func (w *writer) members(list []Member) {
	w.num(uint64(len(list)))
	for _, m := range list {
		w.num(uint64(m.ID))
		w.bytes([]byte(m.Name))
		w.bytes([]byte(m.Address))
		w.flag(m.Learner)
	}
}

func (r *reader) members() []Member {
	out := []Member(nil)
	for range r.count() {
		out = append(out, Member{ID: ID(r.num()), Name: string(r.bytes()), Address: string(r.bytes()), Learner: r.flag()})
	}
	return out
}

func (w *writer) meta(m Meta) {
	w.num(m.Index)
	w.num(m.Term)
	w.num(m.Size)
	w.members(m.Members)
}

func (r *reader) meta() Meta {
	return Meta{Index: r.num(), Term: r.num(), Size: r.num(), Members: r.members()}
}

func (r *reader) finish() error {
	if r.bad || len(r.b) != 0 {
		return ErrMalformed
	}
	return nil
}

// EncodeEntry gives an entry's form on disk.
func EncodeEntry(e Entry) []byte {
	w := writer{b: make([]byte, 0, len(e.Data)+16)}
	w.entry(e)
	return w.b
}

// DecodeEntry reads an entry's form on disk.
func DecodeEntry(b []byte) (Entry, error) {
	r := reader{b: b}
	e := r.entry()
	return e, r.finish()
}

// EncodeHard gives the form on disk.
func EncodeHard(h Hard) []byte {
	w := writer{}
	w.num(h.Term)
	w.num(uint64(h.Vote))
	w.num(uint64(h.Leader))
	return w.b
}

// DecodeHard reads the form on disk.
func DecodeHard(b []byte) (Hard, error) {
	r := reader{b: b}
	h := Hard{Term: r.num(), Vote: ID(r.num())}
	if len(r.b) > 0 {
		// Records of the version before end here: no leader is known.
		h.Leader = ID(r.num())
	}
	return h, r.finish()
}

// EncodeMeta gives the form on disk.
func EncodeMeta(m Meta) []byte {
	w := writer{}
	w.meta(m)
	return w.b
}

// DecodeMeta reads the form on disk.
func DecodeMeta(b []byte) (Meta, error) {
	r := reader{b: b}
	m := r.meta()
	return m, r.finish()
}

// EncodeMembers gives the data of an EntryMembers.
func EncodeMembers(list []Member) []byte {
	w := writer{}
	w.members(list)
	return w.b
}

// DecodeMembers reads the data of an EntryMembers.
func DecodeMembers(b []byte) ([]Member, error) {
	r := reader{b: b}
	list := r.members()
	return list, r.finish()
}

// EncodeMessage gives a message's form on the wire.
func EncodeMessage(m Message) []byte {
	w := writer{b: []byte{codecVersion}}
	for _, v := range []uint64{uint64(m.Kind), uint64(m.From), uint64(m.To), m.Term, m.Index, m.LogTerm, m.Commit, m.Hint, m.Sequence} {
		w.num(v)
	}
	w.flag(m.Reject)
	w.flag(m.Force)
	w.num(uint64(len(m.Entries)))
	for _, e := range m.Entries {
		w.entry(e)
	}
	w.flag(m.Chunk != nil)
	if m.Chunk != nil {
		w.meta(m.Chunk.Meta)
		w.num(m.Chunk.Offset)
		w.num(m.Chunk.Length)
		w.bytes(m.Chunk.Data)
	}
	return w.b
}

// DecodeMessage reads a message's form on the wire.
func DecodeMessage(b []byte) (Message, error) {
	if len(b) == 0 || b[0] != codecVersion {
		return Message{}, ErrMalformed
	}
	r := reader{b: b[1:]}
	m := Message{
		Kind: MessageKind(r.num()), From: ID(r.num()), To: ID(r.num()), Term: r.num(), Index: r.num(),
		LogTerm: r.num(), Commit: r.num(), Hint: r.num(), Sequence: r.num(), Reject: r.flag(), Force: r.flag(),
	}
	for range r.count() {
		m.Entries = append(m.Entries, r.entry())
	}
	if r.flag() {
		m.Chunk = &Chunk{Meta: r.meta(), Offset: r.num(), Length: r.num(), Data: r.bytes()}
	}
	return m, r.finish()
}
