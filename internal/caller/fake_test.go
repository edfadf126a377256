package caller_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/atmostonce"
	"bulrushhinge.example/bulrushhinge/internal/caller"
	"bulrushhinge.example/bulrushhinge/internal/dispatch"
	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/permit"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

const (
	secret = "secret"
	// patience is how long a test waits for what must happen, and pollInterval how
	// often it looks.
	patience     = time.Minute
	pollInterval = time.Millisecond
)

type (
	// endpoints fakes and counts the answers of endpoints.
	endpoints struct {
		calls  atomic.Int64
		answer func(ctx context.Context, call endpoint.Call) (*endpoint.Answer, error)
	}

	// openGate grants every permit.
	openGate struct{}

	// discardSink discards events.
	discardSink struct{}

	// body is a response body that closes a channel when it is closed.
	body struct {
		io.Reader
		closed chan struct{}
	}
)

func (e *endpoints) Do(ctx context.Context, _ netip.AddrPort, call endpoint.Call) (*endpoint.Answer, error) {
	e.calls.Add(1)
	return e.answer(ctx, call)
}

// Apply grants every permit request.
func (openGate) Apply(_ time.Time, b permit.Batch) permit.Reply {
	verdicts := make([]permit.Verdict, len(b.Requests))
	for i := range verdicts {
		verdicts[i] = permit.Granted
	}
	return permit.Reply{Verdicts: verdicts}
}

func (discardSink) Offer(kernel.Event) {}

func (b *body) Close() error {
	close(b.closed)
	return nil
}

func newBody(r io.Reader) *body { return &body{Reader: r, closed: make(chan struct{})} }

// view returns the view of a single node with one chat service and one plain
// service.
func view() *kernel.View {
	m := &manifest.Manifest{
		Revision: 1,
		Models:   []manifest.Model{{Name: "m"}},
		Services: []manifest.Service{
			{Name: "engines", Kind: manifest.KindChat, Models: []string{"m"}},
			{Name: "prices", Kind: manifest.KindPlain},
		},
		Accounts: []manifest.Account{{Name: "a", Key: manifest.KeyDigest(secret)}, {Name: "b", Key: manifest.KeyDigest("other")}},
	}
	v := &kernel.View{Self: kernel.Node{Name: "n1"}, Manifest: m, Pools: map[string]*kernel.Pool{}}
	for _, s := range m.Services {
		e := kernel.Endpoint{Name: s.Name + "-1", Service: s.Name, Owner: "n1"}
		v.Pools[s.Name] = &kernel.Pool{Service: s, Bound: 1, Endpoints: []kernel.Endpoint{e}, Live: 1}
	}
	return v
}

// handler returns a handler that dispatches to the endpoints.
func handler(e *endpoints, v *kernel.View, limits caller.Config) *caller.Handler {
	if limits.Log == nil {
		log := logrus.New()
		log.SetOutput(io.Discard)
		limits.Log = log
	}
	limits.View = func() *kernel.View { return v }
	limits.Dispatcher = dispatch.New(dispatch.Config{View: limits.View, Gate: openGate{}, Endpoints: e, Sink: discardSink{}})
	limits.Tickets = atmostonce.New(atmostonce.Config{Node: v.Self.Name, Incarnation: 1})
	return caller.New(limits)
}

// serve starts a server on a real socket for a handler that dispatches to the
// endpoints.
func serve(t *testing.T, e *endpoints, limits caller.Config) (*httptest.Server, *caller.Handler) {
	t.Helper()
	return serveView(t, e, view(), limits)
}

// serveView is serve with the given view.
func serveView(t *testing.T, e *endpoints, v *kernel.View, limits caller.Config) (*httptest.Server, *caller.Handler) {
	t.Helper()
	h := handler(e, v, limits)
	return startServer(t, h), h
}

// startServer starts a server on a real socket for a handler.
func startServer(t *testing.T, h http.Handler) *httptest.Server {
	t.Helper()
	s := httptest.NewUnstartedServer(h)
	s.Config = caller.NewServer(h)
	s.Start()
	t.Cleanup(s.Close)
	return s
}

func events(attempt string, more ...string) string {
	return "data: {\"id\":\"" + attempt + "\",\"choices\":[{\"delta\":{\"content\":\"hi\"},\"finish_reason\":\"stop\"}]}\n\n" + strings.Join(more, "")
}

func streamed(text string) *endpoint.Answer {
	return &endpoint.Answer{
		Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}},
		Body: newBody(strings.NewReader(text)),
	}
}

func request(t *testing.T, method, url, text string, headers ...string) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(text))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+secret)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	return req
}

func do(t *testing.T, req *http.Request) (*http.Response, string, error) {
	t.Helper()
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

func dial(t *testing.T, s *httptest.Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// errorReader is a reader that always fails.
type errorReader struct{}

func (errorReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// endless returns a reader that repeats a text indefinitely.
func endless(text string) io.Reader { return &repeatingReader{text: text} }

type repeatingReader struct {
	text string
	at   int
}

func (r *repeatingReader) Read(p []byte) (int, error) {
	n := copy(p, r.text[r.at:])
	r.at = (r.at + n) % len(r.text)
	return n, nil
}

func record(t *testing.T, h http.Handler, method, target string) []byte {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, target, http.NoBody))
	require.Equal(t, http.StatusOK, w.Code, w.Body.String())
	return w.Body.Bytes()
}

// stalledReader is a reader that blocks until its context ends.
type stalledReader struct{ ctx context.Context }

func (s stalledReader) Read([]byte) (int, error) {
	<-s.ctx.Done()
	return 0, s.ctx.Err()
}
func (openGate) OwnedLoad(time.Time, string) kernel.Load { return kernel.Load{} }

func (openGate) SetOwnerTotal(time.Time, string, string, kernel.Load) {}
