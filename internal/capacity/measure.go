package capacity

import (
	"runtime"
	"slices"
	"time"
)

const (
	// rounds is how many times a cost is measured; the median counts.
	rounds = 5
	// roundTime is the least time of one round.
	roundTime = 40 * time.Millisecond
)

// nanoseconds returns the median time of one call of fn. Calls are made in
// runs that grow until one takes roundTime.
func nanoseconds(fn func()) float64 {
	n := 1
	for timed(fn, n) < roundTime && n < 1<<24 {
		n *= 2
	}
	values := make([]float64, 0, rounds)
	for range rounds {
		values = append(values, float64(timed(fn, n).Nanoseconds())/float64(n))
	}
	slices.Sort(values)
	return values[rounds/2]
}

func timed(fn func(), n int) time.Duration {
	began := time.Now()
	for range n {
		fn()
	}
	return time.Since(began)
}

// heldBytes returns how much the heap grows by what build returns.
func heldBytes(build func() any) float64 {
	runtime.GC()
	before := runtime.MemStats{}
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	after := runtime.MemStats{}
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// series collects points of one series.
type series struct {
	name string
	over string
	unit string
}

func (s series) measure(sizes []int, fn func(size int) float64) []Point {
	out := make([]Point, 0, len(sizes))
	for _, n := range sizes {
		out = append(out, Point{Series: s.name, Size: float64(n), Over: s.over, Value: fn(n), Unit: s.unit})
	}
	return out
}

// Measure takes all measurements; progress is called before each group.
func Measure(progress func(group string)) ([]Point, error) {
	groups := []struct {
		name string
		run  func() ([]Point, error)
	}{
		{"dispatcher", pure(dispatcherPoints)},
		{"wire", pure(wirePoints)},
		{"configuration", pure(configPoints)},
		{"claims", pure(claimPoints)},
		{"membership", pure(membershipPoints)},
		{"entry", entryPoints},
	}
	out := []Point{}
	for _, g := range groups {
		progress(g.name)
		points, err := g.run()
		if err != nil {
			return nil, err
		}
		out = append(out, points...)
	}
	return out, nil
}

// pure adapts a group that can't fail.
func pure(run func() []Point) func() ([]Point, error) {
	return func() ([]Point, error) { return run(), nil }
}
