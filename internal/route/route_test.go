package route_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/route"
	"bulrushhinge.example/bulrushhinge/pkg/hint"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

var start = time.Unix(1000, 0)

// view returns a view of the endpoints w0, w1 ... with the given numbers of requests.
func view(loads ...int) *kernel.View {
	p := &kernel.Pool{Service: manifest.Service{Name: "engines"}, Bound: 1.5, Live: len(loads)}
	for i, n := range loads {
		l := kernel.Load{Requests: n, Tokens: 400 * n}
		p.Endpoints = append(p.Endpoints, kernel.Endpoint{Name: fmt.Sprintf("w%d", i), Service: "engines", Owner: "n1", Load: l})
		p.Total = p.Total.Add(l)
	}
	return &kernel.View{At: start, Pools: map[string]*kernel.Pool{"engines": p}}
}

func request(input int) route.Request {
	return route.Request{
		Account: "a", Chat: "a/c", Service: "engines", Model: "m", Input: input, Output: 256,
		Deadline: start.Add(time.Minute),
	}
}

func TestPlacement(t *testing.T) {
	held := func(tokens int, age time.Duration) hint.Hint {
		return hint.Hint{Endpoint: "w2", Tokens: tokens, At: start.Add(-age)}
	}
	cases := map[string]struct {
		view *kernel.View
		hint hint.Hint
		want string
	}{
		"holder of the prefix":           {view(4, 4, 4, 4), held(2000, time.Second), "w2"},
		"holder a little more loaded":    {view(4, 4, 5, 4), held(2000, time.Second), "w2"},
		"little held by a loaded holder": {view(4, 0, 9, 9), held(100, time.Second), "w1"},
		"nothing held, least loaded":     {view(9, 9, 0, 9), hint.Hint{}, "w2"},
		"holder is gone":                 {view(0, 9), held(2000, time.Second), "w0"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			req := request(2000)
			req.Hint = c.hint
			step := route.NewRouter(route.Config{}).Plan(start, req).Next(start, c.view)
			require.Equal(t, route.StepPermit, step.Kind)
			require.Equal(t, c.want, step.Endpoint.Name)
		})
	}
}

func TestSuspectEndpointsComeLast(t *testing.T) {
	v := view(0, 9)
	v.Pools["engines"].Endpoints[0].State = kernel.Suspect
	step := route.NewRouter(route.Config{}).Plan(start, request(10)).Next(start, v)
	require.Equal(t, "w1", step.Endpoint.Name)
}

// A node remembers where a chat ran if its caller sends no hint, and a newer hint
// takes precedence over that.
func TestMemoryAndHint(t *testing.T) {
	r := route.NewRouter(route.Config{})
	v := view(4, 4, 4, 4)
	r.Plan(start, request(2000)).Learn(start, route.Usage{Endpoint: "w3"})
	require.Equal(t, "w3", r.Plan(start, request(2000)).Next(start, v).Endpoint.Name)

	req := request(2000)
	req.Hint = hint.Hint{Endpoint: "w1", Tokens: 2000, At: start.Add(time.Second)}
	require.Equal(t, "w1", r.Plan(start.Add(time.Second), req).Next(start, v).Endpoint.Name)
}

// Guards against endpoints that seem full of work that never arrives, because callers
// allow far longer answers than they get.
func TestLoadUsesLearnedAnswerLengths(t *testing.T) {
	r := route.NewRouter(route.Config{})
	v := view(1, 1)
	p := r.Plan(start, request(100))
	require.Equal(t, 100+256, p.Next(start, v).Tokens)
	p.Learn(start, route.Usage{Endpoint: "w0", Done: true, Output: 20, Cached: -1})
	other := request(100)
	other.Chat = "a/other"
	require.Equal(t, 100+20, r.Plan(start, other).Next(start, v).Tokens)
}

// Guards against endpoints with far more tokens than the bound allows, because hints
// name prefixes that were evicted.
func TestHitRateOfOldPrefixesIsLearned(t *testing.T) {
	r := route.NewRouter(route.Config{})
	v := view(1, 1, 1, 1)
	old := request(2000)
	old.Hint = hint.Hint{Endpoint: "w2", Tokens: 2000, At: start.Add(-time.Hour)}
	for range 50 {
		p := r.Plan(start, old)
		p.Next(start, v)
		p.Learn(start.Add(-time.Hour), route.Usage{Endpoint: "w2", Done: true, Output: 10, Cached: 0})
	}
	step := r.Plan(start, old).Next(start, v)
	require.Greater(t, step.Tokens, 1900)
}

