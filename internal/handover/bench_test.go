package handover_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

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
	header := http.Header{"Content-Type": {"application/json"}, "X-Request-Id": {"1b0c3a6f2d9e4471"}, "X-Key": {"key"}, "Accept": {"*/*"}, "User-Agent": {"caller/1.0"}}
	b.ReportAllocs()
	began := processorTime(b)
	for b.Loop() {
		x, err := c.Offer(b.Context(), addr, &handover.Offer{Method: http.MethodPost, URI: "/plain/x", Host: "h", Header: header, Size: int64(len(body)), Service: "plain"})
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
	b.ReportMetric(float64(processorTime(b)-began)/float64(b.N), "cpu-ns/op")
}

// processorTime returns the processor time of this process. Other processes on the
// machine do not change it much.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
