package endpoint

import (
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/http1"
)

type (
	// Notice is what an endpoint says of itself in an answer, beside the answer.
	Notice struct {
		// Leaving says that it takes no new requests any more, and Incarnation which
		// of its starts says so; 0 where it does not say.
		Leaving     bool
		Incarnation uint64
		// Rest is for how long it wants no requests from this node.
		Rest time.Duration
	}

	// listener hears what endpoints say of themselves in all answers that pass.
	listener struct {
		next  *http.Transport
		heard func(addr netip.AddrPort, n Notice)
	}
)

// RoundTrip implements http.RoundTripper.
func (l listener) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := l.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	n := notice(resp)
	if addr, err := netip.ParseAddrPort(r.URL.Host); err == nil && n != (Notice{}) {
		l.heard(addr, n)
	}
	return resp, nil
}

// CloseIdleConnections is what http.Client calls to close them.
func (l listener) CloseIdleConnections() { l.next.CloseIdleConnections() }

// notice reads what an endpoint says of itself. A word on leaving that is no number
// says nothing.
func notice(resp *http.Response) (n Notice) {
	if text := strings.TrimSpace(resp.Header.Get(HeaderLeaving)); text != "" {
		incarnation, err := strconv.ParseUint(text, 10, 64)
		n.Leaving, n.Incarnation = err == nil, incarnation
	}
	if http1.Refuses(resp.StatusCode) {
		n.Rest = http1.RetryAfter(resp.Header[HeaderRest])
	}
	return n
}
