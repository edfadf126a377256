package gateway_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// reconfigure gives a member a newer configuration than it has.
func (m *member) reconfigure(change func(c *deployment.Config)) {
	snapshot := *m.snapshot
	config := *snapshot.Config
	config.Version++
	change(&config)
	config.Index()
	snapshot.Config = &config
	m.deployment.current.Store(&snapshot)
}

// changes are configurations that do not allow the tests' requests.
var changes = map[string]func(c *deployment.Config){
	"route": func(c *deployment.Config) { c.Routes = nil },
	"key":   func(c *deployment.Config) { c.Accounts = []deployment.Account{{Name: "acct", Keys: []string{"other"}}} },
	"body":  func(c *deployment.Config) { c.Limits.BodyBytes = 1 },
	"head":  func(c *deployment.Config) { c.Limits.HeaderBytes = 1 },
}

// Guards against requests that this node has admitted and another one refuses by a
// newer configuration: their callers got 404, 401, 413 or 431 for what was allowed.
func TestRequestIsAdmittedByOneConfiguration(t *testing.T) {
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			h := newHops(t, 2, deployment.Route{Kind: deployment.AtMostOnce, Objective: time.Second}, newEndpoint(t, whole(200, "hi")))
			h.team.members[0].reconfigure(change)
			r := h.post(t, "/k/x", map[string]string{"Api-Key": "key"})
			require.Equal(t, 200, r.status, r.body)
			require.Equal(t, 1, h.arrivals())
		})
		t.Run(name+" at the owner", func(t *testing.T) {
			o := newOwned(t, deployment.Route{Kind: deployment.AtMostOnce, Objective: time.Second}, newEndpoint(t, whole(200, "hi")))
			o.owner.reconfigure(change)
			r := o.post(t, "/k/x", map[string]string{"Api-Key": "key"})
			require.Equal(t, 200, r.status, r.body)
			require.Equal(t, 1, o.arrivals())
		})
	}
}

// Guards against streams that are cut as they resume by way of another node whose newer
// configuration does not allow them.
func TestStreamResumesByTheConfigurationItBeganWith(t *testing.T) {
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			var h *hops
			var n atomic.Int64
			reply := func(c net.Conn, r *http.Request) bool {
				if n.Add(1) > 1 {
					return stream(4, "", true)(c, r)
				}
				stream(2, "", false)(c, r)
				h.near.reach.lost.Store(true)
				return false
			}
			h = newHops(t, 2, deployment.Route{Kind: deployment.Resumable, Attempts: 2, Objective: time.Second}, newEndpoint(t, reply), newEndpoint(t, reply))
			h.near.reach.lost.Store(false)
			h.team.members[0].reconfigure(change)
			r := h.post(t, "/k/x", map[string]string{"Api-Key": "key"})
			require.True(t, r.complete, r.body)
			require.Equal(t, events(1, 4), r.body)
		})
	}
}
