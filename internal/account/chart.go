package account

import (
	"time"

	"gonum.org/v1/plot/plotter"

	"bulrushhinge.example/bulrushhinge/internal/chart"
)

// Chart writes a chart to a file, in the format of its extension: the calls of
// each second that were answered in time, late, or not.
func (r *Report) Chart(path string) error {
	var lines []chart.Line
	for _, outcome := range []Outcome{InTime, Late, Unserved} {
		lines = append(lines, chart.Line{Name: outcome.String(), Points: r.perSecond(outcome)})
	}
	return chart.Save(path, "calls by the second of their arrival", "calls", lines)
}

func (r *Report) perSecond(outcome Outcome) plotter.XYs {
	start := r.Entries[0].At
	var list plotter.XYs
	for _, e := range r.Entries {
		second := int(e.At.Sub(start) / time.Second)
		for len(list) <= second {
			list = append(list, plotter.XY{X: float64(len(list))})
		}
		if e.Outcome == outcome {
			list[second].Y++
		}
	}
	return list
}
