package experiment

import (
	"fmt"
	"path/filepath"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Sizes of a chart.
const (
	chartWidth  = 8 * vg.Inch
	chartHeight = 3 * vg.Inch
)

// Charts writes latency.svg, the 95th percentile of each second's first bytes,
// and load.svg, the most loaded endpoint and the mean of each service, to a
// folder: one line a build.
func Charts(folder string, names []string, results []*Result) error {
	latency, load := newChart("time to the first byte, p95", "ms"), newChart("load of endpoints", "requests")
	var latencies, loads []any
	for b, r := range results {
		latencies = append(latencies, names[b], seconds(r))
		for _, s := range services(r) {
			most, mean := points(r, s)
			loads = append(loads, names[b]+" "+s+" most", most, names[b]+" "+s+" mean", mean)
		}
	}
	if err := plotutil.AddLines(latency, latencies...); err != nil {
		return fmt.Errorf("experiment: chart: %w", err)
	}
	if err := plotutil.AddLines(load, loads...); err != nil {
		return fmt.Errorf("experiment: chart: %w", err)
	}
	for name, p := range map[string]*plot.Plot{"latency.svg": latency, "load.svg": load} {
		if err := p.Save(chartWidth, chartHeight, filepath.Join(folder, name)); err != nil {
			return fmt.Errorf("experiment: chart: %w", err)
		}
	}
	return nil
}

func newChart(title, unit string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "s", unit
	p.Y.Min = 0
	p.Legend.Top = true
	return p
}

func seconds(r *Result) plotter.XYs {
	var list plotter.XYs
	for i, s := range r.Seconds {
		list = append(list, plotter.XY{X: float64(i), Y: float64(s.P95) / float64(time.Millisecond)})
	}
	return list
}

// services names the services in the order of the samples.
func services(r *Result) []string {
	var list []string
	seen := map[string]bool{}
	for _, l := range r.Loads {
		if !seen[l.Service] {
			seen[l.Service] = true
			list = append(list, l.Service)
		}
	}
	return list
}

func points(r *Result, service string) (most, mean plotter.XYs) {
	for _, l := range r.Loads {
		if l.Service == service {
			most = append(most, plotter.XY{X: l.At.Seconds(), Y: float64(l.Most)})
			mean = append(mean, plotter.XY{X: l.At.Seconds(), Y: l.Mean})
		}
	}
	return most, mean
}
