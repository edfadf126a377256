// Package gate admits work to endpoints. Each endpoint has one home node, whose
// gate grants a permit for every request before it is dispatched, so that no
// endpoint exceeds its bound although each node sees a sliver of the traffic.
package gate

import (
	"maps"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

// Verdicts on an ask.
const (
	// Granted is a permit.
	Granted Verdict = iota + 1
	// Full is an endpoint at its bound.
	Full
	// Gone is an endpoint that is leaving or not known.
	Gone
	// NotHome is an ask that reached a node which is not the endpoint's home.
	NotHome
	// Late is a request that no endpoint can do before its deadline.
	Late
)

// goneFor is how long after its return an ask may arrive.
const goneFor = 10 * time.Second

type (
	// Config is the settings of a Gate.
	Config struct {
		// View returns the newest view of the node's kernel.
		View func() *kernel.View
		// Rule bounds the endpoints' loads; nil is NewBoundRule.
		Rule Rule
		// Waited is the Rule for requests that homes have denied before; nil is
		// the whole bound, or Rule where that is given.
		//
		// The margin keeps loads even while there is room elsewhere. Where there is hardly any,
		// it would keep the fleet from growing into its demand: the mean cannot rise, as
		// nothing is admitted above it, and nothing is admitted, as the mean does not rise.
		Waited Rule
	}

	// Verdict is the answer to an ask.
	Verdict int

	// Ask asks for one permit.
	Ask struct {
		// ID is unique over the fleet.
		ID       uint64
		Endpoint string
		Tokens   int
		// Waited is set where other homes have denied the request before.
		Waited bool
		// Node is the node that asks.
		Node string
		// Lease is how long the permit counts unless it is given back.
		Lease time.Duration
		// Suspect is how many endpoints died running the request.
		Suspect int
	}

	// Batch is what a node tells a home in one message.
	Batch struct {
		Asks []Ask
		// Declares is permits that other homes granted.
		Declares []Ask
		// Returns is permits that are given back.
		Returns []Return
		// Own is the load of the sender's own endpoints of the first ask's
		// service.
		Own kernel.Load
	}

	// Return gives one permit back.
	Return struct {
		ID uint64
		// Took is how long the request ran; 0 where it did not.
		Took time.Duration
	}

	// Reply is what a home answers.
	Reply struct {
		// Verdicts answers each ask, in the order asked.
		Verdicts []Verdict
		// Own is the load of the home's endpoints of the first ask's service.
		Own kernel.Load
		// Loads is the load of each of them, where the home denied an ask.
		Loads []kernel.EndpointLoad
	}

	// Gate holds the permits of the endpoints whose home the node is. It is
	// safe for concurrent use.
	Gate struct {
		config  Config
		mu      sync.Mutex
		permits map[uint64]permit
		loads   map[string]kernel.Load
		// silent is what nodes that cannot be heard hold, by endpoint.
		silent  map[string]silence
		homes   map[string]adoption
		adopted *kernel.View
		// history and differences compare the counts with endpoints' reports.
		history     map[string][]past
		differences map[string]difference
		heard       map[heardKey]heardSum
		// learned is how much each endpoint finishes in time.
		learned map[string]*concurrency
		// gone is until when permits are not granted that were given back
		// before they were asked for.
		gone map[uint64]time.Time
	}

	permit struct {
		endpoint string
		node     string
		tokens   int
		// lease is how long the permit was to count when it was granted.
		lease   time.Duration
		expires time.Time
		suspect int
		// silent is set while the node cannot be heard.
		silent bool
	}
)

// New returns an empty Gate.
func New(c Config) *Gate {
	if c.Waited == nil {
		c.Waited = c.Rule
	}
	if c.Waited == nil {
		c.Waited = BoundRule{Margin: 1}
	}
	if c.Rule == nil {
		c.Rule = NewBoundRule()
	}
	return &Gate{
		config:      c,
		permits:     map[uint64]permit{},
		loads:       map[string]kernel.Load{},
		silent:      map[string]silence{},
		homes:       map[string]adoption{},
		heard:       map[heardKey]heardSum{},
		learned:     map[string]*concurrency{},
		gone:        map[uint64]time.Time{},
		history:     map[string][]past{},
		differences: map[string]difference{},
	}
}

// Admit answers an ask.
func (g *Gate) Admit(now time.Time, a Ask) Verdict {
	v := g.config.View()
	// A process that wakes from a pause holds a view from before it, and would
	// admit work to endpoints that have left or have another home by now. It is
	// no home until it has heard what it missed.
	if !v.Fresh(now) {
		return NotHome
	}
	e, pool, ok := find(v, a.Endpoint)
	if !ok || e.State == kernel.Leaving {
		return Gone
	}
	if e.Home != v.Self.Name {
		return NotHome
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, held := g.permits[a.ID]; held {
		return Granted
	}
	if _, gone := g.gone[a.ID]; gone {
		return Full
	}
	g.adopt(v)
	if a.Suspect > 0 && !g.takesSuspect(a) {
		return Full
	}
	load, learned := g.running(now, a.Endpoint), g.concurrency(a.Endpoint)
	if learned.late(now, a.Tokens, a.Lease-LeaseSlack) {
		return Late
	}
	if !learned.takes(load.Requests) {
		return Full
	}
	rule := g.config.Rule
	if a.Waited {
		rule = g.config.Waited
	}
	if !rule.Fits(g.current(now, v, pool), load, a.Tokens, g.largest(pool)) {
		return Full
	}
	g.hold(now, a)
	return Granted
}

// Apply takes in a batch and answers it.
func (g *Gate) Apply(now time.Time, b Batch) (r Reply) {
	for _, r := range b.Returns {
		g.Release(now, r)
	}
	for _, a := range b.Declares {
		g.Declare(now, a)
	}
	if len(b.Asks) > 0 {
		first := b.Asks[0]
		g.Heard(now, first.Node, first.Endpoint, b.Own)
		defer func() { r.Own = g.Own(now, first.Endpoint) }()
	}
	for _, a := range b.Asks {
		verdict := g.Admit(now, a)
		r.Verdicts = append(r.Verdicts, verdict)
		if verdict == Full {
			r.Loads = g.loadsBeside(a.Endpoint)
		}
	}
	return r
}

// Declare takes in a permit that another home granted, whatever the load: its
// request runs already.
func (g *Gate) Declare(now time.Time, a Ask) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, held := g.permits[a.ID]; !held {
		g.hold(now, a)
	}
}

// Release gives a permit back.
//
// Where an ask gets no answer in time, the node gives back what it may have
// been granted, and that message may overtake the ask. The permit would then
// count, held by nobody, until its lease ends: an idle endpoint would seem
// loaded. A permit that was given back is therefore not granted later.
func (g *Gate) Release(now time.Time, r Return) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, held := g.permits[r.ID]
	if !held {
		g.gone[r.ID] = now.Add(goneFor)
		return
	}
	g.release(r.ID)
	if r.Took > 0 {
		g.concurrency(p.endpoint).learn(now, p, r.Took, g.loads[p.endpoint].Requests+1)
	}
}

