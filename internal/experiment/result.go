package experiment

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
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
		// Sizes are the same requests by kind and size, for kinds with large requests,
		// and Accounts by account.
		Sizes    []Class `json:"sizes,omitempty"`
		Accounts []Class `json:"accounts"`
		// OtherAccounts are those without a surge together.
		OtherAccounts Class `json:"other_accounts"`
		// SentLate is the 99th percentile of how late callers sent their requests: on a
		// busy machine, all times include some of that.
		SentLate time.Duration `json:"sent_late_p99"`
		// Seconds are the same requests by the second in which they were sent.
		Seconds []Second `json:"seconds"`
		Loads   []Load   `json:"loads"`
	}

	// Class sums up the requests of one kind, size or account.
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
		// RefusedP50 and RefusedP99 are percentiles of the time until a refusal.
		RefusedP50 time.Duration `json:"refused_p50"`
		RefusedP99 time.Duration `json:"refused_p99"`
	}

	// Second is one second of the run.
	Second struct {
		Asked  int `json:"asked"`
		Served int `json:"served"`
		// Timely is how many requests were served in time, and AskedOf how many were
		// sent, by kind.
		Timely  map[string]int `json:"timely"`
		AskedOf map[string]int `json:"asked_of"`
		P95     time.Duration  `json:"p95"`
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
		ofKind := func(o outcome) bool { return o.request == q.Name }
		res.Requests = append(res.Requests, r.class(q.Name, ofKind))
		if q.Large > 0 {
			res.Sizes = append(res.Sizes,
				r.class(q.Name+" usual", func(o outcome) bool { return ofKind(o) && !o.large }),
				r.class(q.Name+" large", func(o outcome) bool { return ofKind(o) && o.large }))
		}
	}
	for n := range r.plan.Accounts {
		res.Accounts = append(res.Accounts, r.class(account(n), func(o outcome) bool { return o.account == n }))
	}
	res.OtherAccounts = r.class(otherAccounts, func(o outcome) bool {
		return !slices.ContainsFunc(r.plan.Surges, func(s Surge) bool { return s.Account == o.account })
	})
	late := newHistogram()
	for _, o := range r.outcomes {
		record(late, o.sentLate)
	}
	res.SentLate = quantile(late, 99)
	for at := time.Duration(0); at < r.plan.Length; at += time.Second {
		res.Seconds = append(res.Seconds, r.second(at))
	}
	return res
}

// class sums up the outcomes that belong to a class.
func (r *recorder) class(name string, belongs func(outcome) bool) Class {
	c := Class{Name: name}
	served, refused := newHistogram(), newHistogram()
	for _, o := range r.outcomes {
		if !belongs(o) {
			continue
		}
		c.Asked++
		switch {
		case r.timely(o):
			c.Timely++
		case o.served():
			c.Late++
		case o.refused():
			c.Refused++
			record(refused, o.headers)
		default:
			c.Failed++
		}
		if o.served() {
			record(served, o.firstByte)
		}
	}
	c.P50, c.P95, c.P99 = quantile(served, 50), quantile(served, 95), quantile(served, 99)
	c.RefusedP50, c.RefusedP99 = quantile(refused, 50), quantile(refused, 99)
	return c
}

// timely reports whether a request was answered completely, with the first byte within
// its objective.
func (r *recorder) timely(o outcome) bool {
	i := slices.IndexFunc(r.plan.Requests, func(q Request) bool { return q.Name == o.request })
	return o.served() && o.firstByte <= r.plan.Requests[i].Objective
}

func (r *recorder) second(from time.Duration) Second {
	s := Second{Timely: map[string]int{}, AskedOf: map[string]int{}}
	h := newHistogram()
	for _, o := range r.outcomes {
		if o.at < from || o.at >= from+time.Second {
			continue
		}
		s.Asked++
		s.AskedOf[o.request]++
		if r.timely(o) {
			s.Timely[o.request]++
		}
		if o.served() {
			s.Served++
			record(h, o.firstByte)
		}
	}
	s.P95 = quantile(h, 95)
	return s
}

func (o outcome) served() bool { return o.status == http.StatusOK && o.complete }

// refused reports whether the response said when to retry.
func (o outcome) refused() bool {
	return o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests
}

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
