package soak

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// egress is the proxy through which one node reaches all endpoints.
type egress struct {
	*proxy
	// toScarce is how many bytes the node has sent to endpoints of the scarce service.
	toScarce atomic.Int64
}

// cutModes are the ways in which a node is cut off from the endpoints.
var cutModes = []mode{modeBlackhole, modeReset, modeRefuse}

// newEgress starts an egress proxy on a free port of ip, in front of a world's endpoints.
func newEgress(ip string, w *world) (*egress, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, fmt.Errorf("soak: egress: %w", err)
	}
	e := &egress{proxy: &proxy{listener: l, buffer: endpointBuffer, open: map[net.Conn]bool{}}}
	e.forwarded = w.countScarce(e)
	e.accept(e.serveConnect)
	return e, nil
}

// serveConnect answers one CONNECT request and forwards what follows.
func (e *egress) serveConnect(in net.Conn) {
	defer func() { _ = in.Close() }()
	reader := bufio.NewReader(in)
	req, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	switch e.currentMode() {
	case modeBlackhole:
		// The node gives up waiting for an answer.
		_, _ = reader.ReadByte()
		return
	case modeReset, modeRefuse:
		answerConnect(in, http.StatusBadGateway)
		return
	case modePass, modeDelay, modeDropReplies:
	}
	out, err := net.Dial("tcp4", req.Host)
	if err != nil {
		answerConnect(in, http.StatusBadGateway)
		return
	}
	answerConnect(in, http.StatusOK)
	e.join(in, out)
}

func answerConnect(c net.Conn, status int) {
	// An error means that the node has given up.
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n\r\n", status, http.StatusText(status))
}

// cuts records the first tries at nodes that reach no endpoint.
type cuts struct {
	mu     sync.Mutex
	since  map[netip.AddrPort]time.Time
	tries  int
	failed int
}

func newCuts() *cuts { return &cuts{since: map[netip.AddrPort]time.Time{}} }

// set records that the node at an address is cut off, or no longer if since is zero.
func (c *cuts) set(node netip.AddrPort, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since[node] = since
}

// cutSince returns since when the node at an address is cut off, zero if it is not.
func (c *cuts) cutSince(node netip.AddrPort) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since[node]
}

// record records a try at a node that is cut off.
func (c *cuts) record(served bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tries++
	if !served {
		c.failed++
	}
}

// count returns the recorded tries, and how many of them failed.
func (c *cuts) count() (tries, failed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tries, c.failed
}

// check returns a violation if too many tries have failed.
func (c *cuts) check() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if float64(c.failed) <= cutSlack+cutShare*float64(c.tries) {
		return nil
	}
	return []string{fmt.Sprintf("%d of %d tries failed at nodes that reach no endpoint", c.failed, c.tries)}
}
