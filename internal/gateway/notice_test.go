package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/gateway"
)

const (
	leaving = "Leaving"
	rest    = "Retry-After"
	// leaves is the line of a header that says that the endpoint leaves.
	leaves = leaving + ": 1\r\n"
)

// Guards against a node that takes an odd value for a notice, or another process's
// notice for that of the endpoint it asked.
func TestNotice(t *testing.T) {
	const refused, other = http.StatusServiceUnavailable, http.StatusMisdirectedRequest
	cases := map[string]struct {
		status  int
		leaving []string
		rest    []string
		want    gateway.Notice
	}{
		"none":                        {status: http.StatusOK},
		"leaves":                      {status: http.StatusOK, leaving: []string{"1"}, want: gateway.Notice{Leaving: true}},
		"leaves, in a failure":        {status: http.StatusInternalServerError, leaving: []string{" 1 "}, want: gateway.Notice{Leaving: true}},
		"leaves, among others":        {status: http.StatusOK, leaving: []string{"0", "1"}, want: gateway.Notice{Leaving: true}},
		"does not leave":              {status: http.StatusOK, leaving: []string{"0"}},
		"an unknown word on leaving":  {status: http.StatusOK, leaving: []string{"soon"}},
		"another process leaves":      {status: other, leaving: []string{"1"}, rest: []string{"3"}},
		"rests":                       {status: refused, rest: []string{"3"}, want: gateway.Notice{Rest: 3 * time.Second}},
		"rests for a part of seconds": {status: refused, rest: []string{" 0.25 "}, want: gateway.Notice{Rest: 250 * time.Millisecond}},
		"rests, with another status":  {status: http.StatusTooManyRequests, rest: []string{"3"}, want: gateway.Notice{Rest: 3 * time.Second}},
		"rests, said twice":           {status: refused, rest: []string{"1", "2"}, want: gateway.Notice{Rest: 2 * time.Second}},
		"leaves and rests":            {status: refused, leaving: []string{"1"}, rest: []string{"3"}, want: gateway.Notice{Leaving: true, Rest: 3 * time.Second}},
		"a rest in an answer":         {status: http.StatusOK, rest: []string{"3"}},
		"a date":                      {status: refused, rest: []string{"Wed, 21 Oct 2015 07:28:00 GMT"}},
		"no rest":                     {status: refused, rest: []string{"0"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			header := http.Header{leaving: c.leaving, rest: c.rest}
			require.Equal(t, c.want, headers().Notice(c.status, header))
		})
	}
}

// head is the beginning of an endpoint's answer that says that it leaves.
func head(status string, more ...string) string {
	text := "HTTP/1.1 " + status + "\r\n" + id + ": {id}\r\n" + leaves
	for _, line := range more {
		text += line + "\r\n"
	}
	return text
}

// askBeside asks for many answers of a gateway before an endpoint that always answers
// in one way, and a sound one.
func askBeside(t *testing.T, kind deployment.Kind, first reply) *fixture {
	sound := whole(200, "hi")
	if kind.Streams() {
		sound = stream(3, "", true)
	}
	f := newFixture(t, deployment.Route{Kind: kind, Attempts: 2, Objective: time.Second}, newEndpoint(t, first), newEndpoint(t, sound))
	for range 40 {
		f.ask(t, "/p/x", nil)
	}
	return f
}

// Guards against requests to an endpoint that has said that it leaves, in whatever
// answer it did.
func TestEndpointThatSaysInAnAnswerThatItLeavesGetsNoMore(t *testing.T) {
	cases := []struct {
		name  string
		kind  deployment.Kind
		first reply
		// not says that the answer says nothing of the endpoint that was asked.
		not bool
	}{
		{name: "a whole answer", first: whole(200, "hi", leaves)},
		{name: "a failure that is passed on", kind: deployment.AtMostOnce, first: whole(500, "no", leaves)},
		{name: "a failure that is tried again elsewhere", first: whole(500, "no", leaves)},
		{name: "a refusal", first: raw(head("503 X", "Not-Run: 1", "Content-Length: 0") + "\r\n")},
		{name: "a refusal of one that runs once", kind: deployment.AtMostOnce, first: raw(head("503 X", "Not-Run: 1", "Content-Length: 0") + "\r\n")},
		{name: "a refusal that promises nothing", kind: deployment.AtMostOnce, first: whole(503, "", leaves)},
		{name: "an answer without its seal", kind: deployment.AtMostOnce, first: raw(head("200 X", "Content-Length: 2") + "\r\nhi")},
		{name: "an answer that ends early", kind: deployment.AtMostOnce, first: raw(head("200 X", seal+": s", "Content-Length: 9") + "\r\nhi")},
		{name: "an answer without a length", first: raw(head("200 X", seal+": s") + "\r\nhi")},
		{name: "a stream", kind: deployment.Streaming, first: raw(head("200 X", seal+": s", "Content-Length: 18") + "\r\n" + event(1))},
		{name: "a stream that breaks off", kind: deployment.Streaming, first: raw(head("200 X", seal+": s", "Content-Length: 99") + "\r\n" + event(1))},
		{name: "a stream that goes on elsewhere", kind: deployment.Resumable, first: raw(head("200 X", seal+": s", "Content-Length: 99") + "\r\n" + event(1))},
		{name: "another process at the address", first: raw(head("421 X", "Content-Length: 0") + "\r\n"), not: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := askBeside(t, c.kind, c.first)
			require.Equal(t, 1, f.endpoints[0].count())
			require.GreaterOrEqual(t, f.endpoints[1].count(), 39)
			if c.not {
				require.Empty(t, f.left)
				return
			}
			require.Equal(t, []string{"e0"}, f.left)
		})
	}
}

