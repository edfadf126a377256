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
	leaving    = "Leaving"
	retryAfter = "Retry-After"
	brittle    = "Brittle"
	// leaveLine is the header line of a leave notice.
	leaveLine = leaving + ": 1\r\n"
)

// Guards against an invalid header value that is taken for a notice, and against a
// notice of another process at the address that is taken for the endpoint's.
func TestNotice(t *testing.T) {
	const refused, other = http.StatusServiceUnavailable, http.StatusMisdirectedRequest
	cases := map[string]struct {
		status  int
		leaving []string
		rest    []string
		brittle []string
		want    gateway.Notice
	}{
		"none":                            {status: http.StatusOK},
		"leaves":                          {status: http.StatusOK, leaving: []string{"1"}, want: gateway.Notice{Leaving: true}},
		"leaves, in a failure":            {status: http.StatusInternalServerError, leaving: []string{" 1 "}, want: gateway.Notice{Leaving: true}},
		"leaves, among others":            {status: http.StatusOK, leaving: []string{"0", "1"}, want: gateway.Notice{Leaving: true}},
		"does not leave":                  {status: http.StatusOK, leaving: []string{"0"}},
		"an unknown value for leaving":    {status: http.StatusOK, leaving: []string{"soon"}},
		"another process leaves":          {status: other, leaving: []string{"1"}, rest: []string{"3"}},
		"asks for a backoff":              {status: refused, rest: []string{"3"}, want: gateway.Notice{Backoff: 3 * time.Second}},
		"asks for a fraction of a second": {status: refused, rest: []string{" 0.25 "}, want: gateway.Notice{Backoff: 250 * time.Millisecond}},
		"asks with another status":        {status: http.StatusTooManyRequests, rest: []string{"3"}, want: gateway.Notice{Backoff: 3 * time.Second}},
		"asks twice":                      {status: refused, rest: []string{"1", "2"}, want: gateway.Notice{Backoff: 2 * time.Second}},
		"leaves, and asks for a backoff":  {status: refused, leaving: []string{"1"}, rest: []string{"3"}, want: gateway.Notice{Leaving: true, Backoff: 3 * time.Second}},
		"asks without a refusal":          {status: http.StatusOK, rest: []string{"3"}},
		"a date":                          {status: refused, rest: []string{"Wed, 21 Oct 2015 07:28:00 GMT"}},
		"asks for none":                   {status: refused, rest: []string{"0"}},
		"is brittle":                      {status: http.StatusOK, brittle: []string{"4"}, want: gateway.Notice{Brittle: true}},
		"is brittle, in a refusal":        {status: refused, brittle: []string{"0"}, want: gateway.Notice{Brittle: true}},
		"is brittle in unknown words":     {status: http.StatusOK, brittle: []string{"very"}},
		"another process is brittle":      {status: other, brittle: []string{"4"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			header := http.Header{leaving: c.leaving, retryAfter: c.rest, brittle: c.brittle}
			require.Equal(t, c.want, headers().Notice(c.status, header))
		})
	}
}

// head returns the beginning of a response with a leave notice.
func head(status string, more ...string) string {
	text := "HTTP/1.1 " + status + "\r\n" + id + ": {id}\r\n" + leaveLine
	for _, line := range more {
		text += line + "\r\n"
	}
	return text
}

// postMany sends many requests to a gateway in front of two endpoints: one that always
// replies with first, and one that succeeds.
func postMany(t *testing.T, kind deployment.Kind, first reply) *fixture {
	sound := whole(200, "hi")
	if kind.Streams() {
		sound = stream(3, "", true)
	}
	f := newFixture(t, deployment.Route{Kind: kind, Attempts: 2, Objective: time.Second}, newEndpoint(t, first), newEndpoint(t, sound))
	for range 40 {
		f.post(t, "/p/x", nil)
	}
	return f
}

// Guards against requests to an endpoint after its leave notice, whatever kind of
// response carried the notice.
func TestLeaveNoticeStopsRequests(t *testing.T) {
	cases := []struct {
		name  string
		kind  deployment.Kind
		first reply
		// ignored says that the notice is that of another process.
		ignored bool
	}{
		{name: "a complete response", first: whole(200, "hi", leaveLine)},
		{name: "a failure that is forwarded", kind: deployment.AtMostOnce, first: whole(500, "no", leaveLine)},
		{name: "a failure that is retried elsewhere", first: whole(500, "no", leaveLine)},
		{name: "a refusal", first: raw(head("503 X", "Not-Run: 1", "Content-Length: 0") + "\r\n")},
		{name: "a refusal of an at-most-once request", kind: deployment.AtMostOnce, first: raw(head("503 X", "Not-Run: 1", "Content-Length: 0") + "\r\n")},
		{name: "a refusal without the not-run header", kind: deployment.AtMostOnce, first: whole(503, "", leaveLine)},
		{name: "a response without the seal header", kind: deployment.AtMostOnce, first: raw(head("200 X", "Content-Length: 2") + "\r\nhi")},
		{name: "a truncated response", kind: deployment.AtMostOnce, first: raw(head("200 X", seal+": s", "Content-Length: 9") + "\r\nhi")},
		{name: "a response without a length", first: raw(head("200 X", seal+": s") + "\r\nhi")},
		{name: "a stream", kind: deployment.Streaming, first: raw(head("200 X", seal+": s", "Content-Length: 18") + "\r\n" + event(1))},
		{name: "a stream whose connection breaks", kind: deployment.Streaming, first: raw(head("200 X", seal+": s", "Content-Length: 99") + "\r\n" + event(1))},
		{name: "a stream that continues elsewhere", kind: deployment.Resumable, first: raw(head("200 X", seal+": s", "Content-Length: 99") + "\r\n" + event(1))},
		{name: "another process at the address", first: raw(head("421 X", "Content-Length: 0") + "\r\n"), ignored: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := postMany(t, c.kind, c.first)
			require.Equal(t, 1, f.endpoints[0].count())
			require.GreaterOrEqual(t, f.endpoints[1].count(), 39)
			if c.ignored {
				require.Empty(t, f.left)
				return
			}
			require.Equal(t, []string{"e0"}, f.left)
		})
	}
}

