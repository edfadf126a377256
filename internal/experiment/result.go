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
	// Latencies are kept from 1 microsecond to a minute, by three digits.
	leastLatency  = 1
	mostLatency   = int64(time.Minute / time.Microsecond)
	latencyDigits = 3
)

type (
	// Result is what callers saw of one run.
	Result struct {
		Requests []Class `json:"requests"`
		// Seconds are the same requests by the second in which they were asked.
		Seconds []Second `json:"seconds"`
		Loads   []Load   `json:"loads"`
	}

	// Class is what became of the requests of one kind.
	Class struct {
		Name  string `json:"name"`
		Asked int    `json:"asked"`
		// Timely were answered whole, with the first byte within the objective;
		// Late were answered whole later; Refused were told when to come back;
		// Failed are all others.
		Timely  int `json:"timely"`
		Late    int `json:"late"`
		Refused int `json:"refused"`
		Failed  int `json:"failed"`
		// P50, P95 and P99 are of the time to the first byte.
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

	// Load is the endpoints' load of a service at one moment.
	Load struct {
		Service string        `json:"service"`
		At      time.Duration `json:"at"`
		Most    int           `json:"most"`
		Mean    float64       `json:"mean"`
	}

	// recorder gathers outcomes.
	recorder struct {
		plan     *Plan
		mu       sync.Mutex
		outcomes []outcome
		loads    []Load
	}
)

func newRecorder(p *Plan) *recorder { return &recorder{plan: p} }

func (r *recorder) note(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
}

func (r *recorder) load(service string, at time.Duration, most int, mean float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loads = append(r.loads, Load{Service: service, At: at, Most: most, Mean: mean})
}

// result sums up what was noted.
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
		case o.served() && o.first <= q.Objective:
			c.Timely++
		case o.served():
			c.Late++
		case o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests:
			c.Refused++
		default:
			c.Failed++
		}
		if o.served() {
			record(h, o.first)
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
			record(h, o.first)
		}
	}
	s.P95 = quantile(h, 95)
	return s
}

func (o outcome) served() bool { return o.status == http.StatusOK && o.whole }

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(leastLatency, mostLatency, latencyDigits)
}

// record notes a latency; one beyond the histogram's range counts as its bound.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), leastLatency), mostLatency))
}

func quantile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
}

// Skew is the greatest multiple of the mean that the most loaded endpoint of a
// service had in 95 of 100 samples, of those with a mean of one or more.
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

// Table writes the results of builds, one row a kind of request and build.
func Table(w io.Writer, names []string, results []*Result) error {
	t := tablewriter.NewWriter(w)
	t.Header("request", "build", "asked", "timely", "late", "refused", "failed", "p50", "p95", "p99")
	if len(results) == 0 {
		return nil
	}
	for i := range results[0].Requests {
		for b, r := range results {
			c := r.Requests[i]
			err := t.Append(c.Name, names[b], strconv.Itoa(c.Asked), share(c.Timely, c.Asked), share(c.Late, c.Asked),
				share(c.Refused, c.Asked), share(c.Failed, c.Asked), shown(c.P50), shown(c.P95), shown(c.P99))
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

func share(n, of int) string { return fmt.Sprintf("%.2f%%", 100*float64(n)/float64(max(of, 1))) }

func shown(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }
