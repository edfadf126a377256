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
	// impatience is after how long some callers of a small service leave, at most, and
	// impatient how many send to it.
	impatience = 60 * time.Millisecond
	impatient  = 6
	// mayEnd is how many endpoints may end under a request, and mayEndByPart under a
	// part of prompts.
	mayEnd       = 3
	mayEndByPart = 5
	// partMark begins the name of a part that ends endpoints.
	partMark = "part "
	// soundPerCrashing is how many sound requests come beside each that has such a
	// part.
	soundPerCrashing = 2
)

// crashes records which requests and parts of prompts ended endpoints, and refusals of
// the popular request and of sound ones beside such parts.
type crashes struct {
	mu      sync.Mutex
	ends    map[string][]crashEnd
	popular refusals
	sound   refusals
}

// crashEnd is a run that ended its endpoint, or was to end it once more.
type crashEnd struct {
	endpoint string
	at       time.Time
}

// refusals counts requests, and those that were refused like one that ends endpoints.
type refusals struct{ sent, refused int }

func (r *refusals) record(a answer) {
	r.sent++
	if a.status == 503 && strings.TrimSpace(a.body) == isolatedReason {
		r.refused++
	}
}

// check returns a violation if too many were refused.
func (r *refusals) check(what string) []string {
	if float64(r.refused) <= max(mayIsolate*float64(r.sent), 1) {
		return nil
	}
	return []string{fmt.Sprintf("%d of %d %s requests were refused as ending endpoints", r.refused, r.sent, what)}
}

func newCrashes() *crashes { return &crashes{ends: map[string][]crashEnd{}} }

// record records that an endpoint ended, or was to end again, under a request.
func (c *crashes) record(name, endpoint string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ends[name] = append(c.ends[name], crashEnd{endpoint: endpoint, at: at})
}

// nth returns when as many different endpoints had ended under a request, zero if they
// have not.
func nth(ends []crashEnd, n int) time.Time {
	seen := map[string]bool{}
	for _, e := range ends {
		if seen[e.endpoint] = true; len(seen) == n {
			return e.at
		}
	}
	return time.Time{}
}

func (c *crashes) recordPopular(a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.popular.record(a)
}

func (c *crashes) recordSound(a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sound.record(a)
}

// checkRefusals returns a violation if requests that end nothing were refused too often.
func (c *crashes) checkRefusals() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append(c.popular.check("popular"), c.sound.check("sound")...)
}

// check returns a violation for each request or part that ran too often after as many
// endpoints as may had ended under it, while no node was disturbed.
func (c *crashes) check(undisturbed func(from, to time.Time) bool) (broken []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, ends := range c.ends {
		may, late := mayEnd, 0
		if strings.HasPrefix(name, partMark) {
			may = mayEndByPart
		}
		known := nth(ends, may)
		for _, e := range ends {
			if !known.IsZero() && e.at.Sub(known) > isolateBound && undisturbed(known, e.at) {
				late++
			}
		}
		if late > lateCrashes {
			broken = append(broken, fmt.Sprintf("%s ended endpoints in %d runs, %d of them late", name, len(ends), late))
		}
	}
	return broken
}

// sharedParts returns the parts of prompts that all callers' requests share.
func sharedParts() []string { return []string{"system", "subject", "document"} }

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

// sendCrashingService sends copies of a request that ends the endpoints that run it from
// several callers at a time, to a service of few endpoints. Half of them leave early.
func (c *callers) sendCrashingService(ctx context.Context, r *rand.Rand) string {
	points := standin.CrashPoints()
	name := fmt.Sprintf("crash %d", c.next.Add(1))
	body := standin.CrashBody(points[r.IntN(len(points))], name)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.Int64N(int64(crashingTime))))
	defer cancel()
	var group sync.WaitGroup
	for range impatient {
		sender := c.caller(rand.New(rand.NewPCG(r.Uint64(), 0)))
		group.Go(func() { c.sendCopies(ctx, sender, name, body) })
	}
	group.Wait()
	return name + " by " + body
}

// sendCopies sends copies of a request to a service of few endpoints.
func (c *callers) sendCopies(ctx context.Context, sender *caller, name, body string) {
	for ctx.Err() == nil {
		timeout := callerTimeout
		if sender.random.IntN(2) == 0 {
			timeout = time.Duration(sender.random.Int64N(int64(impatience)))
		}
		if addr, ok := sender.address(); ok {
			id := fmt.Sprintf("%s-%d", strings.ReplaceAll(name, " ", "-"), c.next.Add(1))
			c.ledger.recordRequest(id, safe)
			c.ledger.notices.sent(id, c.soak.incarnation(addr), time.Now())
			a := sender.send(ctx, addr, "tiny", id, body, timeout)
			a.cut = false
			c.ledger.recordAnswer(id, a)
		}
		wait(ctx, sender.random, crashingPause)
	}
}

// sendCrashingPart sends requests, no two of them alike, that have a part in their
// prompts which ends the endpoints that answer it, beside sound ones that share all
// other parts. It returns the part's name.
func (c *callers) sendCrashingPart(ctx context.Context, r *rand.Rand) string {
	points := standin.CrashPoints()[1:]
	name := fmt.Sprintf("%s%d", partMark, c.next.Add(1))
	part := standin.CrashPart(points[r.IntN(len(points))], name)
	place, sender := r.IntN(3), c.caller(r)
	k := []kind{resumed, streamOnce}[r.IntN(2)]
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.Int64N(int64(crashingTime))))
	defer cancel()
	for n := 0; ctx.Err() == nil; n++ {
		parts := sharedParts()
		crashes := n%(1+soundPerCrashing) == 0
		if crashes {
			parts[place] = part
		}
		if addr, ok := sender.address(); ok {
			id := fmt.Sprintf("%s-%d", strings.ReplaceAll(name, " ", "-"), c.next.Add(1))
			c.ledger.recordRequest(id, k)
			c.ledger.notices.sent(id, c.soak.incarnation(addr), time.Now())
			a := sender.sendPrompt(ctx, addr, [...]string{resumed: "stream/resume", streamOnce: "stream/once"}[k], id, "body of "+id, append(parts, id), callerTimeout)
			if crashes || ctx.Err() != nil {
				a.cut = false
			}
			c.ledger.recordAnswer(id, a)
			if !crashes {
				c.ledger.crashes.recordSound(a)
			}
		}
		wait(ctx, r, crashingPause)
	}
	return fmt.Sprintf("%s in place %d", part, place+1)
}
