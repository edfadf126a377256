package handover_test

import (
	"context"
	"net"
	"net/netip"
	"testing"

	"bulrushhinge.example/bulrushhinge/internal/handover"
)

// BenchmarkExchange is one request of 2 KB with a response of 2 KB between two nodes in
// one process.
func BenchmarkExchange(b *testing.B) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	h := &fakeHandler{hands: make(chan string, 1), hand: func(_ context.Context, _ *handover.Offer, body []byte, w *handover.Writer) {
		_, _ = w.Write(body)
	}}
	s, c := handover.NewServer(l, h), handover.NewClient()
	defer s.Close()
	defer func() { _ = c.Close() }()
	addr, body := netip.MustParseAddrPort(l.Addr().String()), make([]byte, 2<<10)
	for b.Loop() {
		x, err := c.Offer(b.Context(), addr, &handover.Offer{Size: int64(len(body))})
		if err != nil {
			b.Fatal(err)
		}
		if err := x.Send(body); err != nil {
			b.Fatal(err)
		}
		for f := (&handover.Frame{}); !f.End; {
			if f, err = x.Next(); err != nil {
				b.Fatal(err)
			}
		}
		x.Close()
		<-h.hands
	}
}
