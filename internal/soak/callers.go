package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bulrushhinge.example/bulrushhinge/platform/standin"
)

type (
	// callers ask as the platform's callers do: they ask the directory where to
	// connect, keep the answer for a while, and keep connections.
	callers struct {
		soak   *soak
		ledger *ledger
		next   atomic.Int64
	}

	// caller is one of them; its connections are its own.
	caller struct {
		*callers
		random    *rand.Rand
		client    *http.Client
		addresses []netip.AddrPort
		until     time.Time
	}

	// answer is what a caller got.
	answer struct {
		status int
		body   string
		// cut says that the answer began, or the request was sent, and the
		// connection ended before its end.
		cut  bool
		left bool
		err  error
		sent time.Time
	}
)

func (a answer) outcome() string {
	switch {
	case a.left:
		return "left"
	case a.cut:
		return "cut"
	case a.status == 0:
		return "unreached"
	}
	return fmt.Sprint(a.status)
}

// run lets a number of callers ask until ctx ends.
func (c *callers) run(ctx context.Context, count int, seed uint64) {
	var group sync.WaitGroup
	for n := range count {
		group.Go(func() {
			k := &caller{callers: c, random: rand.New(rand.NewPCG(seed, uint64(n)))}
			k.client = &http.Client{Transport: &http.Transport{DialContext: c.dial, MaxIdleConnsPerHost: 2}}
			for ctx.Err() == nil {
				k.once(ctx)
				time.Sleep(time.Duration(k.random.ExpFloat64() * float64(thinkTime)))
			}
		})
	}
	group.Wait()
}

// dial goes through the proxy that stands before a node's address.
func (c *callers) dial(ctx context.Context, network, address string) (net.Conn, error) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	for _, n := range c.soak.nodes {
		if n.Callers() == addr {
			addr = n.front.addr()
		}
	}
	d := net.Dialer{Timeout: time.Second}
	return d.DialContext(ctx, network, addr.String())
}

// once asks one request of some kind.
func (c *caller) once(ctx context.Context) {
	addr, ok := c.address()
	if !ok {
		return
	}
	k := kind(c.random.IntN(4))
	route := [...]string{"safe", "once", "stream/resume", "stream/once"}[k]
	id := fmt.Sprintf("%s-%d", strings.ReplaceAll(route, "/", "-"), c.next.Add(1))
	patience := callerTimeout
	leaves := c.random.IntN(20) == 0
	if leaves {
		patience = time.Duration(c.random.IntN(200)) * time.Millisecond
	}
	c.ledger.ask(id, k)
	c.ledger.words.sent(id, c.soak.life(addr), time.Now())
	a := c.ask(ctx, addr, route, id, patience)
	a.left = a.left || (leaves && a.err != nil)
	if a.left || ctx.Err() != nil {
		a.cut = false
	}
	c.ledger.answered(id, a)
	if a.status == 0 {
		c.until = time.Time{}
	}
}

func (c *caller) ask(ctx context.Context, addr netip.AddrPort, route, id string, patience time.Duration) answer {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	a := answer{sent: time.Now()}
	req, err := standin.NewRequest(ctx, addr, "/"+route+"/x", id, "", patience)
	if err != nil {
		return answer{err: err}
	}
	resp, err := c.client.Do(req)
	if err != nil {
		a.err, a.left = err, ctx.Err() != nil
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	if endpoint, leaves := standin.Leaving(resp); leaves {
		c.ledger.words.passed(id, endpoint, time.Now())
	}
	body, err := io.ReadAll(resp.Body)
	a.status, a.body, a.err = resp.StatusCode, string(body), err
	a.cut = err != nil
	return a
}

// address returns where to ask, from an answer of some node's directory.
func (c *caller) address() (netip.AddrPort, bool) {
	if time.Now().After(c.until) {
		n := c.soak.nodes[c.random.IntN(len(c.soak.nodes))]
		if list, ttl, err := standin.Resolve(n.Directory()); err == nil {
			c.addresses, c.until = list, time.Now().Add(ttl)
		}
	}
	if len(c.addresses) == 0 {
		return netip.AddrPort{}, false
	}
	return c.addresses[c.random.IntN(len(c.addresses))], true
}

// probe asks each node, past its proxy, whether it knows the newest version.
func (c *callers) probe(ctx context.Context) {
	client := &http.Client{Timeout: 2 * time.Second}
	for ctx.Err() == nil {
		for _, n := range c.soak.nodes {
			life, version, asked := n.Starts(), c.ledger.newest(), time.Now()
			status := c.know(ctx, client, n, version)
			if n.Starts() == life && (status == http.StatusOK || status == http.StatusNotFound) {
				c.ledger.shows(fmt.Sprintf("%s (start %d)", n.Node, life), version, status == http.StatusOK, asked)
			}
		}
		time.Sleep(probeInterval)
	}
}

func (c *callers) know(ctx context.Context, client *http.Client, n *node, version int) int {
	id := fmt.Sprintf("probe-%d", c.next.Add(1))
	c.ledger.ask(id, safe)
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
