package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/crash"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/gateway"
	"bulrushhinge.example/bulrushhinge/internal/handover"
)

// explain returns the explanation of a valid query.
func (f *fixture) explain(t *testing.T, q gateway.Query) gateway.Explanation {
	t.Helper()
	x, err := f.handler.Explain(time.Now(), q)
	require.NoError(t, err)
	return x
}

// metricsText returns all metrics of the gateway.
func (f *fixture) metricsText() string {
	var b strings.Builder
	f.metrics.Write(&b)
	return b.String()
}

// TestExplainedRejections guards against an explanation that lacks the reason for which
// a request is then refused, or has one for which it is not.
func TestExplainedRejections(t *testing.T) {
	each := func(f *fixture, change func(e *deployment.Endpoint)) {
		for _, e := range f.snapshot.Endpoints["s"] {
			change(e)
		}
	}
	cases := []struct {
		name    string
		path    string
		account string
		arrange func(f *fixture)
		reason  string
		detail  string
		status  int
	}{
		{name: "none", path: "/p/x", status: 200},
		{name: "none, with an account", path: "/k/x", account: "acct", status: 200},
		{name: "no route", path: "/q/x", reason: "no-route", detail: "/k/, /p/", status: 404},
		{name: "no account", path: "/k/x", reason: "unknown-key", detail: "route private needs an account", status: 401},
		{name: "an unknown account", path: "/k/x", account: "other", reason: "unknown-key", detail: "there is no account other", status: 401},
		{name: "evacuated", path: "/p/x", arrange: func(f *fixture) {
			each(f, func(e *deployment.Endpoint) { e.Evacuated = true })
		}, reason: "zones-evacuated", status: 503},
		{name: "leaving", path: "/p/x", arrange: func(f *fixture) {
			each(f, func(e *deployment.Endpoint) { e.Draining = true })
		}, reason: "endpoints-leaving", status: 503},
		{name: "no endpoint", path: "/p/x", arrange: func(f *fixture) { f.snapshot.Endpoints = nil }, reason: "no-endpoint", status: 503},
		{name: "residency", path: "/p/x", arrange: func(f *fixture) {
			f.snapshot.Config.Routes[0].Regions = []string{"r1"}
		}, reason: "no-endpoint-in-homes", status: 503},
		{name: "backoff", path: "/p/x", arrange: func(f *fixture) {
			each(f, func(e *deployment.Endpoint) { f.balancer.Backoff(time.Now(), e.Start(), time.Minute) })
		}, reason: "endpoints-resting", status: 503},
		{name: "no configuration", path: "/p/x", arrange: func(f *fixture) { f.snapshot.Config = nil }, reason: "no-config", status: 503},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, deployment.Route{Kind: deployment.Idempotent, Attempts: 2, Objective: 50 * time.Millisecond}, newEndpoint(t, whole(200, "hi")), newEndpoint(t, whole(200, "hi")))
			if c.arrange != nil {
				c.arrange(f)
			}
			x := f.explain(t, gateway.Query{Host: "h", Path: c.path, Method: http.MethodGet, Account: c.account})
			header := map[string]string{}
			if c.account != "" {
				header["Api-Key"] = map[string]string{"acct": "key"}[c.account]
			}
			got := f.post(t, c.path, header)
			require.Equal(t, c.status, got.status)
			if c.reason == "" {
				require.Empty(t, x.Rejections)
				require.Equal(t, gateway.OutcomeSent, x.Outcome)
				return
			}
			require.Equal(t, gateway.OutcomeRejected, x.Outcome)
			require.Equal(t, c.reason, x.Rejections[0].Reason)
			require.Equal(t, c.status, x.Rejections[0].Status)
			require.Contains(t, x.Rejections[0].Detail, c.detail)
			require.Equal(t, c.reason+"\n", got.body)
		})
	}
}

