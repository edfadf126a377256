package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/platform/standin"
)

const (
	// addressTTL is how long callers cache a directory's answer.
	addressTTL = time.Second
	// maxIdleConns is how many idle connections callers keep to a node.
	maxIdleConns = 64
)

type (
	// callers send requests at the plan's rate, whether earlier requests were answered
	// or not.
	callers struct {
		run    *run
		client *http.Client
		// random is used only by the goroutine that draws requests.
		random *rand.Rand

		mu        sync.Mutex
		addresses []netip.AddrPort
		expires   time.Time
	}

	// outcome is the result of one request.
	outcome struct {
		request string
		account int
		large   bool
		at      time.Duration
		status  int
		// firstByte is the time until the first byte arrived, and complete says that
		// all bytes did.
		firstByte time.Duration
		complete  bool
		// sentLate is how late the caller sent the request.
		sentLate time.Duration
		// headers is the time until the response headers arrived.
		headers time.Duration
	}
)

func newCallers(r *run) *callers {
	p := r.config.Plan
	return &callers{
		run: r, random: rand.New(rand.NewPCG(p.Seed, 0)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}},
	}
}

// sendRequests sends requests until ctx ends, and waits for the answers.
func (c *callers) sendRequests(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for n, at := 0, time.Duration(0); ; n++ {
		// The time of a request follows from that of the one before, not from when it
		// was sent: late timers would add up to a lower rate than the plan's.
		at += time.Duration(c.random.ExpFloat64() / c.run.config.Plan.RateAt(at) * float64(time.Second))
		if !wait(ctx, at-time.Since(c.run.began)) {
			return
		}
		r, k, id := c.drawRequest(at), c.drawAccount(at), fmt.Sprint("q", n)
		large := r.Large > 0 && c.random.Float64() < r.Large
		late := time.Since(c.run.began) - at
		group.Go(func() {
			o := c.send(ctx, r, k, large, id)
			o.sentLate = late
			c.run.result.addOutcome(o)
		})
	}
}

// drawRequest draws a kind of request by the plan's shares at a time since the
// start.
func (c *callers) drawRequest(at time.Duration) Request {
	plan := c.run.config.Plan
	total := 0.0
	for _, r := range plan.Requests {
		total += plan.ShareAt(r, at)
	}
	left := c.random.Float64() * total
	for _, r := range plan.Requests {
		if left -= plan.ShareAt(r, at); left < 0 {
			return r
		}
	}
	return plan.Requests[len(plan.Requests)-1]
}

// drawAccount draws an account by its share at a time since the start.
func (c *callers) drawAccount(at time.Duration) int {
	plan := c.run.config.Plan
	total := 0.0
	for n := range plan.Accounts {
		total += plan.AccountShareAt(n, at)
	}
	left := c.random.Float64() * total
	for n := range plan.Accounts {
		if left -= plan.AccountShareAt(n, at); left < 0 {
			return n
		}
	}
	return plan.Accounts - 1
}

// send sends one request. It continues past the end of the run, so that requests sent
// late are answered too.
func (c *callers) send(ctx context.Context, r Request, account int, large bool, id string) outcome {
	o := outcome{request: r.Name, account: account, large: large, at: time.Since(c.run.began)}
	addr, err := c.address()
	if err != nil {
		return o
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.Timeout)
	defer cancel()
	body := "body of " + id
	if large {
		body = standin.WorkBody(r.LargeTimes, body)
	}
	req, err := standin.NewRequestWithBody(ctx, addr, r.prefix()+"x", id, key(account), body, r.Timeout)
	if err != nil {
		return o
	}
	resp, err := c.client.Do(req)
	if err != nil {
		c.forget()
		return o
	}
	defer func() { _ = resp.Body.Close() }()
	o.status, o.headers = resp.StatusCode, time.Since(c.run.began)-o.at
	var begin [1]byte
	if _, err := io.ReadFull(resp.Body, begin[:]); err != nil && !errors.Is(err, io.EOF) {
		return o
	}
	o.firstByte = time.Since(c.run.began) - o.at
	_, err = io.Copy(io.Discard, resp.Body)
	o.complete = err == nil
	return o
}

// address returns a random address of those that a directory listed recently.
func (c *callers) address() (netip.AddrPort, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.expires) {
		c.resolve()
	}
	if len(c.addresses) == 0 {
		return netip.AddrPort{}, errors.New("experiment: no directory answers")
	}
	return c.addresses[rand.IntN(len(c.addresses))], nil
}

// resolve asks the directories in random order until one answers. If none does, the
// known addresses stay.
func (c *callers) resolve() {
	for _, i := range rand.Perm(len(c.run.nodes)) {
		if list, _, err := standin.Resolve(c.run.nodes[i].Directory()); err == nil {
			c.addresses, c.expires = list, time.Now().Add(addressTTL)
			return
		}
	}
}

// forget makes the next request resolve the addresses again.
func (c *callers) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}
