package gateway_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/crash"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/gateway"
	"bulrushhinge.example/bulrushhinge/internal/handover"
)

// failingCrashes panics at a step of a request.
type failingCrashes struct {
	gateway.Crashes
	at string
}

// Isolated panics before an endpoint is chosen.
func (f failingCrashes) Isolated(list []crash.Feature) crash.Isolation {
	if f.at == "isolated" {
		panic("isolated")
	}
	return f.Crashes.Isolated(list)
}

// Reached panics once an endpoint has responded.
func (f failingCrashes) Reached(e *deployment.Endpoint, sent time.Time) {
	if f.at == "reached" {
		panic("reached")
	}
	f.Crashes.Reached(e, sent)
}

// Served panics once a whole response has been forwarded.
func (f failingCrashes) Served(list []crash.Feature, began time.Time) {
	if f.at == "served" {
		panic("served")
	}
	f.Crashes.Served(list, began)
}

// panicAt returns a change of settings after which requests panic at a step.
func panicAt(step string) func(c *gateway.Config) {
	return func(c *gateway.Config) { c.Crashes = failingCrashes{Crashes: c.Crashes, at: step} }
}

// lines closes the log and returns its lines of an event.
func (f *fixture) lines(t *testing.T, event string) []map[string]any {
	f.log.Close()
	var list []map[string]any
	for line := range bytes.Lines(f.logged.Bytes()) {
		fields := map[string]any{}
		require.NoError(t, json.Unmarshal(line, &fields))
		if fields["event"] == event {
			list = append(list, fields)
		}
	}
	return list
}

// value returns a counter's line of the metrics, empty if it is missing.
func value(m *gateway.Metrics, name string) string {
	var out bytes.Buffer
	m.Write(&out)
	for line := range bytes.Lines(out.Bytes()) {
		if bytes.HasPrefix(line, []byte("bulrushhinge_gateway_"+name+" ")) {
			return string(bytes.TrimSpace(line[len("bulrushhinge_gateway_"+name):]))
		}
	}
	return ""
}

// Guards against a connection that closes without an answer and without a line in the
// log, because a handler panics.
func TestPanicsAreAnsweredAndLogged(t *testing.T) {
	for _, c := range []struct {
		at      string
		kind    deployment.Kind
		answer  reply
		status  int
		body    string
		aborted bool
	}{
		{at: "isolated", answer: whole(200, "hi"), status: 502, body: "internal-error\n"},
		{at: "reached", answer: whole(200, "hi", "Content-Type: text/x\r\n"), status: 502, body: "internal-error\n"},
		{at: "served", kind: deployment.Streaming, answer: stream(2, "", true), status: 200, body: events(1, 2), aborted: true},
	} {
		t.Run(c.at, func(t *testing.T) {
			f := newFixture(t, deployment.Route{Kind: c.kind, Attempts: 1}, newEndpoint(t, c.answer))
			f.change = panicAt(c.at)
			f.serve(t, f.snapshot.Config, noLoads{}, nil)
			got := f.post(t, "/p/x", nil)
			require.Equal(t, c.status, got.status)
			require.Equal(t, c.body, got.body)
			require.Equal(t, c.aborted, !got.complete)
			if !c.aborted {
				require.Empty(t, got.header.Get(seal))
				require.Empty(t, got.header.Get("Retry-After"), "it may have run")
			}
			require.Equal(t, "1", value(f.metrics, "panics_total"))
			list := f.lines(t, "panic")
			require.Len(t, list, 1)
			require.Equal(t, "q1", list[0]["request"])
			require.Equal(t, "r", list[0]["route"])
			require.Equal(t, 1., list[0]["version"])
			require.Equal(t, c.at, list[0]["error"])
			require.Contains(t, list[0]["stack"].([]any)[0], "failingCrashes")
		})
	}
}

// Guards against a request whose panic at the node that it was handed over to ends its
// connection at the first.
func TestPanicOfAHandedOverRequestIsRefused(t *testing.T) {
	h := &hops{
		fixture: newFixture(t, deployment.Route{Kind: deployment.AtMostOnce, Attempts: 1}, newEndpoint(t, whole(200, "hi"))),
		team:    &team{client: handover.NewClient()},
	}
	t.Cleanup(func() { _ = h.team.client.Close() })
	h.change = panicAt("reached")
	h.team.members = []*member{h.newMember(t, h.team)}
	h.change = nil
	h.front(t)
	got := h.post(t, "/p/x", nil)
	require.Equal(t, http.StatusBadGateway, got.status)
	require.Equal(t, "internal-error\n", got.body)
	list := h.lines(t, "panic")
	require.Len(t, list, 1)
	require.Equal(t, "q1", list[0]["request"])
	require.Equal(t, "near", list[0]["from"])
	require.Equal(t, "reached", list[0]["error"])
	refused := h.lines(t, "refused")
	require.Len(t, refused, 2)
	for _, line := range refused {
		require.Equal(t, "internal-error", line["reason"])
		require.Equal(t, 1., line["runs"])
	}
}

// Guards against a connection that stays open after a response was aborted on purpose,
// and against a line in the log for it.
func TestAbortedResponseIsNoPanic(t *testing.T) {
	f := newFixture(t, deployment.Route{Kind: deployment.Streaming, Attempts: 1}, newEndpoint(t, stream(2, "", false)))
	require.False(t, f.post(t, "/p/x", nil).complete)
	require.Equal(t, "0", value(f.metrics, "panics_total"))
	require.Empty(t, f.lines(t, "panic"))
}
