package caller_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/atmostonce"
	"bulrushhinge.example/bulrushhinge/internal/caller"
	"bulrushhinge.example/bulrushhinge/internal/dispatch"
	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/pkg/entry"
)

const (
	endlessRequests = 100
	// endlessBytes is how much an endless endpoint sends on a connection before it
	// waits, within the limit for one event.
	endlessBytes = 960 << 10
	endlessHeld  = 8 << 20
	// liveBytes bounds what answers without end may add to the live heap.
	liveBytes = 48 << 20
)

// endlessEndpoint is an endpoint that sends a beginning and then a piece again and again,
// up to endlessBytes, and then waits.
type endlessEndpoint struct {
	addr netip.AddrPort
	// parked counts the connections that wait until release is closed.
	parked  atomic.Int64
	release chan struct{}
}

func serveEndless(t *testing.T, beginning, piece string) *endlessEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := &endlessEndpoint{addr: netip.MustParseAddrPort(l.Addr().String()), release: make(chan struct{})}
	chunk := []byte(strings.Repeat(piece, 16<<10/len(piece)+1))
	var running sync.WaitGroup
	running.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			running.Go(func() {
				defer c.Close()
				e.send(c, beginning, chunk)
			})
		}
	})
	t.Cleanup(func() {
		l.Close()
		running.Wait()
	})
	return e
}

func (e *endlessEndpoint) send(c net.Conn, beginning string, chunk []byte) {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	sent, err := io.WriteString(c, strings.ReplaceAll(beginning, "ATTEMPT", r.Header.Get(endpoint.HeaderAttempt)))
	for err == nil && sent < endlessBytes {
		var n int
		n, err = c.Write(chunk)
		sent += n
	}
	if err != nil {
		return
	}
	e.parked.Add(1)
	<-e.release
	e.parked.Add(-1)
}

// serveEndpoint starts a server whose endpoints are all at an address.
func serveEndpoint(t *testing.T, addr netip.AddrPort, limits caller.Config) string {
	t.Helper()
	v := view()
	for _, p := range v.Pools {
		for i := range p.Endpoints {
			p.Endpoints[i].Addr = addr
		}
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	limits.Log = log
	limits.View = func() *kernel.View { return v }
	client := endpoint.NewClient(endpoint.ClientConfig{})
	t.Cleanup(client.Close)
	d := dispatch.New(dispatch.Config{View: limits.View, Gate: openGate{}, Endpoints: client, Sink: discardSink{}})
	t.Cleanup(d.Close)
	limits.Dispatcher = d
	limits.Tickets = atmostonce.New(atmostonce.Config{Node: v.Self.Name, Incarnation: 1})
	return startServer(t, caller.New(limits)).URL
}

func liveHeap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against endpoints that send bytes without end at once and exceed the memory of the
// node, and against callers who get no complete answer then.
func TestAnswersWithoutEndAreBounded(t *testing.T) {
	const stream = "HTTP/1.1 200 OK\r\nX-Attempt: ATTEMPT\r\nContent-Type: text/event-stream\r\n\r\n"
	tests := map[string]struct{ path, beginning, piece string }{
		"status line":           {entry.PathChat, "HTTP/1.1 200 ", "x"},
		"header line":           {entry.PathChat, "HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		"header lines":          {plainPath, "HTTP/1.1 200 OK\r\n", "X-More: 1\r\n"},
		"informational answers": {plainPath, "", "HTTP/1.1 103 Early Hints\r\nX-More: 1\r\n\r\n"},
		"body":                  {plainPath, "HTTP/1.1 200 OK\r\nX-Attempt: ATTEMPT\r\n\r\n", "x"},
		"event":                 {entry.PathChat, stream + "data: ", "x"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := serveEndless(t, test.beginning, test.piece)
			url := serveEndpoint(t, e.addr, caller.Config{MaxHeld: endlessHeld})
			before := liveHeap()
			var asked sync.WaitGroup
			var ended atomic.Int64
			for range endlessRequests {
				req := request(t, "POST", url+test.path, chatBody, entry.HeaderTimeout, "10s")
				asked.Go(func() {
					defer ended.Add(1)
					resp, err := http.DefaultClient.Do(req)
					if err != nil {
						t.Error("no answer: ", err)
						return
					}
					defer resp.Body.Close()
					data, err := io.ReadAll(resp.Body)
					if err != nil || resp.StatusCode < http.StatusInternalServerError || !strings.Contains(string(data), `"ran":`) {
						t.Error("no complete problem: ", resp.StatusCode, string(data), err)
					}
				})
			}
			require.Eventually(t, func() bool { return ended.Load()+e.parked.Load() >= endlessRequests }, patience, pollInterval)
			live := liveHeap()
			close(e.release)
			asked.Wait()
			require.Less(t, int64(live)-int64(before), int64(liveBytes))
		})
	}
}
