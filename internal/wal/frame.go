package wal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A frame is what one write puts on disk, so that a torn write spoils exactly
// one frame, and the last:
//
//	magic    4 bytes, with the format's version
//	length   4 bytes, of the payload
//	sequence 8 bytes, one more than the frame before
//	checksum 4 bytes, CRC-32C over length, sequence and payload
//	payload
//
// Numbers are little endian.
const (
	frameHeader = 20
	// maxFrame bounds a payload in bytes.
	maxFrame = 1 << 30
)

var (
	frameMagic = []byte{'V', 'B', 'L', 1}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

func appendFrame(b []byte, sequence uint64, payload []byte) []byte {
	head := make([]byte, frameHeader)
	copy(head, frameMagic)
	binary.LittleEndian.PutUint32(head[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(head[8:], sequence)
	binary.LittleEndian.PutUint32(head[16:], frameSum(head, payload))
	return append(append(b, head...), payload...)
}

func frameSum(head, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(head[4:16], castagnoli), castagnoli, payload)
}

// frame is one decoded frame.
type frame struct {
	sequence uint64
	payload  []byte
	// end is the offset after it.
	end int
}

// readFrame returns false where no whole valid frame begins at the offset.
func readFrame(b []byte, offset int) (frame, bool) {
	if len(b)-offset < frameHeader || !bytes.Equal(b[offset:offset+len(frameMagic)], frameMagic) {
		return frame{}, false
	}
	head := b[offset : offset+frameHeader]
	length := int(binary.LittleEndian.Uint32(head[4:]))
	if length > maxFrame || length > len(b)-offset-frameHeader {
		return frame{}, false
	}
	f := frame{sequence: binary.LittleEndian.Uint64(head[8:]), end: offset + frameHeader + length}
	f.payload = b[offset+frameHeader : f.end]
	return f, binary.LittleEndian.Uint32(head[16:]) == frameSum(head, f.payload)
}

// readFrames returns the valid frames and the offset after the last. What
// follows that offset is a torn write, unless a later valid frame shows that
// the damage lies in the middle: then the error is a *CorruptError.
func readFrames(path string, b []byte) ([]frame, int, error) {
	out := []frame{}
	offset := 0
	for offset < len(b) {
		f, ok := readFrame(b, offset)
		if !ok {
			return out, offset, findLater(path, b, offset)
		}
		out = append(out, f)
		offset = f.end
	}
	return out, offset, nil
}

func findLater(path string, b []byte, bad int) error {
	for at := bad + 1; at < len(b); at++ {
		next := bytes.Index(b[at:], frameMagic)
		if next < 0 {
			return nil
		}
		at += next
		if _, ok := readFrame(b, at); ok {
			return &CorruptError{File: path, Offset: int64(bad), Reason: fmt.Sprintf("the record is damaged, yet a valid one follows at %d", at)}
		}
	}
	return nil
}
