package consensus

import (
	"encoding/binary"
	"errors"
)

// ErrMalformed reports that bytes do not decode as a message, entry, hard
// state, snapshot description or member list of a known version.
var ErrMalformed = errors.New("bytes are not a consensus record of a known version; run the same version on all replicas")

// messageVersion is the first byte of each encoded message.
const messageVersion = 1

// maxListLength limits lists in a decoded record before memory is allocated
// for them.
const maxListLength = 1 << 20

type encoder struct{ buf []byte }

func (w *encoder) uvarint(v uint64) { w.buf = binary.AppendUvarint(w.buf, v) }

func (w *encoder) bytes(v []byte) {
	w.uvarint(uint64(len(v)))
	w.buf = append(w.buf, v...)
}

func (w *encoder) boolean(v bool) {
	if v {
		w.uvarint(1)
		return
	}
	w.uvarint(0)
}

type decoder struct {
	buf       []byte
	malformed bool
}

func (r *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(r.buf)
	if n <= 0 {
		r.malformed = true
		r.buf = nil
		return 0
	}
	r.buf = r.buf[n:]
	return v
}

// bytes returns a copy, so that decoded records do not keep the input buffer
// alive.
func (r *decoder) bytes() []byte {
	n := r.uvarint()
	if n > uint64(len(r.buf)) {
		r.malformed = true
		return nil
	}
	out := append([]byte(nil), r.buf[:n]...)
	r.buf = r.buf[n:]
	return out
}

func (r *decoder) boolean() bool { return r.uvarint() == 1 }

func (r *decoder) listLength() int {
	n := r.uvarint()
	if n > maxListLength || n > uint64(len(r.buf)) {
		r.malformed = true
		return 0
	}
	return int(n)
}

func (w *encoder) entry(e Entry) {
	w.uvarint(e.Term)
	w.uvarint(e.Index)
	w.uvarint(uint64(e.Kind))
	w.bytes(e.Data)
}

func (r *decoder) entry() Entry {
	return Entry{Term: r.uvarint(), Index: r.uvarint(), Kind: EntryKind(r.uvarint()), Data: r.bytes()}
}

func (w *encoder) members(list []Member) {
	w.uvarint(uint64(len(list)))
	for _, m := range list {
		w.uvarint(uint64(m.ID))
		w.bytes([]byte(m.Name))
		w.bytes([]byte(m.Address))
		w.boolean(m.Learner)
	}
}

func (r *decoder) members() []Member {
	out := []Member(nil)
	for range r.listLength() {
		out = append(out, Member{ID: ID(r.uvarint()), Name: string(r.bytes()), Address: string(r.bytes()), Learner: r.boolean()})
	}
	return out
}

func (w *encoder) meta(m SnapshotMeta) {
	w.uvarint(m.Index)
	w.uvarint(m.Term)
	w.uvarint(m.Size)
	w.members(m.Members)
}

func (r *decoder) meta() SnapshotMeta {
	return SnapshotMeta{Index: r.uvarint(), Term: r.uvarint(), Size: r.uvarint(), Members: r.members()}
}

func (r *decoder) checkComplete() error {
	if r.malformed || len(r.buf) != 0 {
		return ErrMalformed
	}
	return nil
}

// EncodeEntry returns the on-disk encoding of an entry.
func EncodeEntry(e Entry) []byte {
	w := encoder{buf: make([]byte, 0, len(e.Data)+16)}
	w.entry(e)
	return w.buf
}

// DecodeEntry decodes EncodeEntry's output. It returns ErrMalformed for other
// input.
func DecodeEntry(b []byte) (Entry, error) {
	r := decoder{buf: b}
	e := r.entry()
	return e, r.checkComplete()
}

// EncodeHardState returns the on-disk encoding of a hard state.
func EncodeHardState(h HardState) []byte {
	w := encoder{}
	w.uvarint(h.Term)
	w.uvarint(uint64(h.VotedFor))
	w.uvarint(uint64(h.Leader))
	return w.buf
}

// DecodeHardState decodes EncodeHardState's output, and that of the previous
// format, which has no leader. It returns ErrMalformed for other input.
func DecodeHardState(b []byte) (HardState, error) {
	r := decoder{buf: b}
	h := HardState{Term: r.uvarint(), VotedFor: ID(r.uvarint())}
	if len(r.buf) > 0 {
		// Records of the previous format end here, without a leader.
		h.Leader = ID(r.uvarint())
	}
	return h, r.checkComplete()
}

// EncodeSnapshotMeta returns the on-disk encoding of a snapshot description.
func EncodeSnapshotMeta(m SnapshotMeta) []byte {
	w := encoder{}
	w.meta(m)
	return w.buf
}

// DecodeSnapshotMeta decodes EncodeSnapshotMeta's output. It returns
// ErrMalformed for other input.
func DecodeSnapshotMeta(b []byte) (SnapshotMeta, error) {
	r := decoder{buf: b}
	m := r.meta()
	return m, r.checkComplete()
}

// EncodeMembers returns the data of an EntryMembers entry.
func EncodeMembers(list []Member) []byte {
	w := encoder{}
	w.members(list)
	return w.buf
}

// DecodeMembers decodes the data of an EntryMembers entry. It returns
// ErrMalformed for other input.
func DecodeMembers(b []byte) ([]Member, error) {
	r := decoder{buf: b}
	list := r.members()
	return list, r.checkComplete()
}

// EncodeMessage returns the wire encoding of a message.
func EncodeMessage(m Message) []byte {
	w := encoder{buf: []byte{messageVersion}}
	for _, v := range []uint64{uint64(m.Kind), uint64(m.From), uint64(m.To), m.Term, m.Index, m.LogTerm, m.Commit, m.Hint, m.Sequence} {
		w.uvarint(v)
	}
	w.boolean(m.Reject)
	w.boolean(m.Force)
	w.uvarint(uint64(len(m.Entries)))
	for _, e := range m.Entries {
		w.entry(e)
	}
	w.boolean(m.Chunk != nil)
	if m.Chunk != nil {
		w.meta(m.Chunk.Meta)
		w.uvarint(m.Chunk.Offset)
		w.uvarint(m.Chunk.Length)
		w.bytes(m.Chunk.Data)
	}
	return w.buf
}

// DecodeMessage decodes EncodeMessage's output. It returns ErrMalformed for
// other input.
func DecodeMessage(b []byte) (Message, error) {
	if len(b) == 0 || b[0] != messageVersion {
		return Message{}, ErrMalformed
	}
	r := decoder{buf: b[1:]}
	m := Message{
		Kind: MessageKind(r.uvarint()), From: ID(r.uvarint()), To: ID(r.uvarint()), Term: r.uvarint(), Index: r.uvarint(),
		LogTerm: r.uvarint(), Commit: r.uvarint(), Hint: r.uvarint(), Sequence: r.uvarint(), Reject: r.boolean(), Force: r.boolean(),
	}
	for range r.listLength() {
		m.Entries = append(m.Entries, r.entry())
	}
	if r.boolean() {
		m.Chunk = &Chunk{Meta: r.meta(), Offset: r.uvarint(), Length: r.uvarint(), Data: r.bytes()}
	}
	return m, r.checkComplete()
}
