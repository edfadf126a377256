package gateway_test

import (
	"net"
	"net/http"
	"net/netip"
	"slices"
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

// Guards against a request that another node ends by its newer configuration's timeout.
func TestTimeoutOfOneConfiguration(t *testing.T) {
	late := func(c net.Conn, r *http.Request) bool {
		return pause(c, 500*time.Millisecond) && whole(200, "hi")(c, r)
	}
	route := deployment.Route{Kind: deployment.AtMostOnce, Objective: time.Second, Timeout: 5 * time.Second}
	shorter := func(c *deployment.Config) {
		c.Routes = slices.Clone(c.Routes)
		for i := range c.Routes {
			c.Routes[i].Timeout = 200 * time.Millisecond
		}
	}
	t.Run("another node", func(t *testing.T) {
		h := newHops(t, 1, route, newEndpoint(t, late))
		h.team.members[0].reconfigure(shorter)
		r := h.post(t, "/p/x", nil)
		require.Equal(t, 200, r.status, r.body)
	})
	t.Run("the owner", func(t *testing.T) {
		o := newOwned(t, route, newEndpoint(t, late))
		o.owner.reconfigure(shorter)
		r := o.post(t, "/p/x", nil)
		require.Equal(t, 200, r.status, r.body)
	})
}

// Guards against an at-most-once request that another node repeats by its newer
// configuration.
func TestKindOfOneConfiguration(t *testing.T) {
	shared := &sharedReplies{replies: []reply{hangUp, whole(200, "hi")}}
	h := newHops(t, 1, deployment.Route{Kind: deployment.AtMostOnce, Attempts: 1, Objective: time.Second, Timeout: 5 * time.Second},
		newEndpoint(t, shared.play), newEndpoint(t, shared.play))
	h.team.members[0].reconfigure(func(c *deployment.Config) {
		list := append([]deployment.Route(nil), c.Routes...)
		for i := range list {
			list[i].Kind, list[i].Attempts = deployment.Idempotent, 3
		}
		c.Routes = list
	})
	_ = h.post(t, "/p/x", nil)
	require.Equal(t, 1, h.arrivals(), "runs of an at-most-once request")
}

// Guards against a begun stream that another node resumes at another service.
func TestStreamResumesAtItsService(t *testing.T) {
	var h *hops
	var n atomic.Int64
	play := func(c net.Conn, r *http.Request) bool {
		if n.Add(1) > 1 {
			return stream(4, "", true)(c, r)
		}
		stream(2, "", false)(c, r)
		h.near.reach.lost.Store(true)
		return false
	}
	h = newHops(t, 1, deployment.Route{Kind: deployment.Resumable, Attempts: 3, Objective: 200 * time.Millisecond, Timeout: 5 * time.Second},
		newEndpoint(t, play), newEndpoint(t, play))
	h.near.reach.lost.Store(false)
	h.team.members[0].reconfigure(func(c *deployment.Config) {
		list := append([]deployment.Route(nil), c.Routes...)
		for i := range list {
			list[i].Split = []deployment.Share{{Service: "other", Weight: 1}}
		}
		c.Routes = list
		c.Services = map[string]deployment.Service{"s": {Name: "s"}, "other": {Name: "other"}}
	})
	elsewhere := newEndpoint(t, stream(4, "", true))
	snapshot := *h.team.members[0].deployment.current.Load()
	snapshot.Endpoints = map[string][]*deployment.Endpoint{
		"s":     snapshot.Endpoints["s"],
		"other": {{ID: "other0", Service: "other", Slots: 4, Addr: netip.MustParseAddrPort(elsewhere.listener.Addr().String())}},
	}
	h.team.members[0].deployment.current.Store(&snapshot)
	r := h.post(t, "/p/x", nil)
	require.Zero(t, elsewhere.count(), "the rest of the stream came from another service")
	require.True(t, r.complete, r.body)
	require.Equal(t, events(1, 4), r.body)
}
