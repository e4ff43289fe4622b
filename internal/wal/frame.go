package wal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A frame is the unit of one write, so that a torn write damages only the last
// frame. Its layout is:
//
//	magic    4 bytes, including the format version
//	length   4 bytes, of the payload
//	sequence 8 bytes, one more than that of the previous frame
//	checksum 4 bytes, CRC-32C over length, sequence and payload
//	payload
//
// Numbers are little endian.
const (
	frameHeaderBytes = 20
	// maxPayloadBytes limits the payload of a frame.
	maxPayloadBytes = 1 << 30
)

var (
	frameMagic = []byte{'V', 'B', 'L', 1}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

func appendFrame(b []byte, sequence uint64, payload []byte) []byte {
	head := make([]byte, frameHeaderBytes)
	copy(head, frameMagic)
	binary.LittleEndian.PutUint32(head[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(head[8:], sequence)
	binary.LittleEndian.PutUint32(head[16:], frameChecksum(head, payload))
	return append(append(b, head...), payload...)
}

func frameChecksum(head, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(head[4:16], castagnoli), castagnoli, payload)
}

// frame is a decoded frame.
type frame struct {
	sequence uint64
	payload  []byte
	// end is the offset after the frame.
	end int
}

// readFrame decodes the frame at an offset. It returns false if no complete
// valid frame starts there.
func readFrame(b []byte, offset int) (frame, bool) {
	if len(b)-offset < frameHeaderBytes || !bytes.Equal(b[offset:offset+len(frameMagic)], frameMagic) {
		return frame{}, false
	}
	head := b[offset : offset+frameHeaderBytes]
	length := int(binary.LittleEndian.Uint32(head[4:]))
	if length > maxPayloadBytes || length > len(b)-offset-frameHeaderBytes {
		return frame{}, false
	}
	f := frame{sequence: binary.LittleEndian.Uint64(head[8:]), end: offset + frameHeaderBytes + length}
	f.payload = b[offset+frameHeaderBytes : f.end]
	return f, binary.LittleEndian.Uint32(head[16:]) == frameChecksum(head, f.payload)
}

// readFrames returns the leading valid frames and the offset after the last of
// them. Any bytes after that offset are a torn write, unless a valid frame
// follows later: then the file is damaged in the middle and the error is a
// *CorruptError.
func readFrames(path string, b []byte) ([]frame, int, error) {
	out := []frame{}
	offset := 0
	for offset < len(b) {
		f, ok := readFrame(b, offset)
		if !ok {
			return out, offset, checkNoLaterFrame(path, b, offset)
		}
		out = append(out, f)
		offset = f.end
	}
	return out, offset, nil
}

func checkNoLaterFrame(path string, b []byte, damagedAt int) error {
	for at := damagedAt + 1; at < len(b); at++ {
		next := bytes.Index(b[at:], frameMagic)
		if next < 0 {
			return nil
		}
		at += next
		if _, ok := readFrame(b, at); ok {
			return &CorruptError{File: path, Offset: int64(damagedAt), Reason: fmt.Sprintf("the record is damaged, yet a valid one follows at %d", at)}
		}
	}
	return nil
}
