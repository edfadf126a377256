package handover_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/handover"
)

// countingListener counts the connections that it accepts.
type countingListener struct {
	net.Listener
	accepted atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return c, err
}

// Guards against a new connection to the owner of a service for each of many requests at
// a time.
func TestConnectionsAreReused(t *testing.T) {
	const together, each = 32, 50
	raw, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	l := &countingListener{Listener: raw}
	h := &fakeHandler{hands: make(chan string, together*each), hand: func(_ context.Context, _ *handover.Offer, body []byte, w *handover.Writer) {
		_, _ = w.Write(body)
	}}
	s, c := handover.NewServer(l, h), handover.NewClient()
	t.Cleanup(s.Close)
	t.Cleanup(func() { _ = c.Close() })
	addr := netip.MustParseAddrPort(raw.Addr().String())
	var group sync.WaitGroup
	for range together {
		group.Go(func() {
			for range each {
				x, err := c.Offer(t.Context(), addr, &handover.Offer{Size: 4})
				if err != nil {
					continue
				}
				if x.Send([]byte("body")) == nil {
					for f := (&handover.Frame{}); !f.End && err == nil; {
						f, err = x.Next()
					}
				}
				x.Close()
			}
		})
	}
	group.Wait()
	// A connection is free again only after the other node has ended its call, a little
	// after the end of the response.
	require.LessOrEqual(t, l.accepted.Load(), int64(3*together))
	require.Greater(t, len(h.hands), together*each/2)
}
