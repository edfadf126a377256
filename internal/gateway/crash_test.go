package gateway_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/crash"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

const (
	// fleetSize is how many endpoints could end, and mayEnd how many may.
	fleetSize = 12
	mayEnd    = 3
	// runTime is how long a request runs before it ends its endpoint.
	runTime = 10 * time.Millisecond
)

type (
	// ending is a way in which an endpoint's answer breaks as its process ends.
	ending struct {
		name string
		kind deployment.Kind
		last reply
	}

	// fleet counts the endpoints that have ended.
	fleet struct {
		mu    sync.Mutex
		ended map[int]bool
	}
)

// headOf returns the head of a sealed response with one more header line.
func headOf(line string) string {
	return "HTTP/1.1 200 OK\r\n" + id + ": {id}\r\n" + seal + ": s\r\n" + line + "\r\n\r\n"
}

// resets answers like reply, and resets the connection when it is closed.
func resets(answer reply) reply {
	return func(c net.Conn, r *http.Request) bool {
		_ = c.(*net.TCPConn).SetLinger(0)
		return answer(c, r)
	}
}

// endings returns the ways in which an answer may break.
func endings() []ending {
	chunked, first := headOf("Transfer-Encoding: chunked"), fmt.Sprintf("%x\r\n%s\r\n", len(event(1)), event(1))
	large := strings.Repeat("x", 2<<20)
	return []ending{
		{name: "before the head", kind: deployment.Idempotent, last: hangUp},
		{name: "before the head, at most once", kind: deployment.AtMostOnce, last: hangUp},
		{name: "before the head of a stream", kind: deployment.Resumable, last: hangUp},
		{name: "by a reset", kind: deployment.Idempotent, last: resets(hangUp)},
		{name: "after the head of a stream", kind: deployment.Resumable, last: raw(chunked)},
		{name: "after the head of a stream that may not resume", kind: deployment.Streaming, last: raw(chunked)},
		{name: "between two events", kind: deployment.Resumable, last: raw(chunked + first)},
		{name: "between two events of a stream that may not resume", kind: deployment.Streaming, last: raw(chunked + first)},
		{name: "within an event", kind: deployment.Resumable, last: raw(chunked + first + "10\r\nid: 2\nda")},
		{name: "after the last event", kind: deployment.Resumable, last: stream(4, "", false)},
		{name: "in a buffered body", kind: deployment.Idempotent, last: raw(headOf("Content-Length: 9") + "hi")},
		{name: "in a buffered body, at most once", kind: deployment.AtMostOnce, last: raw(headOf("Content-Length: 9") + "hi")},
		{name: "in a chunked body", kind: deployment.Idempotent, last: raw(chunked + "2\r\nhi\r\n")},
		{name: "in a body too large to buffer", kind: deployment.Idempotent, last: raw(headOf(fmt.Sprintf("Content-Length: %d", len(large)+1)) + large)},
		{name: "in a body without a length", kind: deployment.Idempotent, last: raw(headOf("X: y") + "hi")},
		{name: "in a stream without a length", kind: deployment.Streaming, last: raw(headOf("X: y") + event(1))},
	}
}

// end ends a start of the endpoint's process, as the kernel does: it closes the
// listener and all connections but one.
func (e *endpoint) end(start int, but net.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.start != start {
		return
	}
	e.start++
	_ = e.listener.Close()
	for c := range e.conns {
		if c != but {
			_ = c.Close()
		}
	}
}

// running returns the present start of the endpoint's process.
func (e *endpoint) running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.start
}

// startAgain accepts connections at the address of an endpoint that has ended.
func (e *endpoint) startAgain(t *testing.T) {
	l, err := net.Listen("tcp4", e.listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	e.mu.Lock()
	defer e.mu.Unlock()
	e.start++
	e.listener = l
	go e.accept(l, e.start)
}

// loopbackAddr returns an address of this machine that other tests hardly use: the
// ports of endpoints that have ended stay free.
func loopbackAddr() string {
	return fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(250), rand.IntN(256), 1+rand.IntN(250))
}

// newFleet returns endpoints whose processes end as they answer, but serve requests
// with the body "sound".
func newFleet(t *testing.T, size int, last reply) (*fleet, []*endpoint) {
	return newFleetBy(t, size, last, func(c net.Conn, r *http.Request) (handled, open bool) {
		if body, _ := io.ReadAll(r.Body); string(body) == "sound" {
			return true, whole(200, "hi")(c, r)
		}
		return false, false
	})
}

// newFleetBy returns endpoints whose processes end as they answer, unless serve handles
// the request.
func newFleetBy(t *testing.T, size int, last reply, serve func(c net.Conn, r *http.Request) (handled, open bool)) (*fleet, []*endpoint) {
	f := &fleet{ended: map[int]bool{}}
	addr := loopbackAddr()
	var list []*endpoint
	for i := range size {
		e := newEndpointAt(t, addr, nil)
		e.replies[0] = func(c net.Conn, r *http.Request) bool {
			if handled, open := serve(c, r); handled {
				return open
			}
			start := e.running()
			time.Sleep(runTime)
			e.end(start, c)
			f.mu.Lock()
			f.ended[i] = true
			f.mu.Unlock()
			last(c, r)
			return false
		}
		list = append(list, e)
	}
	return f, list
}

func (f *fleet) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.ended)
}

