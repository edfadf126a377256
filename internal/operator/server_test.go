package operator_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/caller"
	"bulrushhinge.example/bulrushhinge/internal/dispatch"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/operator"
	"bulrushhinge.example/bulrushhinge/internal/platform"
	"bulrushhinge.example/bulrushhinge/internal/route"
	"bulrushhinge.example/bulrushhinge/pkg/entry"
	"bulrushhinge.example/bulrushhinge/pkg/hint"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

const token = "operators-secret"

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// The types that a node passes to dispatch and to the platform reader.
var (
	_ dispatch.Recorder = (*operator.Traces)(nil)
	_ dispatch.Recorder = (*operator.Metrics)(nil)
	_ dispatch.Recorder = operator.Log{}
	_ platform.Meter    = (*operator.Metrics)(nil)
)

func view() *kernel.View {
	return &kernel.View{
		Self:     kernel.Node{Name: "n1"},
		Manifest: &manifest.Manifest{Revision: 7},
		Nodes:    []kernel.Node{{Name: "n1", Zone: "a"}, {Name: "n2", Zone: "b", State: kernel.Leaving}},
		Pools: map[string]*kernel.Pool{"engines": {
			Live:  1,
			Total: kernel.Load{Requests: 3},
			Endpoints: []kernel.Endpoint{
				{Name: "w1", Service: "engines", Owner: "n1", Load: kernel.Load{Requests: 3, Tokens: 50}},
				{Name: "w2", Service: "engines", State: kernel.Suspect},
			},
		}},
	}
}

func newMetrics(v *kernel.View) *operator.Metrics {
	return operator.NewMetrics(operator.MetricsConfig{
		View:   func() *kernel.View { return v },
		Active: func() int { return 5 },
		Now:    func() time.Time { return now },
		Platform: func() []platform.Status {
			return []platform.Status{{Key: "accepted", Answered: now.Add(-9 * time.Second), Failures: 4, Behind: true}}
		},
	})
}

func newHandler(v *kernel.View, secret string) (*operator.Handler, *operator.Traces) {
	traces := operator.NewTraces(operator.TracesConfig{Size: 2})
	return operator.New(operator.Config{
		View:    func() *kernel.View { return v },
		Dump:    func() map[string]any { return map[string]any{"config": "dumped"} },
		Record:  func() []byte { return []byte(`{"revision":7}`) },
		Token:   secret,
		Metrics: newMetrics(v),
		Traces:  traces,
	}), traces
}

func get(h http.Handler, path, secret string) (int, string) {
	r := httptest.NewRequest(http.MethodGet, path, nil)
	if secret != "" {
		r.Header.Set("Authorization", "Bearer "+secret)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Code, w.Body.String()
}

func TestBearerToken(t *testing.T) {
	paths := []string{"/state", "/metrics", "/revision", "/instances", "/requests/1"}
	h, _ := newHandler(view(), token)
	open, _ := newHandler(view(), "")
	for _, path := range paths {
		for _, wrong := range []string{"", "guess", token + "x"} {
			status, _ := get(h, path, wrong)
			require.Equal(t, http.StatusUnauthorized, status, path)
		}
		status, _ := get(open, path, "")
		require.Equal(t, http.StatusForbidden, status, path)
	}
	for _, path := range []string{"/healthz", "/readyz"} {
		status, _ := get(h, path, "")
		require.Equal(t, http.StatusOK, status, path)
	}
}

func TestReadiness(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(v *kernel.View)
		want   int
	}{
		{"in force", func(*kernel.View) {}, http.StatusOK},
		{"no configuration", func(v *kernel.View) { v.Manifest = nil }, http.StatusServiceUnavailable},
		{"stopping", func(v *kernel.View) { v.Leaving = true }, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := view()
			c.change(v)
			h, _ := newHandler(v, token)
			status, _ := get(h, "/readyz", "")
			require.Equal(t, c.want, status)
			status, _ = get(h, "/healthz", "")
			require.Equal(t, http.StatusOK, status)
		})
	}
}

func TestRevisionInstancesAndState(t *testing.T) {
	h, _ := newHandler(view(), token)
	_, body := get(h, "/revision", token)
	require.JSONEq(t, `{"revision":7,"record":{"revision":7}}`, body)
	_, body = get(h, "/instances", token)
	var instances operator.Instances
	require.NoError(t, json.Unmarshal([]byte(body), &instances))
	require.Equal(t, kernel.Leaving, instances.Nodes[1].State)
	require.Equal(t, operator.Instance{Name: "w1", Service: "engines", Owner: "n1", Requests: 3, Tokens: 50}, instances.Endpoints[0])
	_, body = get(h, "/state", token)
	require.JSONEq(t, `{"config":"dumped"}`, body)
}

