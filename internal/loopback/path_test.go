package loopback_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/loopback"
	"bulrushhinge.example/bulrushhinge/internal/platform"
)

// pace is the time between the tokens of one stream at the target.
const pace = 33 * time.Millisecond

// BenchmarkPath measures requests through one node against the same requests
// sent straight to the endpoint: requests a second, time to the first token,
// processor time and allocations a token. Caller, node and endpoint share the
// process, so the node's own share is the difference of the two; that of two
// lengths of answers gives the cost of a token and of a request.
func BenchmarkPath(b *testing.B) {
	p := newPath(b, 0)
	for _, streams := range []int{1, 16, 64} {
		for _, tokens := range []int{16, 256} {
			for _, target := range p.targets() {
				b.Run(fmt.Sprintf("%s/streams=%d/tokens=%d", target.name, streams, tokens), func(b *testing.B) {
					measure(b, target.addr, streams, tokens, b.N)
				})
			}
		}
	}
}

// BenchmarkPathPaced measures streams whose tokens come one by one, as from an
// engine: each one wakes the node.
func BenchmarkPathPaced(b *testing.B) {
	const tokens = 60
	p := newPath(b, pace)
	for _, streams := range []int{64, 256, 1024} {
		for _, target := range p.targets() {
			b.Run(fmt.Sprintf("%s/streams=%d", target.name, streams), func(b *testing.B) {
				measure(b, target.addr, streams, tokens, b.N*streams)
			})
		}
	}
}

// BenchmarkPathMemory measures the memory that open streams take.
func BenchmarkPathMemory(b *testing.B) {
	for _, streams := range []int{100, 400, 1600} {
		for i, name := range []string{"straight", "node"} {
			b.Run(fmt.Sprintf("%s/streams=%d", name, streams), func(b *testing.B) {
				for b.Loop() {
					p := newPath(b, time.Hour)
					b.ReportMetric(float64(held(b, p.targets()[i].addr, streams))/float64(streams), "B/stream")
				}
			})
		}
	}
}

type (
	// path is one node before one endpoint.
	path struct {
		node, direct netip.AddrPort
	}

	target struct {
		name string
		addr netip.AddrPort
	}

	// lean is an endpoint that costs as little as possible: what is measured is
	// the path.
	lean struct{ pace time.Duration }
)

func newPath(b *testing.B, pace time.Duration) path {
	b.Helper()
	server := httptest.NewServer(lean{pace: pace})
	b.Cleanup(server.Close)
	c := loopback.Thies()
	c.Nodes = c.Nodes[:1]
	c.Endpoints = nil
	c.Limits.MaxAccount = 1 << 12
	c.Limits.MaxWaiting = 1 << 12
	f := start(b, c)
	direct := netip.MustParseAddrPort(server.Listener.Addr().String())
	require.NoError(b, f.List(platform.Instance{
		Name: "w1", Kind: kernel.KindEndpoint, Zone: c.Nodes[0].Zone, Service: "engines", Addr: direct,
	}))
	p := path{node: f.Caller("n1"), direct: direct}
	for {
		if _, err := stream(b.Context(), http.DefaultClient, p.node, 0); err == nil {
			return p
		}
		time.Sleep(time.Millisecond)
	}
}

func (p path) targets() []target { return []target{{"straight", p.direct}, {"node", p.node}} }

// ServeHTTP streams as many tokens as the request asks for.
func (l lean) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/load" {
		_, _ = io.WriteString(w, `{"models":["notices"]}`)
		return
	}
	var req endpoint.ChatRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	attempt := r.Header.Get(endpoint.HeaderAttempt)
	w.Header().Set(endpoint.HeaderAttempt, attempt)
	w.Header().Set("Content-Type", "text/event-stream")
	l.stream(r.Context(), w, attempt, req.MaxTokens)
}

func (l lean) stream(ctx context.Context, w http.ResponseWriter, attempt string, tokens int) {
	control := http.NewResponseController(w)
	data := `data: {"id":"` + attempt + `","object":"chat.completion.chunk","model":"notices","choices":[{"index":0,"delta":{"content":"word "},"finish_reason":null}]}`
	var event []byte
	for i := range tokens {
		event = strconv.AppendInt(append(event[:0], "id: "...), int64(i), 10)
		event = append(append(append(event, '\n'), data...), "\n\n"...)
		_, _ = w.Write(event)
		_ = control.Flush()
		if l.pace == 0 {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(l.pace):
		}
	}
	last := strings.Replace(data, "null", `"stop"`, 1)
	fmt.Fprintf(w, "id: %d\n%s\n\nid: %d\ndata: %s\n\n", tokens, last, tokens+1, endpoint.DoneMark)
}

// measure sends requests over a number of streams at once.
func measure(b *testing.B, addr netip.AddrPort, streams, tokens, requests int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
	defer client.CloseIdleConnections()
	firsts := make([]time.Duration, requests)
	var next atomic.Int64
	var running sync.WaitGroup
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu := processorTime()
	b.ResetTimer()
	for range min(streams, requests) {
		running.Go(func() {
			for i := next.Add(1) - 1; i < int64(requests); i = next.Add(1) - 1 {
				first, err := stream(b.Context(), client, addr, tokens)
				if err != nil {
					b.Error(err)
					return
				}
				firsts[i] = first
			}
		})
	}
	running.Wait()
	b.StopTimer()
	runtime.ReadMemStats(&after)
	total := float64(requests * tokens)
	slices.Sort(firsts)
	b.ReportMetric(float64(requests)/b.Elapsed().Seconds(), "requests/s")
	b.ReportMetric(float64(processorTime()-cpu)/total, "cpu-ns/token")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/total, "allocs/token")
	b.ReportMetric(float64(firsts[requests/2].Microseconds()), "first-p50-us")
	b.ReportMetric(float64(firsts[requests*95/100].Microseconds()), "first-p95-us")
}

// stream sends one request, reads the answer to its end mark and returns the
// time to the first token.
func stream(ctx context.Context, client *http.Client, addr netip.AddrPort, tokens int) (time.Duration, error) {
	start := time.Now()
	resp, err := open(ctx, client, addr, tokens)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var first time.Duration
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			return 0, fmt.Errorf("no end mark: %w", err)
		}
		if first == 0 {
			first = time.Since(start)
		}
		if bytes.Contains(line, []byte(endpoint.DoneMark)) {
			_, err := io.Copy(io.Discard, lines)
			return first, err
		}
	}
}

func open(ctx context.Context, client *http.Client, addr netip.AddrPort, tokens int) (*http.Response, error) {
	body := fmt.Sprintf(`{"model":"notices","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`, tokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%v/v1/chat/completions", addr), strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+loopback.Secret("a1"))
	resp, err := client.Do(req)
	if err == nil && resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		err = errors.New(resp.Status)
	}
	return resp, err
}

// held returns the memory that open streams take.
func held(b *testing.B, addr netip.AddrPort, streams int) uint64 {
	const tokens = 1000
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	before := memory()
	opened := make([]*http.Response, streams)
	var running sync.WaitGroup
	for i := range streams {
		running.Go(func() {
			resp, err := open(ctx, client, addr, tokens)
			if err != nil {
				b.Error(err)
				return
			}
			opened[i] = resp
			_, _ = resp.Body.Read(make([]byte, 1))
		})
	}
	running.Wait()
	used := memory() - before
	for _, resp := range opened {
		if resp != nil {
			resp.Body.Close()
		}
	}
	return used
}

func memory() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
