package routes

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
)

// maxDecompressedBytes bounds the result of Decompress. It is larger than any
// document that the control daemons accept.
const maxDecompressedBytes = 64 << 20

// DecodeError reports that a stored document can't be decoded.
type DecodeError struct{ Cause error }

// Error returns the cause and the remedy.
func (e *DecodeError) Error() string {
	return fmt.Sprintf("the stored document is not readable: %v; publish it again with a higher version", e.Cause)
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// Compress compresses a document with DEFLATE.
func Compress(data []byte) ([]byte, error) {
	out := bytes.Buffer{}
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// Decompress returns a document that Compress compressed. It returns a
// *DecodeError if the data is truncated or corrupt.
func Decompress(compressed []byte) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxDecompressedBytes))
	if err != nil {
		return nil, &DecodeError{Cause: err}
	}
	return data, nil
}

// Encode returns a table as compressed JSON.
func Encode(t *Table) ([]byte, error) {
	data, err := json.Marshal(t)
	if err != nil {
		return nil, err
	}
	return Compress(data)
}

// Decode returns a table that Encode encoded, or a *DecodeError.
func Decode(compressed []byte) (*Table, error) {
	data, err := Decompress(compressed)
	if err != nil {
		return nil, err
	}
	t := &Table{}
	if err := json.Unmarshal(data, t); err != nil {
		return nil, &DecodeError{Cause: err}
	}
	return t, nil
}
