package gateway_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/gateway"
)

// starting is a deployment whose configuration becomes known after a time.
type starting struct {
	snapshot   atomic.Pointer[deployment.Snapshot]
	configured chan struct{}
}

func (s *starting) Snapshot() *deployment.Snapshot { return s.snapshot.Load() }

func (s *starting) Configured() <-chan struct{} { return s.configured }

// Age implements gateway.Deployment: the configuration is current.
func (*starting) Age() (time.Duration, bool) { return 0, true }

// RecordLeave implements gateway.Deployment.
func (*starting) RecordLeave(deployment.Start, string) {}

func newStarting(after time.Duration) *starting {
	s := &starting{configured: make(chan struct{})}
	s.snapshot.Store(&deployment.Snapshot{})
	config := &deployment.Config{Version: 1}
	config.Index()
	time.AfterFunc(after, func() {
		s.snapshot.Store(&deployment.Snapshot{Config: config})
		close(s.configured)
	})
	return s
}

// Guards against most requests being refused twice, and so lost, in the seconds after
// all nodes were killed.
func TestRequestsBeforeTheFirstConfiguration(t *testing.T) {
	cases := []struct {
		name     string
		peers    gateway.PeerState
		deadline string
		// known is when the configuration becomes known.
		known time.Duration
		// status is 404 if the request got the configuration: it has no route.
		status int
		took   time.Duration
		after  float64
	}{
		{name: "the configuration is read within milliseconds", deadline: "12000", known: 20 * time.Millisecond, status: 404, took: 20 * time.Millisecond},
		{name: "another node serves", deadline: "12000", known: time.Second, status: 503, took: 50 * time.Millisecond, after: 0.2},
		{name: "all others are starting", peers: gateway.PeersStarting, deadline: "12000", known: 1200 * time.Millisecond, status: 404, took: 1200 * time.Millisecond},
		{name: "all others are starting for longer than the caller may wait", peers: gateway.PeersStarting, deadline: "12000", known: time.Minute, status: 503, took: 3 * time.Second, after: 3},
		{name: "a caller with little time", peers: gateway.PeersStarting, deadline: "1000", known: time.Second, status: 503, took: 250 * time.Millisecond, after: 0.5},
		{name: "a caller that does not say how long", peers: gateway.PeersStarting, known: time.Second, status: 503, took: 50 * time.Millisecond, after: 0.5},
		{name: "no other node is alive", peers: gateway.PeersNone, deadline: "12000", known: time.Second, status: 503, took: 50 * time.Millisecond, after: 3.983},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := gateway.New(gateway.Config{
					Headers: headers(), Deployment: newStarting(c.known), Metrics: gateway.NewMetrics(),
					Peers: func() gateway.PeerState { return c.peers }, Stopping: func() bool { return false },
				})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				r := httptest.NewRequest(http.MethodPost, "/p/x", strings.NewReader("body")).WithContext(ctx)
				if c.deadline != "" {
					r.Header.Set("Deadline-Ms", c.deadline)
				}
				began, w := time.Now(), httptest.NewRecorder()
				h.ServeHTTP(w, r)
				require.Equal(t, c.status, w.Code)
				require.InDelta(t, c.took.Seconds(), time.Since(began).Seconds(), 0.06)
				if c.status == http.StatusServiceUnavailable {
					after, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
					require.NoError(t, err)
					require.InDelta(t, c.after, after, 0.02)
				}
			})
		})
	}
}