// Guards against requests at a place that an engine has kept while it said that it
// leaves, and against questions for more.
func TestEngineThatSaysThatItLeavesIsAskedForNoMorePlaces(t *testing.T) {
	for name, places := range map[string]*engines{
		"it has a place": {left: map[string]int{"e0": 100, "e1": 100}},
		"it has none":    {left: map[string]int{"e1": 100}},
	} {
		t.Run(name, func(t *testing.T) {
			places.asked = map[string]int{}
			places.notices = map[string]gateway.Notice{"e0": {Leaving: true}}
			f := newEngines(t, 3, places, newEndpoint(t, stream(3, "", true)), newEndpoint(t, stream(3, "", true)))
			for n := range 20 {
				a := f.ask(t, "/p/x", map[string]string{"Prompt": fmt.Sprintf("doc%d:10,own:1", n), "Model": "m"})
				require.Equal(t, http.StatusOK, a.status)
			}
			require.Equal(t, []string{"e0"}, f.left)
			require.Equal(t, 1, places.asked["e0"])
			require.Zero(t, f.endpoints[0].count())
		})
	}
}

// Guards against requests to an endpoint that has asked this node for a rest, in
// whatever refusal it did.
func TestEndpointThatAsksForARestGetsIt(t *testing.T) {
	refusal := func(status string, more ...string) reply {
		text := "HTTP/1.1 " + status + "\r\n" + id + ": {id}\r\n" + rest + ": 60\r\n"
		for _, line := range more {
			text += line + "\r\n"
		}
		return raw(text + "Content-Length: 0\r\n\r\n")
	}
	cases := []struct {
		name  string
		kind  deployment.Kind
		first reply
	}{
		{name: "of one that may be repeated", first: refusal("503 X", "Not-Run: 1")},
		{name: "of one that runs once", kind: deployment.AtMostOnce, first: refusal("503 X", "Not-Run: 1")},
		{name: "of a stream", kind: deployment.Streaming, first: refusal("503 X", "Not-Run: 1")},
		{name: "with another status", first: refusal("429 X", "Not-Run: 1")},
		{name: "that promises nothing", kind: deployment.AtMostOnce, first: refusal("503 X")},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := askBeside(t, c.kind, c.first)
			time.Sleep(200 * time.Millisecond)
			for range 40 {
				require.Equal(t, http.StatusOK, f.ask(t, "/p/x", nil).status)
			}
			require.Equal(t, 1, f.endpoints[0].count())
		})
	}
}

// Guards against questions for places at an engine that has asked for a rest.
func TestEngineThatAsksForARestIsAskedForNoPlaces(t *testing.T) {
	places := &engines{
		left: map[string]int{"e1": 100}, asked: map[string]int{}, notices: map[string]gateway.Notice{"e0": {Rest: time.Minute}},
	}
	f := newEngines(t, 3, places, newEndpoint(t, stream(3, "", true)), newEndpoint(t, stream(3, "", true)))
	for n := range 40 {
		a := f.ask(t, "/p/x", map[string]string{"Prompt": fmt.Sprintf("doc%d:10,own:1", n), "Model": "m"})
		require.Equal(t, http.StatusOK, a.status)
	}
	require.Equal(t, 1, places.asked["e0"])
	require.Zero(t, f.endpoints[0].count())
}

// Guards against a caller that waits for endpoints which all rest for longer than it
// has time.
func TestRequestsAreRefusedAtOnceWhereAllEndpointsRest(t *testing.T) {
	cases := map[string]struct {
		seconds string
		// after is when the caller is asked to come back, in seconds.
		after [2]float64
	}{
		"for some time":                         {seconds: "3", after: [2]float64{0.6, 3}},
		"for longer than the caller may wait":   {seconds: "60", after: [2]float64{3.1, 6.7}},
		"for less than the caller waits anyhow": {seconds: "0.1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			first := raw("HTTP/1.1 503 X\r\n" + id + ": {id}\r\nNot-Run: 1\r\n" + rest + ": " + c.seconds + "\r\nContent-Length: 0\r\n\r\n")
			route := deployment.Route{Kind: deployment.AtMostOnce, Attempts: 1, Objective: 2 * time.Second, Timeout: 20 * time.Second}
			f := newFixture(t, route, newEndpoint(t, first, whole(200, "hi")))
			require.Equal(t, http.StatusServiceUnavailable, f.ask(t, "/p/x", nil).status)
			a := f.ask(t, "/p/x", nil)
			if c.after[1] == 0 {
				require.Equal(t, http.StatusOK, a.status)
				return
			}
			require.Equal(t, "endpoints-resting\n", a.body)
			after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
			require.NoError(t, err)
			require.GreaterOrEqual(t, after, c.after[0])
			require.LessOrEqual(t, after, c.after[1])
			require.Equal(t, 1, f.arrivals())
		})
	}
}
