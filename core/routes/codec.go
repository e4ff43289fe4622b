package routes

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
)

// maxUnpacked bounds what Unpack returns, in bytes: no document that is taken
// is as large.
const maxUnpacked = 64 << 20

// DecodeError says that stored bytes can't be read.
type DecodeError struct{ Cause error }

// Error names the remedy.
func (e *DecodeError) Error() string {
	return fmt.Sprintf("the stored document is not readable: %v; publish it again with a higher version", e.Cause)
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// Pack compresses a document.
func Pack(data []byte) ([]byte, error) {
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

// Unpack reverses Pack.
func Unpack(packed []byte) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpacked))
	if err != nil {
		return nil, &DecodeError{Cause: err}
	}
	return data, nil
}

// Encode gives a table as compressed JSON.
func Encode(t *Table) ([]byte, error) {
	data, err := json.Marshal(t)
	if err != nil {
		return nil, err
	}
	return Pack(data)
}

// Decode reverses Encode.
func Decode(packed []byte) (*Table, error) {
	data, err := Unpack(packed)
	if err != nil {
		return nil, err
	}
	t := &Table{}
	if err := json.Unmarshal(data, t); err != nil {
		return nil, &DecodeError{Cause: err}
	}
	return t, nil
}