func TestMetricsText(t *testing.T) {
	m := newMetrics(view())
	m.PlatformRead("accepted", errors.New("down"))
	m.Beat(nil)
	m.Fetch(nil)
	m.Record(dispatch.Record{Step: route.Step{Kind: route.StepPermit}})
	m.Record(dispatch.Record{Outcome: route.OutcomeDenied})
	m.Record(dispatch.Record{Outcome: route.OutcomeLost})
	var text bytes.Buffer
	m.Write(&text)
	for _, want := range []string{
		"bulrushhinge_revision 7\n",
		"bulrushhinge_requests_active 5\n",
		`bulrushhinge_nodes{state="leaving"} 1`,
		`bulrushhinge_endpoints{service="engines",state="suspect"} 1`,
		`bulrushhinge_endpoint_requests_highest{service="engines"} 3`,
		`bulrushhinge_endpoint_requests_mean{service="engines"} 3`,
		`bulrushhinge_platform_reads_total{key="accepted",result="failed"} 1`,
		`bulrushhinge_platform_silent_seconds{key="accepted"} 9`,
		`bulrushhinge_platform_behind{key="accepted"} 1`,
		`bulrushhinge_heartbeats_total{result="ok"} 1`,
		`bulrushhinge_revision_fetches_total{result="ok"} 1`,
		`bulrushhinge_steps_total{step="ask"} 1`,
		`bulrushhinge_permits_total{outcome="full"} 1`,
		`bulrushhinge_attempts_failed_total{outcome="lost"} 1`,
		`bulrushhinge_peer_bytes_total{direction="sent"} 0`,
	} {
		require.Contains(t, text.String(), want)
	}
}

func TestMetricsCountAnswers(t *testing.T) {
	m := newMetrics(view())
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(caller.HeaderRan, string(entry.RanNot))
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(entry.Problem{Error: entry.Refusal{Type: "busy", Ran: entry.RanNot}})
	}
	serve := func(path string, h http.HandlerFunc) {
		defer func() { _ = recover() }()
		w := httptest.NewRecorder()
		m.Observe(h).ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, nil))
		require.True(t, w.Flushed || path != "/flush")
	}
	serve("/flush", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("data"))
		require.NoError(t, http.NewResponseController(w).Flush())
	})
	serve(entry.PathChat, refuse)
	serve(entry.PathChat, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("data"))
		panic(http.ErrAbortHandler)
	})
	serve(entry.PathEntry, refuse)
	var text bytes.Buffer
	m.Write(&text)
	for _, want := range []string{
		`bulrushhinge_requests_total{outcome="answered"} 1`,
		`bulrushhinge_requests_total{outcome="refused"} 1`,
		`bulrushhinge_requests_total{outcome="cut"} 1`,
		`bulrushhinge_refusals_total{reason="busy",ran="not_run"} 1`,
		`bulrushhinge_first_byte_seconds_count 1`,
	} {
		require.Contains(t, text.String(), want)
	}
}