// Guards against a request that ends one endpoint after another because some way in
// which its answers break is not counted.
func TestEachBrokenAnswerOfEndedEndpointCounts(t *testing.T) {
	for _, c := range endings() {
		t.Run(c.name, func(t *testing.T) {
			ended, list := newFleet(t, fleetSize, c.last)
			f := newFixture(t, deployment.Route{Kind: c.kind, Attempts: 2, Objective: time.Second}, list...)
			for range 2 * fleetSize {
				f.post(t, "/p/x", nil)
			}
			require.LessOrEqual(t, ended.count(), mayEnd)
			a := f.post(t, "/p/x", nil)
			require.Equal(t, 503, a.status)
			wait, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
			require.NoError(t, err)
			require.Greater(t, wait, time.Minute.Seconds(), "it is refused for longer than a minute")
			if c.kind != deployment.Resumable && c.kind != deployment.Streaming {
				other := f.postBody(t.Context(), t, "/p/x", "sound", nil)
				require.Equal(t, 200, other.status, other.body)
			}
		})
	}
}

// Guards against copies that wait for a slot and run although the request has ended
// three endpoints meanwhile.
func TestWaitingCopiesOfCrashingRequestAreRefused(t *testing.T) {
	const endpoints, copies = 4, 80
	ended, list := newFleet(t, endpoints, hangUp)
	f := newFixture(t, deployment.Route{Kind: deployment.Idempotent, Attempts: 3, Objective: 10 * time.Second, Timeout: 10 * time.Second}, list...)
	var running sync.WaitGroup
	for range copies {
		running.Go(func() { f.post(t, "/p/x", nil) })
	}
	require.Eventually(t, func() bool {
		return ended.count() == endpoints && len(f.crashes.List(time.Now())) == 1
	}, 5*time.Second, time.Millisecond)
	before := f.arrivals()
	for _, e := range list {
		e.startAgain(t)
	}
	running.Wait()
	require.Equal(t, before, f.arrivals())
	require.Equal(t, 503, f.post(t, "/p/x", nil).status)
}

// Guards against refusals of a request that many callers send alike because
// endpoints, which run on, break off some of its answers.
func TestBrokenAnswersOfRunningEndpointsDoNotCount(t *testing.T) {
	for _, c := range endings() {
		t.Run(c.name, func(t *testing.T) {
			addr := loopbackAddr()
			var list []*endpoint
			for range fleetSize {
				list = append(list, newEndpointAt(t, addr, c.last))
			}
			f := newFixture(t, deployment.Route{Kind: c.kind, Attempts: 2, Objective: time.Second}, list...)
			for range 2 * fleetSize {
				require.NotEqual(t, 503, f.post(t, "/p/x", nil).status)
			}
		})
	}
}

// Guards against a request that ends endpoints which are started again before they
// are asked whether they have ended.
func TestRestartedEndpointsCount(t *testing.T) {
	addr := loopbackAddr()
	var list []*endpoint
	for range fleetSize {
		list = append(list, newEndpointAt(t, addr, hangUp))
	}
	f := newFixture(t, deployment.Route{Kind: deployment.AtMostOnce, Attempts: 1}, list...)
	ran := func() (list []int) {
		for i, e := range f.endpoints {
			if e.count() > 0 {
				list = append(list, i)
			}
		}
		return list
	}
	for len(ran()) < mayEnd {
		require.Equal(t, 502, f.post(t, "/p/x", nil).status)
	}
	for _, i := range ran() {
		f.replace(i)
	}
	f.crashes.Recent(time.Now(), time.Now())
	require.Equal(t, 503, f.post(t, "/p/x", nil).status)
}

// Guards against a request that ends endpoints after its callers have left, which no
// run proves.
func TestRunsThatCallersLeftAreReported(t *testing.T) {
	const endpoints = 4
	addr := loopbackAddr()
	arrived := make(chan int, 1)
	left, leave, ended := make(chan struct{}), make(chan struct{}), make(chan struct{})
	var list []*endpoint
	for i := range endpoints {
		e := newEndpointAt(t, addr, nil)
		e.replies[0] = func(c net.Conn, r *http.Request) bool {
			if body, _ := io.ReadAll(r.Body); string(body) != "body" {
				return whole(200, "hi")(c, r)
			}
			start := e.running()
			arrived <- i
			// The gateway closes the connection as the caller leaves.
			_, _ = c.Read(make([]byte, 1))
			close(left)
			<-leave
			e.end(start, c)
			close(ended)
			return false
		}
		list = append(list, e)
	}
	f := newFixture(t, deployment.Route{Kind: deployment.AtMostOnce, Attempts: 1, Objective: time.Second}, list...)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { f.postContext(ctx, t, "/p/x", nil) })
	ran := f.snapshot.Endpoints["s"][<-arrived]
	cancel()
	running.Wait()
	<-left
	reported := func() bool {
		return slices.ContainsFunc(f.crashes.Recent(time.Now(), time.Now()).Unproven, func(k crash.Report) bool {
			return k.Endpoint == ran.Start().Key() && k.ID != 0
		})
	}
	require.False(t, reported(), "the endpoint runs")
	close(leave)
	<-ended
	require.Eventually(t, func() bool {
		f.postBody(t.Context(), t, "/p/x", "another", nil)
		return reported()
	}, 5*time.Second, time.Millisecond)
}

// replace lets another start of an endpoint appear at its address.
func (f *fixture) replace(i int) {
	old := f.snapshot.Endpoints["s"][i]
	next := *old
	next.Born = time.UnixMilli(1)
	f.snapshot.Endpoints["s"][i] = &next
}
