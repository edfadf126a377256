package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bulrushhinge.example/bulrushhinge/platform/standin"
)

// errLongBody is the error of a response whose body the caller did not read to its end.
var errLongBody = errors.New("soak: a body without end")

type (
	// callers behave like the platform's callers: they resolve addresses through the
	// directory, cache the answer for its TTL, and reuse connections.
	callers struct {
		soak   *soak
		ledger *ledger
		next   atomic.Int64
	}

	// caller is one caller, with connections of its own.
	caller struct {
		*callers
		random    *rand.Rand
		client    *http.Client
		addresses []netip.AddrPort
		expires   time.Time
		// patience is how much longer than the deadline of a request the caller waits.
		patience time.Duration
		// key is sent with all requests, unless it is empty.
		key string
	}

	// answer is the outcome of a request as its caller sees it.
	answer struct {
		status int
		body   string
		// cut reports that the connection ended after the answer began and before it
		// was complete.
		cut       bool
		abandoned bool
		err       error
		sent      time.Time
		// wrote is when the request was written, zero if it was not.
		wrote time.Time
		// idle is how long its connection had been idle.
		idle     time.Duration
		sentBody string
	}
)

func (a answer) outcome() string {
	switch {
	case a.abandoned:
		return "left"
	case a.cut:
		return "cut"
	case a.status == 0:
		return "unreached"
	}
	return fmt.Sprint(a.status)
}

// run makes count callers send requests until ctx ends.
func (c *callers) run(ctx context.Context, count int, seed uint64) {
	var group sync.WaitGroup
	for n := range count {
		group.Go(func() {
			k := c.caller(rand.New(rand.NewPCG(seed, uint64(n))))
			for ctx.Err() == nil {
				k.sendOne(ctx)
				time.Sleep(time.Duration(k.random.ExpFloat64() * float64(thinkTime)))
			}
		})
	}
	group.Wait()
}

func (c *callers) caller(r *rand.Rand) *caller {
	return &caller{callers: c, random: r, client: &http.Client{Transport: &http.Transport{DialContext: c.dial, MaxIdleConnsPerHost: 2}}}
}

// dial connects through the proxy in front of a node's address.
func (c *callers) dial(ctx context.Context, network, address string) (net.Conn, error) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	for _, n := range c.soak.nodes {
		if n.Callers() == addr {
			addr = n.callerProxy.addr()
		}
	}
	d := net.Dialer{Timeout: time.Second}
	return d.DialContext(ctx, network, addr.String())
}

// sendOne sends one request of a random kind.
func (c *caller) sendOne(ctx context.Context) {
	addr, ok := c.address()
	if !ok {
		return
	}
	k := kind(c.random.IntN(4))
	route := [...]string{"safe", "once", "stream/resume", "stream/once"}[k]
	id := fmt.Sprintf("%s-%d", strings.ReplaceAll(route, "/", "-"), c.next.Add(1))
	timeout := callerTimeout
	abandons := c.random.IntN(20) == 0
	if abandons {
		timeout = time.Duration(c.random.IntN(200)) * time.Millisecond
	}
	c.ledger.recordRequest(id, k)
	c.ledger.notices.sent(id, c.soak.incarnation(addr), time.Now())
	body := "body of " + id
	if k == safe && c.random.IntN(2) == 0 {
		body = popularBody
	}
	cutSince := c.ledger.cuts.cutSince(addr)
	a := c.sendPrompt(ctx, addr, route, id, body, append(sharedParts(), id), timeout)
	if body == popularBody {
		c.ledger.crashes.recordPopular(a)
	}
	a.abandoned = a.abandoned || (abandons && a.err != nil)
	if a.abandoned || ctx.Err() != nil {
		a.cut = false
	}
	c.ledger.recordAnswer(id, a)
	if ctx.Err() == nil && c.ledger.cuts.cutSince(addr).Equal(cutSince) {
		c.ledger.recordCutTry(cutSince, a)
	}
	if a.status == 0 {
		c.expires = time.Time{}
	}
}

