package capacity

import (
	"runtime"
	"slices"
	"time"
)

const (
	// timingRounds is how many times a cost is measured; the result is the median.
	timingRounds = 5
	// minRoundTime is the least duration of one round.
	minRoundTime = 40 * time.Millisecond
)

// nanoseconds returns the median time of one call of fn. The number of calls a
// round doubles until a round takes minRoundTime.
func nanoseconds(fn func()) float64 {
	n := 1
	for timeCalls(fn, n) < minRoundTime && n < 1<<24 {
		n *= 2
	}
	values := make([]float64, 0, timingRounds)
	for range timingRounds {
		values = append(values, float64(timeCalls(fn, n).Nanoseconds())/float64(n))
	}
	slices.Sort(values)
	return values[timingRounds/2]
}

// timeCalls returns the time of n calls of fn.
func timeCalls(fn func(), n int) time.Duration {
	start := time.Now()
	for range n {
		fn()
	}
	return time.Since(start)
}

// heapGrowth returns by how many bytes the live heap grows while the result of
// build is reachable.
func heapGrowth(build func() any) float64 {
	runtime.GC()
	before := runtime.MemStats{}
	runtime.ReadMemStats(&before)
	built := build()
	runtime.GC()
	after := runtime.MemStats{}
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(built)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// seriesSpec names a series, the unit of its sizes and that of its values.
type seriesSpec struct {
	name     string
	sizeUnit string
	unit     string
}

// measure returns the series' points, one for each size.
func (s seriesSpec) measure(sizes []int, fn func(size int) float64) []Point {
	out := make([]Point, 0, len(sizes))
	for _, n := range sizes {
		out = append(out, Point{Series: s.name, Size: float64(n), SizeUnit: s.sizeUnit, Value: fn(n), Unit: s.unit})
	}
	return out
}

// Measure runs all measurements in turn; progress is called with the name of each
// group before it starts. It panics where the measured code fails unexpectedly.
func Measure(progress func(group string)) ([]Point, error) {
	groups := []struct {
		name string
		run  func() ([]Point, error)
	}{
		{"dispatcher", infallible(dispatcherPoints)},
		{"wire", infallible(wirePoints)},
		{"configuration", infallible(configPoints)},
		{"claims", infallible(claimPoints)},
		{"membership", infallible(membershipPoints)},
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

// infallible adapts a group that returns no error.
func infallible(run func() []Point) func() ([]Point, error) {
	return func() ([]Point, error) { return run(), nil }
}
