package gateway_test

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// Guards against routes without a timeout that end the process, or refuse every request
// of a caller that names no time either.
func TestRouteWithoutTimeout(t *testing.T) {
	late := func(c net.Conn, r *http.Request) bool {
		return pause(c, 100*time.Millisecond) && whole(200, "hi")(c, r)
	}
	for _, header := range []map[string]string{nil, {"Deadline-Ms": "20000"}} {
		t.Run(strconv.Itoa(len(header)), func(t *testing.T) {
			f := &fixture{endpoints: []*endpoint{newEndpoint(t, late)}}
			f.serve(t, &deployment.Config{
				Version: 1, Limits: deployment.Limits{HeaderBytes: 8192, BodyBytes: 1 << 20},
				Routes: []deployment.Route{{
					Name: "r", Host: "h", Prefix: "/p/", Public: true, Kind: deployment.Idempotent, Attempts: 2,
					Split: []deployment.Share{{Service: "s", Weight: 1}}, Objective: 20 * time.Millisecond,
				}},
				Services: map[string]deployment.Service{"s": {Name: "s"}},
			}, noLoads{}, nil)
			for range 10 {
				r := f.post(t, "/p/x", header)
				require.Equal(t, 200, r.status, r.body)
			}
		})
	}
}
