package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/platform/standin"
)

const (
	// popularBody is the body of requests that many callers send alike.
	popularBody = "popular"
	// isolatedReason is the reason in refusals of requests that end endpoints.
	isolatedReason = "crashes-endpoints"
	// crashingTime is how long copies of a request that ends endpoints are sent, at
	// most, and crashingPause the time between two of them.
	crashingTime  = 12 * time.Second
	crashingPause = 150 * time.Millisecond
)

// crashes records which requests ended endpoints, and refusals of the popular request.
type crashes struct {
	mu      sync.Mutex
	ends    map[string][]time.Time
	popular int
	refused int
}

func newCrashes() *crashes { return &crashes{ends: map[string][]time.Time{}} }

// record records that an endpoint ended, or was to end again, under a request.
func (c *crashes) record(name string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ends[name] = append(c.ends[name], at)
}

func (c *crashes) recordPopular(a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.popular++
	if a.status == 503 && strings.TrimSpace(a.body) == isolatedReason {
		c.refused++
	}
}

// checkPopular returns a violation if the popular request was refused too often.
func (c *crashes) checkPopular() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if float64(c.refused) <= max(mayIsolate*float64(c.popular), 1) {
		return nil
	}
	return []string{fmt.Sprintf("%d of %d popular requests were refused as ending endpoints", c.refused, c.popular)}
}

// check returns a violation for each request that ran too often after the third
// endpoint had ended under it, while no node was disturbed.
func (c *crashes) check(undisturbed func(from, to time.Time) bool) (broken []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, ends := range c.ends {
		late := 0
		for i, at := range ends {
			if i > 2 && at.Sub(ends[2]) > isolateBound && undisturbed(ends[2], at) {
				late++
			}
		}
		if late > lateCrashes {
			broken = append(broken, fmt.Sprintf("%s ended %d endpoints, %d of them late", name, len(ends), late))
		}
	}
	return broken
}

// sendCrashing sends copies of a request that ends the endpoints that run it, to any
// node, and returns its name.
func (c *callers) sendCrashing(ctx context.Context, r *rand.Rand) string {
	points := standin.CrashPoints()
	name := fmt.Sprintf("crash %d", c.next.Add(1))
	body := standin.CrashBody(points[r.IntN(len(points))], name)
	routes := []string{"safe", "once", "stream/resume", "stream/once"}
	k := kind(r.IntN(len(routes)))
	sender := c.caller(r)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.Int64N(int64(crashingTime))))
	defer cancel()
	for ctx.Err() == nil {
		if addr, ok := sender.address(); ok {
			id := fmt.Sprintf("%s-%d", strings.ReplaceAll(name, " ", "-"), c.next.Add(1))
			c.ledger.recordRequest(id, k)
			c.ledger.notices.sent(id, c.soak.incarnation(addr), time.Now())
			a := sender.send(ctx, addr, routes[k], id, body, callerTimeout)
			a.cut = false
			c.ledger.recordAnswer(id, a)
		}
		wait(ctx, r, 2*crashingPause)
	}
	return name + " by " + body
}
