package handover_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/handover"
)

// fakeHandler answers with the request's body.
type fakeHandler struct {
	declines string
	hand     func(ctx context.Context, o *handover.Offer, body []byte, w *handover.Writer)
	hands    chan string
}

// Take implements handover.Handler.
func (h *fakeHandler) Take(*handover.Offer) string { return h.declines }

// Release implements handover.Handler.
func (*fakeHandler) Release(*handover.Offer) {}

// Hand implements handover.Handler.
func (h *fakeHandler) Hand(ctx context.Context, o *handover.Offer, body []byte, w *handover.Writer) {
	h.hands <- string(body)
	h.hand(ctx, o, body, w)
}

func newPair(t *testing.T, h *fakeHandler) (*handover.Client, netip.AddrPort) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	h.hands = make(chan string, 8)
	s, c := handover.NewServer(l, h), handover.NewClient()
	t.Cleanup(s.Close)
	t.Cleanup(func() { _ = c.Close() })
	return c, netip.MustParseAddrPort(l.Addr().String())
}

// read returns a response's status and body.
func read(t *testing.T, x *handover.Exchange) (status int, body string) {
	for {
		f, err := x.Next()
		require.NoError(t, err)
		status, body = max(status, f.Status), body+string(f.Data)
		if f.End {
			return status, body
		}
	}
}

func TestExchange(t *testing.T) {
	c, addr := newPair(t, &fakeHandler{hand: func(_ context.Context, _ *handover.Offer, body []byte, w *handover.Writer) {
		w.Header().Set("X", "y")
		w.WriteHeader(http.StatusTeapot)
		_, _ = w.Write(body)
	}})
	for _, body := range []string{"", "hi", strings.Repeat("x", 200<<10)} {
		x, err := c.Offer(t.Context(), addr, &handover.Offer{Size: int64(len(body))})
		require.NoError(t, err)
		require.NoError(t, x.Send([]byte(body)))
		status, got := read(t, x)
		require.Equal(t, http.StatusTeapot, status)
		require.Equal(t, body, got)
		x.Close()
	}
}

// Guards against a request that runs though its node was told that it does not.
func TestWhatIsNotTakenDoesNotRun(t *testing.T) {
	h := &fakeHandler{declines: "busy"}
	c, addr := newPair(t, h)
	_, err := c.Offer(t.Context(), addr, &handover.Offer{})
	require.ErrorIs(t, err, handover.ErrDeclined)
	require.ErrorIs(t, err, handover.ErrNotTaken)
	require.ErrorContains(t, err, "busy")
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	_, err = c.Offer(t.Context(), netip.MustParseAddrPort(l.Addr().String()), &handover.Offer{})
	require.ErrorIs(t, err, handover.ErrNotTaken, "a node that does not answer")
	require.NotErrorIs(t, err, handover.ErrDeclined)
	require.Empty(t, h.hands)
}

// Guards against a request that runs with a part of its body.
func TestBodyOfAnotherSizeDoesNotRun(t *testing.T) {
	h := &fakeHandler{}
	c, addr := newPair(t, h)
	for _, size := range []int64{1, 3} {
		x, err := c.Offer(t.Context(), addr, &handover.Offer{Size: size})
		require.NoError(t, err)
		require.NoError(t, x.Send([]byte("hi")))
		_, err = x.Next()
		require.ErrorIs(t, err, handover.ErrBroken)
		x.Close()
	}
	require.Empty(t, h.hands)
}

// Guards against an event that is cut where a part of the response ends: what is
// written at once arrives at once, with the newest event that it holds.
func TestEventsAreNotCut(t *testing.T) {
	large := strings.Repeat("x", 100<<10)
	c, addr := newPair(t, &fakeHandler{hand: func(_ context.Context, _ *handover.Offer, _ []byte, w *handover.Writer) {
		for n := 1; n <= 3; n++ {
			w.SetEvents(uint64(n), n)
			_, _ = w.Write([]byte(large))
			_ = w.FlushError()
		}
	}})
	x, err := c.Offer(t.Context(), addr, &handover.Offer{})
	require.NoError(t, err)
	defer x.Close()
	require.NoError(t, x.Send(nil))
	for n := 1; n <= 3; n++ {
		f, err := x.Next()
		require.NoError(t, err)
		require.Equal(t, large, string(f.Data))
		require.Equal(t, uint64(n), f.LastEvent)
	}
}

// Guards against a response that is broken off and looks complete.
func TestAbortedResponseIsBroken(t *testing.T) {
	c, addr := newPair(t, &fakeHandler{hand: func(_ context.Context, _ *handover.Offer, _ []byte, w *handover.Writer) {
		_, _ = w.Write([]byte("part"))
		_ = w.FlushError()
		panic(http.ErrAbortHandler)
	}})
	x, err := c.Offer(t.Context(), addr, &handover.Offer{})
	require.NoError(t, err)
	defer x.Close()
	require.NoError(t, x.Send(nil))
	f, err := x.Next()
	require.NoError(t, err)
	require.Equal(t, "part", string(f.Data))
	_, err = x.Next()
	require.ErrorIs(t, err, handover.ErrBroken)
}

// Guards against a request that runs on after its node has left.
func TestEndOfTheCallEndsTheRequest(t *testing.T) {
	ended := make(chan struct{})
	h := &fakeHandler{hand: func(ctx context.Context, _ *handover.Offer, _ []byte, _ *handover.Writer) {
		<-ctx.Done()
		close(ended)
	}}
	c, addr := newPair(t, h)
	ctx, cancel := context.WithCancel(t.Context())
	x, err := c.Offer(ctx, addr, &handover.Offer{})
	require.NoError(t, err)
	defer x.Close()
	require.NoError(t, x.Send(nil))
	<-h.hands
	cancel()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		require.Fail(t, "it runs on")
	}
}