func TestImportFromTheHolder(t *testing.T) {
	req := request(2000)
	req.Hint = hint.Hint{Endpoint: "w0", Tokens: 1900, At: start}
	cases := map[string]struct {
		cost map[string]float64
		want string
	}{
		"cheaper":        {map[string]float64{"engines": 0.4}, "w0"},
		"more expensive": {map[string]float64{"engines": 1.2}, ""},
		"impossible":     {nil, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := route.NewRouter(route.Config{Import: c.cost}).Plan(start, req)
			v := view(3, 3)
			require.Equal(t, "w0", p.Next(start, v).Endpoint.Name)
			p.Report(route.OutcomeDenied)
			require.Equal(t, "w1", p.Next(start, v).Endpoint.Name)
			p.Report(route.OutcomeGranted)
			step := p.Next(start, v)
			require.Equal(t, route.StepRun, step.Kind)
			require.Equal(t, c.want, step.From.Name)
		})
	}
}

// A denial carries the loads of the owner's endpoints; the next permit request goes
// where there is room.
func TestDenialRedirectsTheNextPermitRequest(t *testing.T) {
	r := route.NewRouter(route.Config{})
	v := view(2, 2, 2)
	p := r.Plan(start, request(100))
	first := p.Next(start, v).Endpoint.Name
	p.Report(route.OutcomeDenied)
	var loads []kernel.EndpointLoad
	for _, e := range v.Pools["engines"].Endpoints {
		load := kernel.Load{Requests: 9}
		if e.Name == "w1" && first != "w1" || e.Name == "w2" && first == "w1" {
			load = kernel.Load{}
		}
		loads = append(loads, kernel.EndpointLoad{Endpoint: e.Name, Load: load})
	}
	r.Observe(start, loads)
	want := "w1"
	if first == "w1" {
		want = "w2"
	}
	require.Equal(t, want, p.Next(start, v).Endpoint.Name)
}

func TestRepeats(t *testing.T) {
	cases := map[string]struct {
		once    bool
		outcome route.Outcome
		want    route.Reason
	}{
		"not repeatable and lost":    {true, route.OutcomeLost, route.ReasonLost},
		"not repeatable and not run": {true, route.OutcomeNotRun, route.ReasonNoEndpoint},
		"repeatable and lost":        {false, route.OutcomeLost, route.ReasonAttempts},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			req := request(10)
			req.AtMostOnce = c.once
			p := route.NewRouter(route.Config{}).Plan(start, req)
			v := view(0, 0, 0, 0, 0)
			for range 20 {
				step := p.Next(start, v)
				switch step.Kind {
				case route.StepPermit:
					p.Report(route.OutcomeGranted)
				case route.StepRun:
					p.Report(c.outcome)
				case route.StepRefuse:
					require.Equal(t, c.want, step.Reason)
					return
				}
			}
			t.Fatal("the plan did not end")
		})
	}
}

// Guards against an overload by retries: when some endpoints die, the others must not
// be overloaded and die too.
func TestRetryStormIsBounded(t *testing.T) {
	const requests = 1000
	r := route.NewRouter(route.Config{})
	v := view(0, 0, 0, 0, 0)
	runs, refused := 0, 0
	for i := range requests {
		req := request(10)
		req.Chat = fmt.Sprint(i)
		p := r.Plan(start, req)
		for step := p.Next(start, v); step.Kind != route.StepRefuse; step = p.Next(start, v) {
			p.Report(route.OutcomeGranted)
			if step.Kind == route.StepRun {
				runs++
				p.Report(route.OutcomeLost)
			}
		}
		if p.Next(start, v).Reason == route.ReasonBudget {
			refused++
		}
	}
	require.Less(t, runs, requests*12/10)
	require.Positive(t, refused)
}

func TestRepeatGoesToAnotherZone(t *testing.T) {
	v := view(0, 1, 1, 9)
	for i, zone := range []string{"z1", "z1", "z1", "z2"} {
		v.Pools["engines"].Endpoints[i].Zone = zone
	}
	p := route.NewRouter(route.Config{}).Plan(start, request(10))
	require.Equal(t, "z1", p.Next(start, v).Endpoint.Zone)
	p.Report(route.OutcomeGranted)
	p.Next(start, v)
	p.Report(route.OutcomeNotRun)
	require.Equal(t, "w3", p.Next(start, v).Endpoint.Name)
}

func BenchmarkPlan(b *testing.B) {
	for _, endpoints := range []int{12, 240, 1200} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			loads := make([]int, endpoints)
			for i := range loads {
				loads[i] = i % 7
			}
			v := view(loads...)
			r := route.NewRouter(route.Config{})
			req := request(2000)
			req.Hint = hint.Hint{Endpoint: "w2", Tokens: 2000, At: start}
			for range b.N {
				p := r.Plan(start, req)
				p.Next(start, v)
				p.Report(route.OutcomeGranted)
				p.Next(start, v)
			}
		})
	}
}