func (c *caller) send(ctx context.Context, addr netip.AddrPort, route, id, body string, timeout time.Duration) answer {
	return c.sendPrompt(ctx, addr, route, id, body, nil, timeout)
}

// sendPrompt sends a request with the parts of its prompt, if there are any.
func (c *caller) sendPrompt(ctx context.Context, addr netip.AddrPort, route, id, body string, parts []string, timeout time.Duration) answer {
	a := c.sendOnce(ctx, addr, route, id, body, parts, timeout)
	if ctx.Err() == nil && !errors.Is(a.err, errLongBody) {
		c.soak.checkLoss(addr, route, id, timeout, a)
	}
	return a
}

// sendOnce sends a request and reads its response.
func (c *caller) sendOnce(ctx context.Context, addr netip.AddrPort, route, id, body string, parts []string, timeout time.Duration) answer {
	ctx, cancel := context.WithTimeout(ctx, timeout+c.patience)
	defer cancel()
	a := answer{sent: time.Now(), sentBody: body}
	var wrote atomic.Pointer[time.Time]
	var idle atomic.Int64
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { idle.Store(int64(info.IdleTime)) },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if now := time.Now(); info.Err == nil {
				wrote.Store(&now)
			}
		},
	})
	req, err := standin.NewRequestWithBody(traced, addr, "/"+route+"/x", id, c.key, body, timeout)
	if err != nil {
		return answer{err: err}
	}
	if len(parts) > 0 {
		standin.SetPrompt(req, parts...)
	}
	resp, err := c.client.Do(req)
	if at := wrote.Load(); at != nil {
		a.wrote, a.idle = *at, time.Duration(idle.Load())
	}
	if err != nil {
		a.err, a.abandoned = err, ctx.Err() != nil
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	if endpoint, leaves := standin.Leaving(resp); leaves {
		c.ledger.notices.leaveForwarded(id, endpoint, time.Now())
	}
	got, err := io.ReadAll(io.LimitReader(resp.Body, mayBodyBytes))
	a.status, a.body, a.err = resp.StatusCode, string(got), err
	a.cut = err != nil
	if len(got) == mayBodyBytes {
		a.err, a.abandoned = errLongBody, true
	}
	return a
}

// address returns a random node address, resolved through a random node's directory.
func (c *caller) address() (netip.AddrPort, bool) {
	if time.Now().After(c.expires) {
		n := c.soak.nodes[c.random.IntN(len(c.soak.nodes))]
		if list, ttl, err := standin.Resolve(n.Directory()); err == nil {
			c.addresses, c.expires = list, time.Now().Add(ttl)
		}
	}
	if len(c.addresses) == 0 {
		return netip.AddrPort{}, false
	}
	return c.addresses[c.random.IntN(len(c.addresses))], true
}

// probe checks repeatedly whether each node knows the newest configuration version. It
// bypasses the nodes' proxies.
func (c *callers) probe(ctx context.Context) {
	client := &http.Client{Timeout: 2 * time.Second}
	for ctx.Err() == nil {
		for _, n := range c.soak.nodes {
			start, version, sentAt := n.Starts(), c.ledger.newest(), time.Now()
			status := c.probeNode(ctx, client, n, version)
			if n.Starts() == start && (status == http.StatusOK || status == http.StatusNotFound) {
				c.ledger.recordProbe(fmt.Sprintf("%s (start %d)", n.Node, start), version, status == http.StatusOK, sentAt)
			}
		}
		time.Sleep(probeInterval)
	}
}

func (c *callers) probeNode(ctx context.Context, client *http.Client, n *node, version int) int {
	id := fmt.Sprintf("probe-%d", c.next.Add(1))
	c.ledger.recordRequest(id, safe)
	req, err := standin.NewRequest(ctx, n.Callers(), fmt.Sprintf("/v%d/x", version), id, "", client.Timeout)
	if err != nil {
		return 0
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
