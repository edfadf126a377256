package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// Guards against a node whose memory is exhausted by many whole responses at once, each of
// which is small enough to be buffered.
func TestResponsesBeyondTheMemoryAreForwardedAsTheyArrive(t *testing.T) {
	const (
		requests, size = 100, 900 << 10
		// mostHeap is twice the memory for responses.
		mostHeap = 64 << 20
		// Of these responses, about 36 are buffered.
		fewestEarly, mostEarly = 60, 70
	)
	var sent atomic.Int64
	var rounds [3]chan struct{}
	var round atomic.Int64
	for n := range rounds {
		rounds[n] = make(chan struct{})
	}
	body := strings.Repeat("x", size)
	e := newEndpoint(t, func(c net.Conn, r *http.Request) bool {
		write(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\n", id, r.Header.Get(id), seal, size)
		_, _ = io.WriteString(c, body[1:])
		sent.Add(1)
		<-rounds[round.Load()]
		return write(c, "x")
	})
	f, _ := newMetered(t, deployment.Route{Kind: deployment.AtMostOnce, Attempts: 1}, e)
	// The requests of a round find the slots of the one before free.
	f.snapshot.Endpoints["s"][0].Slots = 2 * requests
	for n, finish := range rounds {
		round.Store(int64(n))
		sent.Store(0)
		before := heap()
		var early atomic.Int64
		errs := make(chan error, requests)
		for range requests {
			go func() { errs <- f.fetch(t.Context(), size, func() { early.Add(1) }) }()
		}
		require.Eventually(t, func() bool { return sent.Load() == requests || len(errs) > 0 }, time.Minute, time.Millisecond)
		require.Less(t, heap()-before, int64(mostHeap))
		require.Eventually(t, func() bool { return early.Load() >= fewestEarly || len(errs) > 0 }, time.Minute, time.Millisecond)
		require.LessOrEqual(t, early.Load(), int64(mostEarly), "the memory of earlier responses is free again")
		close(finish)
		for range requests {
			require.NoError(t, <-errs)
		}
		require.Eventually(t, func() bool { return f.handler.Active() == 0 }, time.Minute, time.Millisecond)
	}
}

// fetch sends a request and returns an error if the response has another size. It calls a
// function when the response begins.
func (f *fixture) fetch(ctx context.Context, size int64, begins func()) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.server.URL+"/p/x", nil)
	if err != nil {
		return err
	}
	req.Host = "h"
	req.Header.Set(id, "q1")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	begins()
	n, err := io.Copy(io.Discard, resp.Body)
	if err == nil && (n != size || resp.StatusCode != http.StatusOK) {
		err = fmt.Errorf("status %d, %d bytes", resp.StatusCode, n)
	}
	return err
}

// heap returns the size of the live heap.
func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against memory that stays reserved for an endpoint's failure after another
// endpoint has responded: later failures would go to callers instead of being retried.
func TestMemoryOfFailuresIsFreeAgain(t *testing.T) {
	// The retry budget allows one retry for five requests.
	const failures, others, size = 60, 5, 900 << 10
	failure := whole(500, strings.Repeat("x", size))
	var arrived atomic.Int64
	play := func(c net.Conn, r *http.Request) bool {
		if arrived.Add(1)%(others+2) == 1 {
			return failure(c, r)
		}
		return whole(200, "hi")(c, r)
	}
	f := newFixture(t, deployment.Route{Kind: deployment.Idempotent, Attempts: 2, Objective: time.Minute}, newEndpoint(t, play), newEndpoint(t, play))
	for range failures * (1 + others) {
		require.Equal(t, 200, f.post(t, "/p/x", nil).status)
	}
}
