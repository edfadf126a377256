package gateway_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// pausedDialer opens connections and returns them only after a time, whatever the context
// says: a process that was paused in between.
type pausedDialer struct {
	net.Dialer
	pause time.Duration
}

// DialContext implements http1.Dialer.
func (d *pausedDialer) DialContext(_ context.Context, network, address string) (net.Conn, error) {
	conn, err := d.Dialer.DialContext(context.Background(), network, address)
	time.Sleep(d.pause)
	return conn, err
}

// Guards against requests that a paused node sends to endpoints when it resumes, after
// their callers' time is over.
func TestPausedNodeSendsNoOverdueRequest(t *testing.T) {
	for _, kind := range []deployment.Kind{deployment.AtMostOnce, deployment.Idempotent, deployment.Streaming} {
		e := newEndpoint(t, whole(200, "hi"))
		f := &fixture{endpoints: []*endpoint{e}, dialer: &pausedDialer{pause: 200 * time.Millisecond}}
		f.serve(t, &deployment.Config{
			Version: 1, Limits: deployment.Limits{HeaderBytes: 8192, BodyBytes: 1 << 20},
			Routes: []deployment.Route{{
				Name: "r", Host: "h", Prefix: "/p/", Public: true, Kind: kind, Attempts: 2, Timeout: 100 * time.Millisecond,
				Split: []deployment.Share{{Service: "s", Weight: 1}},
			}},
			Services: map[string]deployment.Service{"s": {Name: "s"}},
		}, noLoads{}, nil)
		r := f.post(t, "/p/x", nil)
		require.Equal(t, 503, r.status, "the request has not run")
		require.Zero(t, f.arrivals())
	}
}