// Expire drops the permits whose lease has ended or whose node is dead.
//
// A node that dies never gives its permits back; its endpoints would seem
// loaded, the mean would be too high, and other endpoints would be filled beyond
// their bound. Its streams end with it. Where it only cannot be heard, it may go
// on: its permits count against the bound of their endpoints, and not in the
// mean. Where nobody notices, the lease ends with the request's deadline, after
// which the node would have stopped the request.
func (g *Gate) Expire(now time.Time) {
	v := g.config.View()
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.gone, func(_ uint64, until time.Time) bool { return now.After(until) })
	for id, p := range g.permits {
		n, known := v.Node(p.node)
		known = known && n.State != kernel.Dead
		if now.After(p.expires) || p.node != "" && !known {
			g.release(id)
			continue
		}
		if silent := n.State == kernel.Suspect; silent != p.silent {
			g.count(p, -1)
			p.silent = silent
			g.permits[id] = p
			g.count(p, 1)
			g.hush(now, p)
		}
	}
}

// concurrency returns what is known of an endpoint. It is kept while the home is
// elsewhere, in case it comes back, and forgotten when the endpoint is gone.
func (g *Gate) concurrency(endpoint string) *concurrency {
	c := g.learned[endpoint]
	if c == nil {
		c = &concurrency{}
		g.learned[endpoint] = c
	}
	return c
}

func (g *Gate) hold(now time.Time, a Ask) {
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

// count adds a permit to what its endpoint carries, or takes it away.
func (g *Gate) count(p permit, sign int) {
	l := kernel.Load{Requests: sign, Tokens: sign * p.tokens}
	if p.silent {
		g.countSilent(p.endpoint, l)
		return
	}
	g.loads[p.endpoint] = g.loads[p.endpoint].Add(l)
	if g.loads[p.endpoint].Requests == 0 {
		delete(g.loads, p.endpoint)
	}
}
