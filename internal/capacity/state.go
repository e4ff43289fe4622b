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
	// workspacesPerFile is the size of the measured configuration's files, so
	// that the change of one workspace distributes one small file.
	workspacesPerFile = 10
	// keysPerWorkspace is how many bearer keys a measured workspace has.
	keysPerWorkspace = 2
)

// configFiles returns a configuration of n workspaces.
func configFiles(n int) config.Files {
	files := config.Files{"tiers.json": json.RawMessage(`{"tiers":[{"name":"t0","goodput_ms":1000},{"name":"t1","goodput_ms":2000},{"name":"t2","goodput_ms":3000}],"regions":[{"name":"r0","data_centres":["d0"]}],"models":[{"name":"m0"},{"name":"m1"},{"name":"m2"},{"name":"m3"},{"name":"m4"}]}`)}
	batch := config.Config{}
	for i := range n {
		w := config.Workspace{Name: fmt.Sprintf("workspace-%d", i), Tier: fmt.Sprintf("t%d", i%tierCount), Weight: 1, HomeRegion: "r0"}
		for k := range keysPerWorkspace {
			w.Keys = append(w.Keys, fmt.Sprintf("sha256:%064x", i*keysPerWorkspace+k))
		}
		batch.Workspaces = append(batch.Workspaces, w)
		if len(batch.Workspaces) == workspacesPerFile || i == n-1 {
			data, err := json.Marshal(batch)
			if err != nil {
				panic(err)
			}
			files[fmt.Sprintf("workspaces/%05d.json", i/workspacesPerFile)] = data
			batch = config.Config{}
		}
	}
	return files
}

// withOneChange returns the files with one workspace's weight changed.
func withOneChange(files config.Files) config.Files {
	out := config.Files{}
	for p, data := range files {
		out[p] = data
	}
	const first = "workspaces/00000.json"
	out[first] = json.RawMessage(strings.Replace(string(files[first]), `"weight":1`, `"weight":2`, 1))
	return out
}

// configPoints measures the memory of a configuration, and the size, the
// calculation and the application of a delta with one change.
func configPoints() []Point {
	out := seriesSpec{"config.memory", "workspaces", "bytes"}.measure(workspaceSizes, func(n int) float64 {
		return heapGrowth(func() any {
			files := configFiles(n)
			merged, err := config.Merge(files)
			if err != nil {
				panic(err)
			}
			return []any{files, merged}
		})
	})
	out = append(out, seriesSpec{"config.delta.bytes", "workspaces", "bytes"}.measure(workspaceSizes, func(n int) float64 {
		data, err := json.Marshal(singleChangeDelta(n))
		if err != nil {
			panic(err)
		}
		return float64(len(data))
	})...)
	out = append(out, seriesSpec{"config.diff", "workspaces", "ns"}.measure(workspaceSizes, func(n int) float64 {
		from := configFiles(n)
		to := withOneChange(from)
		return nanoseconds(func() { config.Diff(from, to) })
	})...)
	return append(out, seriesSpec{"config.apply", "workspaces", "ns"}.measure(workspaceSizes, applyTime)...)
}

// singleChangeDelta returns the delta that changes one of n workspaces.
func singleChangeDelta(n int) config.Delta {
	from := configFiles(n)
	d := config.Diff(from, withOneChange(from))
	d.From = 1
	d.Version = 2
	return d
}

// applyTime returns a daemon's time in nanoseconds to apply, merge and check one
// change.
func applyTime(n int) float64 {
	from := configFiles(n)
	d := singleChangeDelta(n)
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

// claimPoints measures the memory, the encoded size and the application of
// claims.
func claimPoints() []Point {
	out := seriesSpec{"claim.memory", "claims held", "bytes"}.measure(claimSizes, func(n int) float64 {
		return heapGrowth(func() any { return buildClaims(n) })
	})
	out = append(out, seriesSpec{"claim.bytes", "claims", "bytes"}.measure(batchSizes, func(n int) float64 {
		data, err := json.Marshal(claim(1))
		if err != nil {
			panic(err)
		}
		return float64(n * len(data))
	})...)
	return append(out, seriesSpec{"claim.apply", "claims held", "ns"}.measure(claimSizes, func(n int) float64 {
		m := buildClaims(n)
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

func buildClaims(n int) *state.Machine {
	m := state.New()
	for i := range n {
		m.Apply(claim(i))
	}
	return m
}

// claim returns the claim command with a number.
func claim(i int) state.Command {
	return state.Command{Claim: &state.Claim{
		Workspace: fmt.Sprintf("workspace-%d", i%1_700), Key: fmt.Sprintf("key-%032d", i), Digest: strings.Repeat("ab", 32),
		Entry: "10.0.0.1:7200", Pool: "model-1", Upstream: "runner-100", Address: "10.0.100.100:9000",
		Stream: fmt.Sprintf("workspace-%d-%026d", i%1_700, i), AtMS: 1_790_000_000_000,
	}}
}
