// Package capacity measures how the cost of each role grows with its size, fits
// a line to each series, and calculates the resources needed at the target size.
// The command "verbenastep capacity" runs it.
//
// Measurements are written to a CSV file. The tables of docs/CAPACITY.md are
// generated from that file alone, and a test compares them.
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
	// Size is the independent variable, in SizeUnit.
	Size     float64
	SizeUnit string
	// Value is the cost, in Unit.
	Value float64
	Unit  string
}

// Slope is a least-squares line through a series' points.
type Slope struct {
	Series   string
	SizeUnit string
	Unit     string
	// Base is the cost at size zero, PerUnit the increase per unit of size.
	Base    float64
	PerUnit float64
	// Residual is the root mean square of the residuals, in Unit.
	Residual float64
	// Points is the number of sizes measured.
	Points int
	// Largest is the largest size measured.
	Largest float64
}

// At returns the estimated cost at a size.
func (s Slope) At(size float64) float64 {
	return s.Base + s.PerUnit*size
}

// Fit returns the slope of each series, by name. A series of one point gets that
// value as a constant.
func Fit(points []Point) map[string]Slope {
	grouped := map[string][]Point{}
	for _, p := range points {
		grouped[p.Series] = append(grouped[p.Series], p)
	}
	out := map[string]Slope{}
	for name, series := range grouped {
		out[name] = fitOne(series)
	}
	return out
}

func fitOne(points []Point) Slope {
	xs := make([]float64, 0, len(points))
	ys := make([]float64, 0, len(points))
	s := Slope{Series: points[0].Series, SizeUnit: points[0].SizeUnit, Unit: points[0].Unit, Points: len(points)}
	for _, p := range points {
		xs = append(xs, p.Size)
		ys = append(ys, p.Value)
		s.Largest = math.Max(s.Largest, p.Size)
	}
	if len(points) == 1 {
		s.Base = ys[0]
		return s
	}
	s.Base, s.PerUnit = stat.LinearRegression(xs, ys, nil, false)
	sum := 0.0
	for i, x := range xs {
		d := ys[i] - s.At(x)
		sum += d * d
	}
	s.Residual = math.Sqrt(sum / float64(len(points)))
	return s
}

// csvHeader is the first line of the CSV file.
var csvHeader = []string{"series", "size", "over", "value", "unit"}

// WriteCSV writes the points sorted by series and size, with values rounded to
// four significant digits.
func WriteCSV(w io.Writer, points []Point) error {
	sorted := append([]Point{}, points...)
	sort.SliceStable(sorted, func(i, j int) bool {
		if sorted[i].Series != sorted[j].Series {
			return sorted[i].Series < sorted[j].Series
		}
		return sorted[i].Size < sorted[j].Size
	})
	out := csv.NewWriter(w)
	if err := out.Write(csvHeader); err != nil {
		return err
	}
	for _, p := range sorted {
		if err := out.Write([]string{p.Series, formatNumber(p.Size), p.SizeUnit, formatNumber(p.Value), p.Unit}); err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}

// formatNumber formats a number with four significant digits, enough for a slope.
func formatNumber(v float64) string {
	return strconv.FormatFloat(v, 'g', 4, 64)
}

// FormatError reports a CSV file that does not hold measurements. Line is zero
// where the file is not valid CSV.
type FormatError struct {
	Line    int
	Message string
}

// Error returns the fault with its remedy.
func (e *FormatError) Error() string {
	return fmt.Sprintf("line %d: %s; measure again with verbenastep capacity", e.Line, e.Message)
}

// ReadCSV reads points written by WriteCSV. It returns a *FormatError for a
// malformed file.
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
		if len(row) != len(csvHeader) || err1 != nil || err2 != nil {
			return nil, &FormatError{Line: i + 1, Message: "a number is malformed"}
		}
		out = append(out, Point{Series: row[0], Size: size, SizeUnit: row[2], Value: value, Unit: row[4]})
	}
	return out, nil
}