// TestExplainedEngine guards against an explanation that names another engine, or
// another source of the prompt, than the request then gets, and against one that
// changes the choice.
func TestExplainedEngine(t *testing.T) {
	f := newEngines(t, 0, nil, newEndpoint(t, stream(1, "", true)), newEndpoint(t, stream(1, "", true)), newEndpoint(t, stream(1, "", true)))
	for n := range 12 {
		prompt := fmt.Sprintf("sys:100,doc%d:300,q%d:20", n%5, n)
		q := gateway.Query{Host: "h", Path: "/p/x", Method: http.MethodPost, Prompt: prompt, Model: "m"}
		before := f.metricsText()
		x := f.explain(t, q)
		for range 3 {
			again := f.explain(t, q)
			require.Equal(t, x.Choice.Chosen, again.Choice.Chosen)
			require.Equal(t, x.Choice.Candidates, again.Choice.Candidates)
		}
		require.Equal(t, before, f.metricsText())
		require.Empty(t, f.balancer.Active())
		require.Equal(t, gateway.OutcomeSent, x.Outcome)
		require.True(t, x.BodyUnknown)

		counts := make([]int, len(f.endpoints))
		for i, e := range f.endpoints {
			counts[i] = e.count()
		}
		require.Equal(t, 200, f.post(t, "/p/x", map[string]string{"Prompt": prompt, "Model": "m"}).status)
		for i, e := range f.endpoints {
			if e.count() > counts[i] {
				require.Equal(t, fmt.Sprint("e", i), x.Choice.Chosen)
				e.mu.Lock()
				require.Equal(t, x.Choice.Source == "", e.requests[len(e.requests)-1].Header.Get("Fetch") == "")
				e.mu.Unlock()
			}
		}
	}
}

// TestExplainedIsolation guards against an explanation that shows a request as sent
// which is refused because it, or a part of its prompt, ends endpoints.
func TestExplainedIsolation(t *testing.T) {
	cases := []struct {
		name    string
		feature crash.Feature
		query   gateway.Query
	}{
		{
			name: "a part", feature: crash.Feature{ID: xxhash.Sum64String("part\x00bad"), Scope: crash.Part(0)},
			query: gateway.Query{Host: "h", Path: "/p/x", Method: http.MethodPost, Prompt: "bad:100,q:20", Model: "m"},
		},
		{
			name: "a whole request", feature: crash.Feature{ID: xxhash.Sum64String("/p/x\x00\x00"), Scope: crash.WholeRequest},
			query: gateway.Query{Host: "h", Path: "/p/x", Method: http.MethodGet},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newEngines(t, 0, nil, newEndpoint(t, stream(1, "", true)))
			require.Empty(t, f.explain(t, c.query).Rejections)
			for n := range 3 {
				f.crashes.Add(time.Now(), crash.News{Crashes: []crash.Report{{Feature: c.feature, Endpoint: uint32(100 + n)}}}, "n2")
			}
			x := f.explain(t, c.query)
			require.Equal(t, gateway.OutcomeRejected, x.Outcome)
			require.Equal(t, "crashes-endpoints", x.Rejections[0].Reason)
			require.Contains(t, x.Rejections[0].Detail, c.feature.Print())
			c.query.Path, c.query.Prompt = "/p/y", "good:100,q:20"
			require.Empty(t, f.explain(t, c.query).Rejections)
		})
	}
}

// TestExplainedWait guards against an explanation that shows a request as sent though
// no endpoint has room.
func TestExplainedWait(t *testing.T) {
	f := newEngines(t, 4, nil, newEndpoint(t, stream(1, "", true)))
	x := f.explain(t, gateway.Query{Host: "h", Path: "/p/x", Method: http.MethodPost, Prompt: "doc:100,q:20", Model: "m"})
	require.Equal(t, gateway.OutcomeWaits, x.Outcome)
	require.Equal(t, 1, x.Queue.Position)
	require.Equal(t, []balance.Block{{Reason: "full"}}, x.Choice.Candidates[0].Blocked)
	require.Equal(t, 4, x.Choice.Candidates[0].Others)
	require.Empty(t, x.Choice.Chosen)
	require.Equal(t, "shares", x.Queue.Order)
}

// ownedElsewhere is an Owners by which another node owns each service, and which counts
// offers.
type ownedElsewhere struct {
	asked  bool
	offers int
}

// Offer implements gateway.Owners.
func (o *ownedElsewhere) Offer(context.Context, *handover.Offer, []string) (string, *handover.Exchange, error) {
	o.offers++
	return "", nil, nil
}

// Done implements gateway.Owners.
func (*ownedElsewhere) Done(string, *handover.Exchange) {}

// Lost implements gateway.Owners.
func (*ownedElsewhere) Lost(string) bool { return false }

