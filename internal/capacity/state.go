package capacity

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/core/state"
)

var (
	workspaceSizes = []int{5, 170, 1_700}
	claimSizes     = []int{1_000, 10_000, 100_000}
)

const (
	// workspacesPerFile is how the measured configuration is split, so that
	// one changed workspace sends one small file.
	workspacesPerFile = 10
	// keysEach is how many bearer keys a measured workspace has.
	keysEach = 2
)

// declared builds a configuration of n workspaces.
func declared(n int) config.Files {
	files := config.Files{"tiers.json": json.RawMessage(`{"tiers":[{"name":"t0","goodput_ms":1000},{"name":"t1","goodput_ms":2000},{"name":"t2","goodput_ms":3000}],"regions":[{"name":"r0","data_centres":["d0"]}],"models":[{"name":"m0"},{"name":"m1"},{"name":"m2"},{"name":"m3"},{"name":"m4"}]}`)}
	part := config.Config{}
	for i := range n {
		w := config.Workspace{Name: fmt.Sprintf("workspace-%d", i), Tier: fmt.Sprintf("t%d", i%tierCount), Weight: 1, HomeRegion: "r0"}
		for k := range keysEach {
			w.Keys = append(w.Keys, fmt.Sprintf("sha256:%064x", i*keysEach+k))
		}
		part.Workspaces = append(part.Workspaces, w)
		if len(part.Workspaces) == workspacesPerFile || i == n-1 {
			data, err := json.Marshal(part)
			if err != nil {
				panic(err)
			}
			files[fmt.Sprintf("workspaces/%05d.json", i/workspacesPerFile)] = data
			part = config.Config{}
		}
	}
	return files
}

// changed returns the files with one workspace's weight changed.
func changed(files config.Files) config.Files {
	out := config.Files{}
	for p, data := range files {
		out[p] = data
	}
	const first = "workspaces/00000.json"
	out[first] = json.RawMessage(strings.Replace(string(files[first]), `"weight":1`, `"weight":2`, 1))
	return out
}

func configPoints() []Point {
	out := series{"config.memory", "workspaces", "bytes"}.measure(workspaceSizes, func(n int) float64 {
		return heldBytes(func() any {
			files := declared(n)
			merged, err := config.Merge(files)
			if err != nil {
				panic(err)
			}
			return []any{files, merged}
		})
	})
	out = append(out, series{"config.delta.bytes", "workspaces", "bytes"}.measure(workspaceSizes, func(n int) float64 {
		data, err := json.Marshal(oneChange(n))
		if err != nil {
			panic(err)
		}
		return float64(len(data))
	})...)
	out = append(out, series{"config.diff", "workspaces", "ns"}.measure(workspaceSizes, func(n int) float64 {
		from := declared(n)
		to := changed(from)
		return nanoseconds(func() { config.Diff(from, to) })
	})...)
	return append(out, series{"config.apply", "workspaces", "ns"}.measure(workspaceSizes, applyCost)...)
}

func oneChange(n int) config.Delta {
	from := declared(n)
	d := config.Diff(from, changed(from))
	d.From = 1
	d.Version = 2
	return d
}

// applyCost returns a daemon's time to put one change into force.
func applyCost(n int) float64 {
	from := declared(n)
	d := oneChange(n)
	return nanoseconds(func() {
		files, err := d.Apply(from)
		if err != nil {
			panic(err)
		}
		merged, err := config.Merge(files)
		if err != nil {
			panic(err)
		}
		if err := config.Check(merged); err != nil {
			panic(err)
		}
	})
}

func claimPoints() []Point {
	out := series{"claim.memory", "claims held", "bytes"}.measure(claimSizes, func(n int) float64 {
		return heldBytes(func() any { return claimsHeld(n) })
	})
	out = append(out, series{"claim.bytes", "claims", "bytes"}.measure(batchSizes, func(n int) float64 {
		data, err := json.Marshal(claim(1))
		if err != nil {
			panic(err)
		}
		return float64(n * len(data))
	})...)
	return append(out, series{"claim.apply", "claims held", "ns"}.measure(claimSizes, func(n int) float64 {
		m := claimsHeld(n)
		next := n
		return nanoseconds(func() {
			next++
			c := state.Command{}
			data, err := json.Marshal(claim(next))
			if err == nil {
				err = json.Unmarshal(data, &c)
			}
			if err != nil {
				panic(err)
			}
			m.Apply(c)
		})
	})...)
}

func claimsHeld(n int) *state.Machine {
	m := state.New()
	for i := range n {
		m.Apply(claim(i))
	}
	return m
}

func claim(i int) state.Command {
	return state.Command{Claim: &state.Claim{
		Workspace: fmt.Sprintf("workspace-%d", i%1_700), Key: fmt.Sprintf("key-%032d", i), Digest: strings.Repeat("ab", 32),
		Entry: "10.0.0.1:7200", Pool: "model-1", Upstream: "runner-100", Address: "10.0.100.100:9000",
		Stream: fmt.Sprintf("workspace-%d-%026d", i%1_700, i), AtMS: 1_790_000_000_000,
	}}
}
