// Package capacity measures how the cost of each role grows with size, fits
// slopes, and reckons from them what the target size would need.
//
// Measurements are written to a CSV file; the tables of docs/CAPACITY.md are
// made from that file alone, so that they can't drift from it.
package capacity

import (
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"sort"
	"strconv"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement.
type Point struct {
	// Series names what is measured, such as "dispatcher.grant".
	Series string
	// Size is the independent variable, in Over's unit.
	Size float64
	Over string
	// Value is the cost, in Unit.
	Value float64
	Unit  string
}

// Slope is a least-squares line through a series' points.
type Slope struct {
	Series string
	Over   string
	Unit   string
	// Base is the cost at size zero, PerUnit the growth a unit of size.
	Base    float64
	PerUnit float64
	// Error is the root mean square of the residuals, in Unit.
	Error float64
	// Points is how many sizes were measured.
	Points int
	// Largest is the greatest size measured.
	Largest float64
}

// At reckons the cost at a size.
func (s Slope) At(size float64) float64 {
	return s.Base + s.PerUnit*size
}

// Fit returns the slope of each series, by name.
func Fit(points []Point) map[string]Slope {
	grouped := map[string][]Point{}
	for _, p := range points {
		grouped[p.Series] = append(grouped[p.Series], p)
	}
	out := map[string]Slope{}
	for name, ps := range grouped {
		out[name] = fitOne(ps)
	}
	return out
}

func fitOne(ps []Point) Slope {
	xs := make([]float64, 0, len(ps))
	ys := make([]float64, 0, len(ps))
	s := Slope{Series: ps[0].Series, Over: ps[0].Over, Unit: ps[0].Unit, Points: len(ps)}
	for _, p := range ps {
		xs = append(xs, p.Size)
		ys = append(ys, p.Value)
		s.Largest = math.Max(s.Largest, p.Size)
	}
	if len(ps) == 1 {
		s.Base = ys[0]
		return s
	}
	s.Base, s.PerUnit = stat.LinearRegression(xs, ys, nil, false)
	sum := 0.0
	for i, x := range xs {
		d := ys[i] - s.At(x)
		sum += d * d
	}
	s.Error = math.Sqrt(sum / float64(len(ps)))
	return s
}

// header is the CSV's first line.
var header = []string{"series", "size", "over", "value", "unit"}

// WriteCSV writes the points in order of series and size.
func WriteCSV(w io.Writer, points []Point) error {
	sorted := append([]Point{}, points...)
	sort.SliceStable(sorted, func(i, j int) bool {
		if sorted[i].Series != sorted[j].Series {
			return sorted[i].Series < sorted[j].Series
		}
		return sorted[i].Size < sorted[j].Size
	})
	out := csv.NewWriter(w)
	if err := out.Write(header); err != nil {
		return err
	}
	for _, p := range sorted {
		if err := out.Write([]string{p.Series, number(p.Size), p.Over, number(p.Value), p.Unit}); err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}

// number keeps four significant digits, enough for a slope.
func number(v float64) string {
	return strconv.FormatFloat(v, 'g', 4, 64)
}

// FormatError says that a CSV file is not one of measurements.
type FormatError struct {
	Line    int
	Message string
}

// Error names the remedy.
func (e *FormatError) Error() string {
	return fmt.Sprintf("line %d: %s; measure again with verbenastep capacity", e.Line, e.Message)
}

// ReadCSV reads what WriteCSV wrote.
func ReadCSV(r io.Reader) ([]Point, error) {
	rows, err := csv.NewReader(r).ReadAll()
	if err != nil {
		return nil, &FormatError{Message: err.Error()}
	}
	out := []Point{}
	for i, row := range rows {
		if i == 0 {
			continue
		}
		size, err1 := strconv.ParseFloat(row[1], 64)
		value, err2 := strconv.ParseFloat(row[3], 64)
		if len(row) != len(header) || err1 != nil || err2 != nil {
			return nil, &FormatError{Line: i + 1, Message: "a number is malformed"}
		}
		out = append(out, Point{Series: row[0], Size: size, Over: row[2], Value: value, Unit: row[4]})
	}
	return out, nil
}