// Guards against a request that waits until its deadline for endpoints that take
// nothing before.
func TestRequestThatNoEndpointTakesInTime(t *testing.T) {
	rests := func(d time.Duration) func(e *kernel.Endpoint) {
		return func(e *kernel.Endpoint) { e.BackoffUntil = start.Add(d) }
	}
	leaves := func(e *kernel.Endpoint) { e.State = kernel.Leaving }
	cases := map[string]struct {
		first, second func(e *kernel.Endpoint)
		want          route.Step
	}{
		"both leave":                          {leaves, leaves, route.Step{Kind: route.StepRefuse, Reason: route.ReasonNoEndpoint, RetryAfter: route.RetryAfter}},
		"both in backoff beyond the deadline": {rests(2 * time.Hour), rests(time.Hour), route.Step{Kind: route.StepRefuse, Reason: route.ReasonNoEndpoint, RetryAfter: time.Hour}},
		"one leaves, one in a long backoff":   {leaves, rests(time.Hour), route.Step{Kind: route.StepRefuse, Reason: route.ReasonNoEndpoint, RetryAfter: time.Hour}},
		"the leaving one in backoff too":      {func(e *kernel.Endpoint) { leaves(e); rests(time.Second)(e) }, rests(time.Hour), route.Step{Kind: route.StepRefuse, Reason: route.ReasonNoEndpoint, RetryAfter: time.Hour}},
		"one in a shorter backoff":            {rests(5 * time.Second), rests(time.Hour), route.Step{Kind: route.StepWait, Until: start.Add(5 * time.Second)}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			v := view(0, 0)
			p := v.Pools["engines"]
			c.first(&p.Endpoints[0])
			c.second(&p.Endpoints[1])
			require.Equal(t, c.want, route.NewRouter(route.Config{}).Plan(start, request(100)).Next(start, v))
		})
	}
}

// runDenied runs a request whose permit requests all get the same answer, a denial or
// none, until the plan refuses it or the time is over. It returns the plan's last
// step, its time and the number of permit requests.
func runDenied(v *kernel.View, req route.Request, answer route.Outcome, span time.Duration) (last route.Step, at time.Duration, permitRequests int) {
	p := route.NewRouter(route.Config{}).Plan(start, req)
	for now := start; now.Sub(start) < span; {
		switch last = p.Next(now, v); last.Kind {
		case route.StepPermit:
			permitRequests++
			p.Report(answer)
		case route.StepWait:
			now = last.Until
		default:
			return last, now.Sub(start), permitRequests
		}
	}
	return last, span, permitRequests
}

// Guards against callers that wait in an overload until their deadline for a refusal,
// though no more rounds follow.
func TestOverloadedRequestIsRefusedAfterItsLastRound(t *testing.T) {
	v := view(make([]int, 24)...)
	for _, left := range []time.Duration{10 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond, time.Second} {
		req := request(100)
		req.Deadline = start.Add(left)
		step, at, permitRequests := runDenied(v, req, route.OutcomeDenied, time.Minute)
		require.Equal(t, route.Step{Kind: route.StepRefuse, Reason: route.ReasonDeadline, RetryAfter: route.RetryAfter}, step)
		require.Less(t, at, left)
		require.Positive(t, permitRequests)
	}
}

// Guards against an overload with a hundred permit requests for each request, in
// which the nodes spend their time on denials.
func TestOverloadedRequestAsksFewOwners(t *testing.T) {
	const (
		span = 10 * time.Second
		most = 250
	)
	_, _, permitRequests := runDenied(view(make([]int, 24)...), request(100), route.OutcomeDenied, span)
	require.LessOrEqual(t, permitRequests, most)
}

// Guards against a request that tries the same few owners in every round while they
// are unreachable and others are not.
func TestRequestTriesOtherOwnersIfSomeAreUnreachable(t *testing.T) {
	const rounds, each = 5, 8
	p := route.NewRouter(route.Config{}).Plan(start, request(100))
	for now, round := start, 0; round < rounds; round++ {
		tried := map[string]bool{}
		step := p.Next(now, view(make([]int, each)...))
		for ; step.Kind == route.StepPermit; step = p.Next(now, view(make([]int, each)...)) {
			tried[step.Endpoint.Name] = true
			p.Report(route.OutcomeUnreachable)
		}
		require.Len(t, tried, each)
		now = step.Until
	}
}