func TestMetricsCountPeerBytes(t *testing.T) {
	m := newMetrics(view())
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := m.Listener(inner)
	defer l.Close()
	echoed := make(chan struct{})
	go func() {
		defer close(echoed)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = io.Copy(c, io.LimitReader(c, 10))
	}()
	c, err := m.Dialer(&net.Dialer{}).DialContext(t.Context(), "tcp", l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	_, err = c.Write(make([]byte, 10))
	require.NoError(t, err)
	_, err = io.ReadFull(c, make([]byte, 10))
	require.NoError(t, err)
	// A write is counted after it returns, possibly after its bytes arrived.
	<-echoed
	var text bytes.Buffer
	m.Write(&text)
	require.Contains(t, text.String(), `bulrushhinge_peer_bytes_total{direction="sent"} 20`)
	require.Contains(t, text.String(), `bulrushhinge_peer_bytes_total{direction="received"} 20`)
}

func TestTraceRecordsDecisions(t *testing.T) {
	h, traces := newHandler(view(), token)
	req := route.Request{ID: 0xabc, Account: "a1", Chat: "a1/x", Service: "engines", Hint: hint.Hint{Endpoint: "w1", Tokens: 9}}
	e := kernel.Endpoint{Name: "w1", Owner: "n1", Load: kernel.Load{Requests: 3}}
	record := func(after time.Duration, s route.Step, o route.Outcome) {
		traces.Record(dispatch.Record{Time: now.Add(after), Request: req, Step: s, Outcome: o, Attempt: "f1"})
	}
	record(0, route.Step{Kind: route.StepPermit, Endpoint: e}, 0)
	record(0, route.Step{Kind: route.StepPermit, Endpoint: e}, route.OutcomeDenied)
	record(time.Millisecond, route.Step{Kind: route.StepWait, Until: now.Add(21 * time.Millisecond)}, 0)
	for range 100 {
		record(0, route.Step{Kind: route.StepWait, Until: now}, 0)
	}
	record(time.Second, route.Step{Kind: route.StepRefuse, Reason: route.ReasonDeadline}, 0)
	status, body := get(h, "/requests/abc", token)
	require.Equal(t, http.StatusOK, status)
	var got operator.Trace
	require.NoError(t, json.Unmarshal([]byte(body), &got))
	require.Equal(t, operator.TraceStep{Step: "ask", Endpoint: "w1", Owner: "n1", State: "live", Requests: 3, Hinted: true, Outcome: "full", Attempt: "f1"}, got.Steps[0])
	require.Equal(t, operator.TraceStep{AfterMS: 1, Step: "wait", WaitMS: 20}, got.Steps[1])
	require.Equal(t, operator.TraceStep{AfterMS: 1000, Step: "refuse", Reason: "deadline"}, got.Steps[len(got.Steps)-1])
	require.Positive(t, got.Omitted)
}

func TestTracesAreBounded(t *testing.T) {
	h, traces := newHandler(view(), token)
	for id := range uint64(5) {
		traces.Record(dispatch.Record{Time: now, Request: route.Request{ID: id}, Step: route.Step{Kind: route.StepRun}})
	}
	for id, want := range []int{404, 404, 404, 200, 200} {
		status, _ := get(h, fmt.Sprintf("/requests/%x", id), token)
		require.Equal(t, want, status, id)
	}
	status, _ := get(h, "/requests/none", token)
	require.Equal(t, http.StatusNotFound, status)
}

func TestLogNamesTheRequest(t *testing.T) {
	var text bytes.Buffer
	log := logrus.New()
	log.SetOutput(&text)
	log.SetFormatter(&logrus.JSONFormatter{})
	l := operator.Log{To: log}
	req := route.Request{ID: 0xabc, Account: "a1", Chat: "a1/x", Service: "engines"}
	l.Record(dispatch.Record{Request: req, Step: route.Step{Kind: route.StepPermit}})
	l.Record(dispatch.Record{Request: req, Step: route.Step{Kind: route.StepPermit}, Outcome: route.OutcomeDenied})
	require.Empty(t, text.String())
	step := route.Step{Kind: route.StepRun, Endpoint: kernel.Endpoint{Name: "w1"}}
	l.Record(dispatch.Record{Request: req, Step: step, Outcome: route.OutcomeLost, Attempt: "f1"})
	var line map[string]any
	require.NoError(t, json.Unmarshal(text.Bytes(), &line))
	for field, want := range map[string]string{"request": "abc", "account": "a1", "chat": "a1/x", "endpoint": "w1", "attempt": "f1"} {
		require.Equal(t, want, line[field], field)
	}
	text.Reset()
	l.Record(dispatch.Record{Request: req, Step: route.Step{Kind: route.StepRefuse, Reason: route.ReasonDeadline}})
	require.Contains(t, text.String(), `"reason":"deadline"`)
}

func BenchmarkTrace(b *testing.B) {
	traces := operator.NewTraces(operator.TracesConfig{})
	m := newMetrics(view())
	recorders := dispatch.Recorders{traces, m, operator.Log{}}
	e := kernel.Endpoint{Name: "w1", Owner: "n1"}
	b.ReportAllocs()
	for id := uint64(0); b.Loop(); id++ {
		rec := dispatch.Record{
			Time: now, Request: route.Request{ID: id, Account: "a1", Chat: "a1/x"},
			Step: route.Step{Kind: route.StepPermit, Endpoint: e}, Attempt: "f1",
		}
		recorders.Record(rec)
		rec.Outcome = route.OutcomeGranted
		recorders.Record(rec)
		rec.Step.Kind, rec.Outcome = route.StepRun, 0
		recorders.Record(rec)
	}
}
