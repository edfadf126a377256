package gateway_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// resetPlays is how often a response is reset. Which goroutine receives the reset differs from
// one to the next.
const resetPlays = 20

// early are responses without a length of endpoints that respond before they read a request.
var early = []struct {
	name string
	kind deployment.Kind
	text string
	// body is what the caller gets of the response.
	body string
}{
	{name: "plain", kind: deployment.AtMostOnce, text: headOf("X: y") + "part", body: "part"},
	{name: "not kept", kind: deployment.AtMostOnce, text: headOf("Connection: close") + "part", body: "part"},
	{name: "failure", kind: deployment.AtMostOnce, text: strings.Replace(headOf("X: y"), "200", "500", 1) + "part", body: "part"},
	{name: "large", kind: deployment.AtMostOnce, text: headOf("X: y") + strings.Repeat("x", 2<<20), body: strings.Repeat("x", 2<<20)},
	{name: "stream", kind: deployment.Streaming, text: headOf("X: y") + events(1, 2), body: events(1, 2)},
	{name: "stream that may be resumed", kind: deployment.Resumable, text: headOf("X: y") + events(1, 2), body: events(1, 2)},
}

// newGateways are gateways in front of an endpoint: the caller's own node, another node,
// and the owner of the service.
var newGateways = map[string]func(t *testing.T, route deployment.Route, list ...*endpoint) *fixture{
	"at one node": newFixture,
	"at another node": func(t *testing.T, route deployment.Route, list ...*endpoint) *fixture {
		return newHops(t, 1, route, list...).fixture
	},
	"at the owner": func(t *testing.T, route deployment.Route, list ...*endpoint) *fixture {
		return newOwned(t, route, list...).fixture
	},
}

// upload sends a request with a large body, which endpoints may not read.
func (f *fixture) upload(t *testing.T) response {
	return f.postBody(t.Context(), t, "/p/x", strings.Repeat("b", 900<<10), nil)
}

// Guards against a caller that gets the beginning of a response as the whole, because the
// endpoint has reset the connection while the request was being written.
func TestResetDuringAnUploadIsNotTheEndOfAResponse(t *testing.T) {
	for _, c := range early {
		for place, newGateway := range newGateways {
			t.Run(c.name+" "+place, func(t *testing.T) {
				for range resetPlays {
					f := newGateway(t, deployment.Route{Kind: c.kind, Attempts: 1, Objective: time.Second}, newEarlyEndpoint(t, resets(raw(c.text))))
					r := f.upload(t)
					require.True(t, r.status == 502 || !r.complete, "status %d, %d bytes", r.status, len(r.body))
				}
			})
		}
	}
}

// Guards against a caller that gets the beginning of a response although another endpoint
// could have sent the whole, whether the first one was a success or a failure.
func TestResponseThatIsResetDuringAnUploadIsRequestedAgain(t *testing.T) {
	for _, text := range []string{early[0].text, early[2].text} {
		for range resetPlays {
			shared := &sharedReplies{replies: []reply{resets(raw(text)), whole(200, "hi")}}
			f := newFixture(t, deployment.Route{Kind: deployment.Idempotent, Attempts: 2}, newEarlyEndpoint(t, shared.play), newEarlyEndpoint(t, shared.play))
			r := f.upload(t)
			require.Equal(t, 200, r.status)
			require.Equal(t, "hi", r.body)
		}
	}
}

// Guards against a whole response that is withheld from its caller, because the endpoint
// reads no more of the request.
func TestEarlyResponseIsForwardedBeforeTheRequestIsRead(t *testing.T) {
	for _, c := range early {
		for place, newGateway := range newGateways {
			t.Run(c.name+" "+place, func(t *testing.T) {
				received := make(chan struct{})
				f := newGateway(t, deployment.Route{Kind: c.kind, Attempts: 1, Objective: time.Second}, newEarlyEndpoint(t, func(conn net.Conn, r *http.Request) bool {
					raw(c.text)(conn, r)
					_ = conn.(*net.TCPConn).CloseWrite()
					<-received
					return false
				}))
				r := f.upload(t)
				close(received)
				require.True(t, r.complete)
				require.True(t, r.body == c.body, "%d bytes", len(r.body))
			})
		}
	}
}
