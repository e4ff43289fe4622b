package capacity

import (
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 12 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// Plot writes an SVG file for each series into a folder, with its points and the
// fitted line.
func Plot(folder string, points []Point) error {
	slopes := Fit(points)
	grouped := map[string]plotter.XYs{}
	for _, p := range points {
		grouped[p.Series] = append(grouped[p.Series], plotter.XY{X: p.Size, Y: p.Value})
	}
	for name, xys := range grouped {
		if err := plotOne(folder, slopes[name], xys); err != nil {
			return err
		}
	}
	return nil
}

func plotOne(folder string, s Slope, xys plotter.XYs) error {
	p := plot.New()
	p.Title.Text = s.Series
	p.X.Label.Text = s.SizeUnit
	p.Y.Label.Text = s.Unit
	dots, err := plotter.NewScatter(xys)
	if err != nil {
		return err
	}
	line, err := plotter.NewLine(plotter.XYs{{X: 0, Y: s.Base}, {X: s.Largest, Y: s.At(s.Largest)}})
	if err != nil {
		return err
	}
	p.Add(dots, line)
	return p.Save(plotWidth, plotHeight, filepath.Join(folder, strings.ReplaceAll(s.Series, ".", "-")+".svg"))
}
