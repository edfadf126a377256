// Package chart draws line charts over time in seconds, for the reports of experiments
// and accounts.
package chart

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Sizes of a chart.
const (
	width  = 8 * vg.Inch
	height = 3 * vg.Inch
)

// Line is one line and its name in the legend.
type Line struct {
	Name   string
	Points plotter.XYs
}

// Save draws lines over seconds into a file, in the format of the file's extension.
func Save(path, title, unit string, lines []Line) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "s", unit
	p.Y.Min = 0
	p.Legend.Top = true
	var list []any
	for _, l := range lines {
		list = append(list, l.Name, l.Points)
	}
	if err := plotutil.AddLines(p, list...); err != nil {
		return fmt.Errorf("chart: %s: %w", title, err)
	}
	if err := p.Save(width, height, path); err != nil {
		return fmt.Errorf("chart: %s: %w", title, err)
	}
	return nil
}
