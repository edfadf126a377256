package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/platform/standin"
)

const (
	// keepAddresses is how long callers keep what a directory said.
	keepAddresses = time.Second
	// idleConnections is how many connections callers keep to a node.
	idleConnections = 64
)

type (
	// callers ask at the plan's rate, whether earlier requests were answered or
	// not.
	callers struct {
		run    *run
		client *http.Client
		// random is used by the goroutine that draws requests alone.
		random *rand.Rand
		// parts are the accounts' parts of the requests, summed up.
		parts []float64

		mu        sync.Mutex
		addresses []netip.AddrPort
		until     time.Time
	}

	// outcome is what became of a request.
	outcome struct {
		request string
		at      time.Duration
		status  int
		// first is when the first byte came, and whole says that all did.
		first time.Duration
		whole bool
	}
)

func newCallers(r *run) *callers {
	p := r.config.Plan
	c := &callers{
		run: r, random: rand.New(rand.NewPCG(p.Seed, 0)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections, DisableCompression: true}},
	}
	total := 0.0
	for n := range p.Accounts {
		total += math.Pow(float64(n+1), -p.Skew)
		c.parts = append(c.parts, total)
	}
	return c
}

// ask asks until ctx ends, and waits for the answers.
func (c *callers) ask(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for n := 0; ; n++ {
		pause := c.random.ExpFloat64() / c.run.config.Plan.RateAt(time.Since(c.run.began))
		if !wait(ctx, time.Duration(pause*float64(time.Second))) {
			return
		}
		r, k, id := c.draw(), c.account(), fmt.Sprint("q", n)
		group.Go(func() { c.run.result.note(c.once(ctx, r, k, id)) })
	}
}

// draw draws a kind of request.
func (c *callers) draw() Request {
	plan, at := c.run.config.Plan, time.Since(c.run.began)
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

// account draws an account.
func (c *callers) account() int {
	drawn := c.random.Float64() * c.parts[len(c.parts)-1]
	for n, sum := range c.parts {
		if drawn < sum {
			return n
		}
	}
	return len(c.parts) - 1
}

// once asks one request. It goes on past the end of the run, so that what was
// asked late is answered too.
func (c *callers) once(ctx context.Context, r Request, account int, id string) outcome {
	o := outcome{request: r.Name, at: time.Since(c.run.began)}
	addr, err := c.address()
	if err != nil {
		return o
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.Timeout)
	defer cancel()
	req, err := standin.NewRequest(ctx, addr, r.prefix()+"x", id, key(account), r.Timeout)
	if err != nil {
		return o
	}
	resp, err := c.client.Do(req)
	if err != nil {
		c.forget()
		return o
	}
	defer func() { _ = resp.Body.Close() }()
	o.status = resp.StatusCode
	var begin [1]byte
	if _, err := io.ReadFull(resp.Body, begin[:]); err != nil && !errors.Is(err, io.EOF) {
		return o
	}
	o.first = time.Since(c.run.began) - o.at
	_, err = io.Copy(io.Discard, resp.Body)
	o.whole = err == nil
	return o
}

// address draws one of the addresses that a directory named lately.
func (c *callers) address() (netip.AddrPort, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.until) {
		c.resolve()
	}
	if len(c.addresses) == 0 {
		return netip.AddrPort{}, errors.New("experiment: no directory answers")
	}
	return c.addresses[rand.IntN(len(c.addresses))], nil
}

// resolve asks the directories by turns until one answers; what is known stays
// where none does.
func (c *callers) resolve() {
	for _, i := range rand.Perm(len(c.run.nodes)) {
		if list, _, err := standin.Resolve(c.run.nodes[i].Directory()); err == nil {
			c.addresses, c.until = list, time.Now().Add(keepAddresses)
			return
		}
	}
}

// forget makes the next request ask for addresses.
func (c *callers) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = time.Time{}
}
