package routes

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

func validTable() *Table {
	return &Table{
		Version: 3,
		Routes: []Route{
			{Name: "r1", Host: "h", Prefix: "/a/", Kind: Idempotent, Targets: []Target{{Pool: "p", Weight: 1}}, TimeoutMS: 100, LatencyTargetMS: 50, MaxAttempts: 1},
			{Name: "r2", Host: "h", Prefix: "/a/b/", Kind: Stream, Targets: []Target{{Pool: "p", Weight: 9}, {Pool: "q", Weight: 1}}, TimeoutMS: 100, LatencyTargetMS: 50, MaxAttempts: 2},
		},
		Pools:      []Pool{{Name: "p"}, {Name: "q"}},
		Workspaces: []Workspace{{Name: "w", Keys: []string{"k1", "k2"}}},
	}
}

func TestMatchReturnsLongestPrefixOfHost(t *testing.T) {
	x := NewIndex(validTable())
	require.Equal(t, "r2", x.Match("h", "/a/b/c").Name)
	require.Equal(t, "r1", x.Match("h:8080", "/a/bc").Name)
	require.Nil(t, x.Match("h", "/a"), "the path lacks the slash at the end of the prefix")
	require.Nil(t, x.Match("other", "/a/b/c"))
}

func TestPickFollowsWeights(t *testing.T) {
	r := validTable().Routes[1]
	count := map[string]int{}
	for i := range 1000 {
		count[r.Pick(float64(i)/1000)]++
	}
	require.Equal(t, map[string]int{"p": 900, "q": 100}, count)
}

func TestCheckFindsEachFault(t *testing.T) {
	require.NoError(t, validTable().Check())
	for name, corrupt := range map[string]func(*Table){
		"version":         func(t *Table) { t.Version = 0 },
		"unknown pool":    func(t *Table) { t.Routes[0].Targets[0].Pool = "z" },
		"same prefix":     func(t *Table) { t.Routes[1].Prefix = "/a/" },
		"no weight":       func(t *Table) { t.Routes[0].Targets[0].Weight = 0 },
		"negative weight": func(t *Table) { t.Routes[1].Targets[0].Weight = -1 },
		"no timeout":      func(t *Table) { t.Routes[0].TimeoutMS = 0 },
		"unknown kind":    func(t *Table) { t.Routes[0].Kind = "sometimes" },
		"prefix":          func(t *Table) { t.Routes[0].Prefix = "/a" },
		"pool twice":      func(t *Table) { t.Pools[1].Name = "p" },
		"shared key":      func(t *Table) { t.Workspaces = append(t.Workspaces, Workspace{Name: "v", Keys: []string{"k2"}}) },
	} {
		t.Run(name, func(t *testing.T) {
			table := validTable()
			corrupt(table)
			wrong := (*ValidationError)(nil)
			require.True(t, errors.As(table.Check(), &wrong))
			require.NotEmpty(t, wrong.Faults)
			for _, f := range wrong.Faults {
				require.NotEmpty(t, f.Remedy)
			}
		})
	}
}

func TestEncodedTableDecodesToTheSameTable(t *testing.T) {
	compressed, err := Encode(validTable())
	require.NoError(t, err)
	decoded, err := Decode(compressed)
	require.NoError(t, err)
	require.Equal(t, validTable(), decoded)
	wrong := (*DecodeError)(nil)
	_, err = Decode(compressed[:len(compressed)/2])
	require.ErrorAs(t, err, &wrong)
}
