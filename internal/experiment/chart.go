package experiment

import (
	"errors"
	"path/filepath"
	"time"

	"gonum.org/v1/plot/plotter"

	"bulrushhinge.example/bulrushhinge/internal/chart"
)

// Charts writes three files to a folder, with one line per build: latency.svg, the 95th
// percentile of the time to the first byte in each second, timely.svg, the share of each
// kind of request that was served in time, and load.svg, the load of the most loaded
// endpoint and the mean of each service.
func Charts(folder string, names []string, results []*Result) error {
	var latencies, timely, loads []chart.Line
	for b, r := range results {
		latencies = append(latencies, chart.Line{Name: names[b], Points: seconds(r)})
		for _, q := range r.Requests {
			timely = append(timely, chart.Line{Name: names[b] + " " + q.Name, Points: timelyShares(r, q.Name)})
		}
		for _, s := range services(r) {
			most, mean := points(r, s)
			loads = append(loads, chart.Line{Name: names[b] + " " + s + " most", Points: most}, chart.Line{Name: names[b] + " " + s + " mean", Points: mean})
		}
	}
	return errors.Join(
		chart.Save(filepath.Join(folder, "latency.svg"), "time to the first byte, p95", "ms", latencies),
		chart.Save(filepath.Join(folder, "timely.svg"), "served in time", "%", timely),
		chart.Save(filepath.Join(folder, "load.svg"), "load of endpoints", "requests", loads),
	)
}

func seconds(r *Result) plotter.XYs {
	var list plotter.XYs
	for i, s := range r.Seconds {
		list = append(list, plotter.XY{X: float64(i), Y: float64(s.P95) / float64(time.Millisecond)})
	}
	return list
}

// timelyShares returns the percentage of a kind of request that was served in time, for
// each second in which any was sent.
func timelyShares(r *Result, request string) plotter.XYs {
	var list plotter.XYs
	for i, s := range r.Seconds {
		if asked := s.AskedOf[request]; asked > 0 {
			list = append(list, plotter.XY{X: float64(i), Y: 100 * float64(s.Timely[request]) / float64(asked)})
		}
	}
	return list
}

// services returns the names of the services in the order of the samples.
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
