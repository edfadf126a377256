package experiment

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/olekukonko/tablewriter"
)

const (
	// Latencies are recorded in microseconds, from 1 microsecond to a minute, with
	// three significant digits.
	minLatency    = 1
	maxLatency    = int64(time.Minute / time.Microsecond)
	latencyDigits = 3
)

type (
	// Result is what callers observed in one run.
	Result struct {
		Requests []Class `json:"requests"`
		// Seconds are the same requests by the second in which they were sent.
		Seconds []Second `json:"seconds"`
		Loads   []Load   `json:"loads"`
	}

	// Class sums up the requests of one kind.
	Class struct {
		Name  string `json:"name"`
		Asked int    `json:"asked"`
		// Timely were answered completely, with the first byte within the objective;
		// Late were answered completely, but later; Refused got 503 or 429, which tell
		// the caller when to retry; Failed are all others.
		Timely  int `json:"timely"`
		Late    int `json:"late"`
		Refused int `json:"refused"`
		Failed  int `json:"failed"`
		// P50, P95 and P99 are percentiles of the time to the first byte.
		P50 time.Duration `json:"p50"`
		P95 time.Duration `json:"p95"`
		P99 time.Duration `json:"p99"`
	}

	// Second is one second of the run.
	Second struct {
		Asked  int           `json:"asked"`
		Served int           `json:"served"`
		P95    time.Duration `json:"p95"`
	}

	// Load is the highest and mean load of a service's endpoints at one moment.
	Load struct {
		Service string        `json:"service"`
		At      time.Duration `json:"at"`
		Most    int           `json:"most"`
		Mean    float64       `json:"mean"`
	}

	// recorder collects outcomes and loads.
	recorder struct {
		plan     *Plan
		mu       sync.Mutex
		outcomes []outcome
		loads    []Load
	}
)

func newRecorder(p *Plan) *recorder { return &recorder{plan: p} }

func (r *recorder) addOutcome(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
}

func (r *recorder) addLoad(service string, at time.Duration, most int, mean float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loads = append(r.loads, Load{Service: service, At: at, Most: most, Mean: mean})
}

// result sums up what was recorded.
func (r *recorder) result() *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	res := &Result{Loads: r.loads}
	for _, q := range r.plan.Requests {
		res.Requests = append(res.Requests, r.class(q))
	}
	for at := time.Duration(0); at < r.plan.Length; at += time.Second {
		res.Seconds = append(res.Seconds, r.second(at))
	}
	return res
}

func (r *recorder) class(q Request) Class {
	c := Class{Name: q.Name}
	h := newHistogram()
	for _, o := range r.outcomes {
		if o.request != q.Name {
			continue
		}
		c.Asked++
		switch {
		case o.served() && o.firstByte <= q.Objective:
			c.Timely++
		case o.served():
			c.Late++
		case o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests:
			c.Refused++
		default:
			c.Failed++
		}
		if o.served() {
			record(h, o.firstByte)
		}
	}
	c.P50, c.P95, c.P99 = quantile(h, 50), quantile(h, 95), quantile(h, 99)
	return c
}

func (r *recorder) second(from time.Duration) Second {
	var s Second
	h := newHistogram()
	for _, o := range r.outcomes {
		if o.at < from || o.at >= from+time.Second {
			continue
		}
		s.Asked++
		if o.served() {
			s.Served++
			record(h, o.firstByte)
		}
	}
	s.P95 = quantile(h, 95)
	return s
}

func (o outcome) served() bool { return o.status == http.StatusOK && o.complete }

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatency, maxLatency, latencyDigits)
}

// record records a latency; one outside the histogram's range counts as the nearest
// limit.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minLatency), maxLatency))
}

func quantile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
}

// Skew returns the 95th percentile of the ratio of the most loaded endpoint of a
// service to the mean, over the samples with a mean of one or more.
func (r *Result) Skew(service string) float64 {
	var list []float64
	for _, l := range r.Loads {
		if l.Service == service && l.Mean >= 1 {
			list = append(list, float64(l.Most)/l.Mean)
		}
	}
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[(len(list)-1)*95/100]
}

// Table writes the results of builds, one row per kind of request and build.
func Table(w io.Writer, names []string, results []*Result) error {
	t := tablewriter.NewWriter(w)
	t.Header("request", "build", "asked", "timely", "late", "refused", "failed", "p50", "p95", "p99")
	if len(results) == 0 {
		return nil
	}
	for i := range results[0].Requests {
		for b, r := range results {
			c := r.Requests[i]
			err := t.Append(c.Name, names[b], strconv.Itoa(c.Asked), percentage(c.Timely, c.Asked), percentage(c.Late, c.Asked),
				percentage(c.Refused, c.Asked), percentage(c.Failed, c.Asked), formatLatency(c.P50), formatLatency(c.P95), formatLatency(c.P99))
			if err != nil {
				return fmt.Errorf("experiment: table: %w", err)
			}
		}
	}
	if err := t.Render(); err != nil {
		return fmt.Errorf("experiment: table: %w", err)
	}
	return nil
}

func percentage(n, of int) string { return fmt.Sprintf("%.2f%%", 100*float64(n)/float64(max(of, 1))) }

func formatLatency(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }
