// Package permit admits work to endpoints. Each endpoint has one owner node, whose
// gate grants a permit for every request before it is dispatched, so that no
// endpoint exceeds its bound although each node sees only a small part of the
// traffic.
package permit

import (
	"maps"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

// Verdicts on a permit request.
const (
	// Granted means that the permit is held from now on.
	Granted Verdict = iota + 1
	// Full means that the endpoint is at its bound.
	Full
	// Gone means that the endpoint is leaving or unknown.
	Gone
	// NotOwner means that the node does not own the endpoint, or that its view is
	// stale.
	NotOwner
	// TooLate means that the endpoint cannot finish the request before its deadline.
	TooLate
)

// tombstoneTTL is how long a permit request may arrive after the release of its
// permit.
const tombstoneTTL = 10 * time.Second

type (
	// Config is the settings of a Gate.
	Config struct {
		// View returns the current view of the node's kernel.
		View func() *kernel.View
		// Rule bounds the endpoints' loads; nil is NewBoundRule.
		Rule Rule
		// RetryRule is the Rule for requests that other owners have denied before;
		// nil is the whole bound, or Rule if that is set.
		//
		// The margin of Rule keeps loads even while other endpoints have room. If
		// hardly any has, it would keep the fleet from following its demand: the
		// mean cannot rise because nothing is admitted above it, and nothing is
		// admitted because the mean does not rise.
		RetryRule Rule
	}

	// Verdict is the answer to a permit request.
	Verdict int

	// Request requests one permit.
	Request struct {
		// ID is unique across the fleet.
		ID       uint64
		Endpoint string
		Tokens   int
		// Retry is set if other owners have denied the request before.
		Retry bool
		// Node is the requesting node.
		Node string
		// Lease is how long the permit counts unless it is released.
		Lease time.Duration
		// Suspect is the number of endpoints that died while running the request.
		Suspect int
	}

	// Batch is one message of a node to an owner.
	Batch struct {
		Requests []Request
		// Declared lists running requests whose permits another owner granted.
		Declared []Request
		// Releases lists released permits.
		Releases []Release
		// OwnedLoad is the total load of the endpoints that the sender owns, of the
		// service of the first request in Requests.
		OwnedLoad kernel.Load
	}

	// Release releases one permit.
	Release struct {
		ID uint64
		// Took is how long the request ran; 0 if it did not run or its time says
		// nothing about the endpoint.
		Took time.Duration
	}

	// Reply is an owner's answer to a Batch.
	Reply struct {
		// Verdicts answers each request of Requests, in order.
		Verdicts []Verdict
		// OwnedLoad is the total load of the endpoints that the owner owns, of the
		// service of the first request in Requests.
		OwnedLoad kernel.Load
		// Loads is the load of each of these endpoints, if a request was denied as
		// Full.
		Loads []kernel.EndpointLoad
	}

	// Gate holds the permits of the endpoints that the node owns. It is safe for
	// concurrent use.
	Gate struct {
		config  Config
		mu      sync.Mutex
		permits map[uint64]permit
		loads   map[string]kernel.Load
		// unreachable is the work of unreachable nodes, by endpoint.
		unreachable map[string]unreachableLoad
		owned       map[string]ownership
		ownedView   *kernel.View
		// history and differences compare the gate's counts with endpoints'
		// reports.
		history     map[string][]sample
		differences map[string]difference
		ownerTotals map[totalKey]ownerTotal
		// limits holds each endpoint's learned concurrency limit.
		limits map[string]*concurrencyLimit
		// tombstones holds the IDs of permits that were released before they were
		// requested, and until when they are not granted.
		tombstones map[uint64]time.Time
	}

	permit struct {
		endpoint string
		node     string
		tokens   int
		// lease is the permit's lifetime at the time of the grant.
		lease   time.Duration
		expires time.Time
		suspect int
		// unreachable is set while the node is unreachable.
		unreachable bool
	}
)

// New returns an empty Gate.
func New(c Config) *Gate {
	if c.RetryRule == nil {
		c.RetryRule = c.Rule
	}
	if c.RetryRule == nil {
		c.RetryRule = BoundRule{Margin: 1}
	}
	if c.Rule == nil {
		c.Rule = NewBoundRule()
	}
	return &Gate{
		config:      c,
		permits:     map[uint64]permit{},
		loads:       map[string]kernel.Load{},
		unreachable: map[string]unreachableLoad{},
		owned:       map[string]ownership{},
		ownerTotals: map[totalKey]ownerTotal{},
		limits:      map[string]*concurrencyLimit{},
		tombstones:  map[uint64]time.Time{},
		history:     map[string][]sample{},
		differences: map[string]difference{},
	}
}

// Admit decides on a permit request.
func (g *Gate) Admit(now time.Time, a Request) Verdict {
	v := g.config.View()
	// After a pause of the process its view is outdated: it would admit work to
	// endpoints that have left or have another owner by now. It grants nothing
	// until the view is up to date.
	if !v.Fresh(now) {
		return NotOwner
	}
	e, pool, ok := find(v, a.Endpoint)
	if !ok || e.State == kernel.Leaving {
		return Gone
	}
	if e.Owner != v.Self.Name {
		return NotOwner
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, held := g.permits[a.ID]; held {
		return Granted
	}
	if _, released := g.tombstones[a.ID]; released {
		return Full
	}
	g.updateOwned(v)
	if a.Suspect > 0 && !g.admitsSuspect(a) {
		return Full
	}
	load, limit := g.effectiveLoad(now, a.Endpoint), g.limit(a.Endpoint)
	if limit.tooLate(now, a.Tokens, a.Lease-LeaseSlack) {
		return TooLate
	}
	if !limit.admits(load.Requests) {
		return Full
	}
	rule := g.config.Rule
	if a.Retry {
		rule = g.config.RetryRule
	}
	if !rule.Fits(g.withCurrentTotal(now, v, pool), load, a.Tokens, g.largestRequest(pool)) {
		return Full
	}
	g.hold(now, a)
	return Granted
}

// Apply processes a batch and returns the reply.
func (g *Gate) Apply(now time.Time, b Batch) (r Reply) {
	for _, r := range b.Releases {
		g.Release(now, r)
	}
	for _, a := range b.Declared {
		g.Declare(now, a)
	}
	if len(b.Requests) > 0 {
		first := b.Requests[0]
		g.SetOwnerTotal(now, first.Node, first.Endpoint, b.OwnedLoad)
		defer func() { r.OwnedLoad = g.OwnedLoad(now, first.Endpoint) }()
	}
	for _, a := range b.Requests {
		verdict := g.Admit(now, a)
		r.Verdicts = append(r.Verdicts, verdict)
		if verdict == Full {
			r.Loads = g.serviceLoads(a.Endpoint)
		}
	}
	return r
}

// Declare records a permit that another owner granted. The load does not matter, as
// the request is already running.
func (g *Gate) Declare(now time.Time, a Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, held := g.permits[a.ID]; !held {
		g.hold(now, a)
	}
}

// Release releases a permit.
//
// If a permit request gets no answer in time, the node releases the permit that it
// may have been granted, and the release may overtake the request. A permit granted
// after that would be held by nobody but count until its lease ends, and an idle
// endpoint would seem loaded. A permit that was released is therefore not granted
// later.
func (g *Gate) Release(now time.Time, r Release) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, held := g.permits[r.ID]
	if !held {
		g.tombstones[r.ID] = now.Add(tombstoneTTL)
		return
	}
	g.release(r.ID)
	if r.Took > 0 {
		g.limit(p.endpoint).observe(now, p, r.Took, g.loads[p.endpoint].Requests+1)
	}
}

// Expire removes the permits whose lease has ended or whose node is dead.
//
// A dead node never releases its permits, and its streams end with it. Its
// endpoints would seem loaded, the mean would be too high, and other endpoints
// would be filled beyond their bound. A node that is only unreachable may go on:
// its permits count against the bound of their endpoints, but not in the mean. If
// the failure is not detected, the lease ends with the request's deadline, after
// which the node would have stopped the request.
func (g *Gate) Expire(now time.Time) {
	v := g.config.View()
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.tombstones, func(_ uint64, until time.Time) bool { return now.After(until) })
	for id, p := range g.permits {
		n, known := v.Node(p.node)
		known = known && n.State != kernel.Dead
		if now.After(p.expires) || p.node != "" && !known {
			g.release(id)
			continue
		}
		if unreachable := n.State == kernel.Suspect; unreachable != p.unreachable {
			g.count(p, -1)
			p.unreachable = unreachable
			g.permits[id] = p
			g.count(p, 1)
			g.resetReport(now, p)
		}
	}
}

