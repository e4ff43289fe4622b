package config

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCompareReportsDifferingPaths(t *testing.T) {
	yours := Files{"a": json.RawMessage(`{"n":1,"list":[1,{"x":2}]}`), "only": json.RawMessage(`{}`)}
	theirs := Files{"a": json.RawMessage(`{"n":1,"list":[1,{"x":3}],"more":true}`)}
	require.Equal(t, []Difference{
		{File: "a", Path: "$.list[1].x", Yours: json.RawMessage("2"), Theirs: json.RawMessage("3")},
		{File: "a", Path: "$.more", Theirs: json.RawMessage("true")},
		{File: "only", Path: "$", Yours: json.RawMessage("{}")},
	}, Compare(yours, theirs, 10))
	require.Len(t, Compare(yours, theirs, 2), 2)
}

func FuzzDelta(f *testing.F) {
	from := Files{"a": json.RawMessage(`{"n":1}`)}
	d := Diff(from, Files{"a": json.RawMessage(`{"n":2}`), "b": json.RawMessage(`{}`)})
	d.From, d.Version = 1, 2
	seed, _ := json.Marshal(d)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, b []byte) {
		d := Delta{}
		if json.Unmarshal(b, &d) != nil {
			return
		}
		out, err := d.Apply(from)
		if err == nil {
			require.Equal(t, d.Digest, out.Digest())
		}
	})
}
