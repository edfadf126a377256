package loopback_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/internal/loopback"
	"bulrushhinge.example/bulrushhinge/internal/standin"
)

const benchTokens = 64

// quick is an engine that makes tokens without pause, so that what is measured
// is the path.
var quick = standin.EndpointConfig{Step: time.Nanosecond, Prefill: time.Nanosecond, MaxBatch: 1 << 12}

// BenchmarkPath measures requests through one node against the same requests
// sent straight to the endpoint: requests a second, time to the first token,
// processor time and allocations a token. Caller, node and endpoint share the
// process, so the node's own share is the difference of the two.
func BenchmarkPath(b *testing.B) {
	f, node, direct := bench(b, quick)
	defer func() { require.NoError(b, f.Close()) }()
	targets := []struct {
		name string
		addr netip.AddrPort
	}{{"straight", direct}, {"node", node}}
	for _, streams := range []int{1, 16, 64} {
		for _, target := range targets {
			b.Run(fmt.Sprintf("%s/streams=%d", target.name, streams), func(b *testing.B) {
				measure(b, target.addr, streams)
			})
		}
	}
}

// BenchmarkPathMemory measures the memory that open streams take, through one
// node and straight to the endpoint.
func BenchmarkPathMemory(b *testing.B) {
	slow := quick
	slow.Step = 500 * time.Millisecond
	for _, streams := range []int{100, 400, 1600} {
		for _, name := range []string{"straight", "node"} {
			b.Run(fmt.Sprintf("%s/streams=%d", name, streams), func(b *testing.B) {
				for b.Loop() {
					f, node, direct := bench(b, slow)
					addr := node
					if name == "straight" {
						addr = direct
					}
					b.ReportMetric(float64(held(b, addr, streams))/float64(streams), "B/stream")
					require.NoError(b, f.Close())
				}
			})
		}
	}
}

func bench(b *testing.B, engine standin.EndpointConfig) (f *loopback.Fleet, node, direct netip.AddrPort) {
	b.Helper()
	c := loopback.Thies()
	c.Nodes = c.Nodes[:1]
	c.Endpoints = c.Endpoints[:1]
	c.Endpoints[0].Engine = engine
	c.Limits.MaxAccount = 1 << 12
	c.Limits.MaxWaiting = 1 << 12
	log := logrus.New()
	log.SetOutput(io.Discard)
	c.Log = log
	f, err := loopback.New(c)
	require.NoError(b, err)
	ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
	defer cancel()
	require.NoError(b, f.Ready(ctx))
	return f, f.Caller("n1"), f.Endpoint("w1").Addr
}

func measure(b *testing.B, addr netip.AddrPort, streams int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
	defer client.CloseIdleConnections()
	firsts := make([]time.Duration, b.N)
	var next atomic.Int64
	var running sync.WaitGroup
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu := processorTime()
	b.ResetTimer()
	for range streams {
		running.Go(func() {
			for i := next.Add(1) - 1; i < int64(b.N); i = next.Add(1) - 1 {
				first, err := stream(b.Context(), client, addr, benchTokens)
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
	tokens := float64(b.N * benchTokens)
	slices.Sort(firsts)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	b.ReportMetric(float64(processorTime()-cpu)/tokens, "cpu-ns/token")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/tokens, "allocs/token")
	b.ReportMetric(float64(firsts[b.N/2].Microseconds()), "first-p50-us")
	b.ReportMetric(float64(firsts[b.N*95/100].Microseconds()), "first-p95-us")
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