// limit returns an endpoint's concurrency limit. It is kept while another node owns
// the endpoint, in case ownership returns, and dropped when the endpoint is
// removed.
func (g *Gate) limit(endpoint string) *concurrencyLimit {
	c := g.limits[endpoint]
	if c == nil {
		c = &concurrencyLimit{}
		g.limits[endpoint] = c
	}
	return c
}

func (g *Gate) hold(now time.Time, a Request) {
	p := permit{
		endpoint: a.Endpoint, node: a.Node, tokens: a.Tokens,
		lease: a.Lease, expires: now.Add(a.Lease), suspect: a.Suspect,
	}
	g.permits[a.ID] = p
	g.count(p, 1)
}

func (g *Gate) release(id uint64) {
	p, held := g.permits[id]
	if !held {
		return
	}
	delete(g.permits, id)
	g.count(p, -1)
}

// count adds a permit to its endpoint's load (sign 1) or subtracts it (sign -1).
func (g *Gate) count(p permit, sign int) {
	l := kernel.Load{Requests: sign, Tokens: sign * p.tokens}
	if p.unreachable {
		g.countUnreachable(p.endpoint, l)
		return
	}
	g.loads[p.endpoint] = g.loads[p.endpoint].Add(l)
	if g.loads[p.endpoint].Requests == 0 {
		delete(g.loads, p.endpoint)
	}
}
