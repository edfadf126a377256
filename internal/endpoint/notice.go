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
	// Notice is what an endpoint reports about itself in an answer's headers.
	Notice struct {
		// Leaving is set if the endpoint accepts no new requests. Incarnation is
		// the incarnation that leaves, 0 if the endpoint does not name it.
		Leaving     bool
		Incarnation uint64
		// Backoff is how long it wants no requests from this node.
		Backoff time.Duration
	}

	// noticeTransport is a transport that reports the notices in all answers.
	noticeTransport struct {
		next     http1.StrictTransport
		onNotice func(addr netip.AddrPort, n Notice)
	}
)

// RoundTrip implements http.RoundTripper.
func (t noticeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	n := notice(resp)
	if addr, err := netip.ParseAddrPort(r.URL.Host); err == nil && n != (Notice{}) {
		t.onNotice(addr, n)
	}
	return resp, nil
}

// CloseIdleConnections is what http.Client calls to close them.
func (t noticeTransport) CloseIdleConnections() { t.next.CloseIdleConnections() }

// notice reads the notice from an answer's headers. It ignores a HeaderLeaving
// that is not a number.
func notice(resp *http.Response) (n Notice) {
	if text := strings.TrimSpace(resp.Header.Get(HeaderLeaving)); text != "" {
		incarnation, err := strconv.ParseUint(text, 10, 64)
		n.Leaving, n.Incarnation = err == nil, incarnation
	}
	if http1.IsOverload(resp.StatusCode) {
		n.Backoff = http1.RetryAfter(resp.Header[HeaderBackoff])
	}
	return n
}