// Guards against using a slot that an engine has reserved along with a leave notice,
// and against further reservation requests to it.
func TestLeaveNoticeStopsReservations(t *testing.T) {
	for name, places := range map[string]*engines{
		"it has a slot": {free: map[string]int{"e0": 100, "e1": 100}},
		"it has none":   {free: map[string]int{"e1": 100}},
	} {
		t.Run(name, func(t *testing.T) {
			places.requested = map[string]int{}
			places.notices = map[string]gateway.Notice{"e0": {Leaving: true}}
			f := newEngines(t, 3, places, newEndpoint(t, stream(3, "", true)), newEndpoint(t, stream(3, "", true)))
			for n := range 20 {
				a := f.post(t, "/p/x", map[string]string{"Prompt": fmt.Sprintf("doc%d:10,own:1", n), "Model": "m"})
				require.Equal(t, http.StatusOK, a.status)
			}
			require.Equal(t, []string{"e0"}, f.left)
			require.Equal(t, 1, places.requested["e0"])
			require.Zero(t, f.endpoints[0].count())
		})
	}
}

// Guards against requests to an endpoint that has asked this node for a backoff,
// whatever kind of refusal carried it.
func TestBackoffStopsRequests(t *testing.T) {
	refusal := func(status string, more ...string) reply {
		text := "HTTP/1.1 " + status + "\r\n" + id + ": {id}\r\n" + retryAfter + ": 60\r\n"
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
		{name: "of an idempotent request", first: refusal("503 X", "Not-Run: 1")},
		{name: "of an at-most-once request", kind: deployment.AtMostOnce, first: refusal("503 X", "Not-Run: 1")},
		{name: "of a stream", kind: deployment.Streaming, first: refusal("503 X", "Not-Run: 1")},
		{name: "with another status", first: refusal("429 X", "Not-Run: 1")},
		{name: "without the not-run header", kind: deployment.AtMostOnce, first: refusal("503 X")},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := postMany(t, c.kind, c.first)
			time.Sleep(200 * time.Millisecond)
			for range 40 {
				require.Equal(t, http.StatusOK, f.post(t, "/p/x", nil).status)
			}
			require.Equal(t, 1, f.endpoints[0].count())
		})
	}
}

// Guards against reservation requests to an engine that has asked for a backoff.
func TestBackoffStopsReservations(t *testing.T) {
	places := &engines{
		free: map[string]int{"e1": 100}, requested: map[string]int{}, notices: map[string]gateway.Notice{"e0": {Backoff: time.Minute}},
	}
	f := newEngines(t, 3, places, newEndpoint(t, stream(3, "", true)), newEndpoint(t, stream(3, "", true)))
	for n := range 40 {
		a := f.post(t, "/p/x", map[string]string{"Prompt": fmt.Sprintf("doc%d:10,own:1", n), "Model": "m"})
		require.Equal(t, http.StatusOK, a.status)
	}
	require.Equal(t, 1, places.requested["e0"])
	require.Zero(t, f.endpoints[0].count())
}

// Guards against a caller that waits although all endpoints have asked for a backoff
// that is longer than it may wait.
func TestRefusedAtOnceIfAllEndpointsBackOff(t *testing.T) {
	cases := map[string]struct {
		seconds string
		// after is the range of Retry-After, in seconds.
		after [2]float64
	}{
		"for some time":                         {seconds: "3", after: [2]float64{0.6, 3}},
		"for longer than the caller may wait":   {seconds: "60", after: [2]float64{3.1, 6.7}},
		"for less than the caller waits anyhow": {seconds: "0.1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			first := raw("HTTP/1.1 503 X\r\n" + id + ": {id}\r\nNot-Run: 1\r\n" + retryAfter + ": " + c.seconds + "\r\nContent-Length: 0\r\n\r\n")
			route := deployment.Route{Kind: deployment.AtMostOnce, Attempts: 1, Objective: 2 * time.Second, Timeout: 20 * time.Second}
			f := newFixture(t, route, newEndpoint(t, first, whole(200, "hi")))
			require.Equal(t, http.StatusServiceUnavailable, f.post(t, "/p/x", nil).status)
			a := f.post(t, "/p/x", nil)
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
