package peer_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/peer"
	"bulrushhinge.example/bulrushhinge/internal/permit"
)

// echo replies to a batch with the tokens of its first request as the load, after a
// wait.
type echo struct{ wait func(tokens int) }

func (e echo) Apply(_ time.Time, b permit.Batch) permit.Reply {
	tokens := b.Requests[0].Tokens
	e.wait(tokens)
	return permit.Reply{
		Verdicts: []permit.Verdict{permit.Full},
		Loads:    []kernel.EndpointLoad{{Endpoint: "w1", Load: kernel.Load{Tokens: tokens}}},
	}
}

func servePermits(t *testing.T, addr string, p peer.Permits) (*peer.Server, netip.AddrPort) {
	t.Helper()
	l, err := net.Listen("tcp", addr)
	require.NoError(t, err)
	s, err := peer.NewServer(peer.ServerConfig{Listener: l, Key: newKey(t, secret(1)), Permits: p})
	require.NoError(t, err)
	return s, netip.MustParseAddrPort(l.Addr().String())
}

func permitClient(t *testing.T) *peer.Client {
	t.Helper()
	c := peer.NewClient(peer.ClientConfig{Self: "n1", Key: newKey(t, secret(1))})
	t.Cleanup(func() { require.NoError(t, c.Close()) })
	return c
}

func ask(tokens int) permit.Batch {
	return permit.Batch{Requests: []permit.Request{{ID: uint64(tokens), Endpoint: "w1", Tokens: tokens, Lease: time.Second}}}
}

// Guards against a request that gets the permit of another one.
func TestConcurrentPermitsGetTheirOwnReplies(t *testing.T) {
	s, to := servePermits(t, "127.0.0.1:0", echo{wait: func(int) {}})
	defer s.Close()
	c := permitClient(t)
	var done sync.WaitGroup
	for i := 1; i <= 200; i++ {
		done.Go(func() {
			reply, err := c.Permit(t.Context(), to, ask(i))
			if err != nil || reply.Loads[0].Load.Tokens != i {
				t.Error(i, reply, err)
			}
		})
	}
	done.Wait()
}

// Guards against replies shifted by one after a late reply, so that each request gets
// the reply to the previous one.
func TestLateReplyIsDropped(t *testing.T) {
	release := make(chan struct{})
	s, to := servePermits(t, "127.0.0.1:0", echo{wait: func(tokens int) {
		if tokens == 1 {
			<-release
		}
	}})
	defer s.Close()
	c := permitClient(t)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := c.Permit(ctx, to, ask(1))
	require.ErrorIs(t, err, peer.ErrUnreachable)
	close(release)
	reply, err := c.Permit(t.Context(), to, ask(2))
	require.NoError(t, err)
	require.Equal(t, 2, reply.Loads[0].Load.Tokens)
}

// Guards against an owner that restarts at the same address and can grant nothing to
// nodes that requested permits before, because they keep the old stream.
func TestPermitsReachARestartedOwner(t *testing.T) {
	s, to := servePermits(t, "127.0.0.1:0", echo{wait: func(int) {}})
	c := permitClient(t)
	_, err := c.Permit(t.Context(), to, ask(1))
	require.NoError(t, err)
	require.NoError(t, s.Close())
	_, err = c.Permit(t.Context(), to, ask(2))
	require.ErrorIs(t, err, peer.ErrUnreachable)
	s, _ = servePermits(t, to.String(), echo{wait: func(int) {}})
	defer s.Close()
	require.Eventually(t, func() bool {
		_, err := c.Permit(t.Context(), to, ask(3))
		return err == nil
	}, time.Minute, time.Millisecond)
}

// Guards against permit requests that time out for many minutes on a dead stream
// although the owner is live.
func TestUnresponsiveStreamIsReopened(t *testing.T) {
	var mu sync.Mutex
	streams := 0
	block := make(chan struct{})
	defer close(block)
	s, to := servePermits(t, "127.0.0.1:0", echo{wait: func(tokens int) {
		if tokens == 1 {
			mu.Lock()
			streams++
			mu.Unlock()
			<-block
		}
	}})
	defer func() { go s.Close() }()
	c := permitClient(t)
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, _ = c.Permit(ctx, to, ask(1))
		mu.Lock()
		defer mu.Unlock()
		return streams >= 2
	}, time.Minute, time.Millisecond, "the second stream's first request reaches the owner")
}