// ExplainOwner returns the owner of a service.
func (o *ownedElsewhere) ExplainOwner(time.Time, string, []string) gateway.ExplainedOwner {
	return gateway.ExplainedOwner{Name: "n7", Asked: o.asked}
}

// TestExplainedOwner guards against an explanation by a node that is not the owner
// which shows its own choice as the outcome.
func TestExplainedOwner(t *testing.T) {
	config := &deployment.Config{
		Routes:   []deployment.Route{{Name: "r", Host: "h", Prefix: "/p/", Public: true, Timeout: time.Second, Objective: time.Second, Split: []deployment.Share{{Service: "s", Weight: 1}}}},
		Services: map[string]deployment.Service{"s": {Name: "s"}}, Limits: deployment.Limits{BodyBytes: 100},
	}
	config.Index()
	d := staticDeployment{snapshot: &deployment.Snapshot{Config: config, Endpoints: map[string][]*deployment.Endpoint{"s": {{ID: "e0", Service: "s", Slots: 4}}}}}
	o := &ownedElsewhere{asked: true}
	h := gateway.New(gateway.Config{
		Headers: headers(), Deployment: d, Owners: o, Balancer: balance.New(balance.Config{Loads: noLoads{}}),
		Crashes: crash.NewTracker(crash.Config{Deployment: d}), Metrics: gateway.NewMetrics(),
	})
	x, err := h.Explain(time.Now(), gateway.Query{Host: "h", Path: "/p/x", Method: http.MethodGet})
	require.NoError(t, err)
	require.Equal(t, gateway.OutcomeOffered, x.Outcome)
	require.Equal(t, &gateway.ExplainedOwner{Name: "n7", Asked: true}, x.Owner)
	require.Equal(t, "e0", x.Choice.Chosen, "what this node would choose if the owner did not take it")

	o.asked = false
	x, err = h.Explain(time.Now(), gateway.Query{Host: "h", Path: "/p/x", Method: http.MethodGet})
	require.NoError(t, err)
	require.Equal(t, gateway.OutcomeSent, x.Outcome, "the owner was silent a moment ago")
	o.asked = true

	d.snapshot.Endpoints["s"][0].Draining = true
	x, err = h.Explain(time.Now(), gateway.Query{Host: "h", Path: "/p/x", Method: http.MethodGet})
	require.NoError(t, err)
	require.Equal(t, gateway.OutcomeOffered, x.Outcome, "the owner may know another endpoint")
	require.Equal(t, "endpoints-leaving", x.Rejections[0].Reason)
	require.Zero(t, o.offers, "an explanation offers nothing")
}

// TestExplainQueries guards against invalid queries that are answered as something
// else, and against unbounded input.
func TestExplainQueries(t *testing.T) {
	long := strings.Repeat("x", 5000)
	cases := []struct {
		name  string
		query gateway.Query
		want  string
	}{
		{name: "no host", query: gateway.Query{Path: "/p/"}, want: "host: missing"},
		{name: "no path", query: gateway.Query{Host: "h"}, want: "path:"},
		{name: "a relative path", query: gateway.Query{Host: "h", Path: "p/"}, want: "path:"},
		{name: "a long path", query: gateway.Query{Host: "h", Path: "/" + long}, want: "path or prompt: longer"},
		{name: "a long prompt", query: gateway.Query{Host: "h", Path: "/p/", Prompt: long}, want: "path or prompt: longer"},
		{name: "a long account", query: gateway.Query{Host: "h", Path: "/p/", Account: long}, want: "account: longer"},
		{name: "a method with a space", query: gateway.Query{Host: "h", Path: "/p/", Method: "G T"}, want: "method:"},
		{name: "negative tokens", query: gateway.Query{Host: "h", Path: "/p/", Tokens: -1}, want: "tokens:"},
		{name: "a negative deadline", query: gateway.Query{Host: "h", Path: "/p/", Deadline: -1}, want: "deadline:"},
		{name: "a service of another route", query: gateway.Query{Host: "h", Path: "/p/", Service: "u"}, want: "service: route r has no service"},
	}
	f := newFixture(t, deployment.Route{})
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := f.handler.Explain(time.Now(), c.query)
			require.ErrorIs(t, err, gateway.ErrQuery)
			require.ErrorContains(t, err, c.want)
		})
	}
}
