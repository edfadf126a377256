// Package balance chooses the endpoint that runs a request: the one that holds most
// of the prompt in memory, among those that are healthy and not overloaded.
package balance

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/rates"
)

const (
	// defaultLoadFactor is the default of Config.LoadFactor: an endpoint may have that
	// multiple of the mean load plus three requests.
	defaultLoadFactor = 2.0
	// boundShare and boundSlack are the parts of that multiple and of the three
	// requests up to which endpoints are chosen. The rest allows for what peers have
	// sent in the last 100 ms, which is not known yet.
	boundShare = 0.85
	boundSlack = 2.2
	// affinityRatio and affinitySlack bound the load up to which an endpoint that
	// holds a prompt's part is preferred to the first one in the part's rendezvous
	// order.
	affinityRatio = 1.0
	affinitySlack = 1.0
	// plainDepth is how many requests an endpoint of a plain service may have, as a
	// multiple of its slots: one runs, three wait. With fewer, nodes that see the
	// same endpoint below the bound at the same time cause more refusals than the
	// limit avoids.
	plainDepth = 4.0
	// exclusiveExtra is how many requests more than slots an endpoint of a plain service
	// may have if all requests pass through this node: the next one is there when a slot
	// becomes free, and the others wait where they are ordered. What other nodes report
	// does not count: after a change of the owner it is of requests that have ended, and
	// would leave slots free.
	exclusiveExtra = 1
	// modelDepth is the same as plainDepth for model engines: requests wait at the node instead,
	// where they take the first slot that becomes free on any engine.
	modelDepth = 1.0
	// refusedBackoff is how long an endpoint that refused a request as full is not
	// sent another.
	refusedBackoff = 150 * time.Millisecond
	// reservationBackoff is the same for an endpoint that refused a reservation:
	// engines free slots all the time, and a reservation request is cheap.
	reservationBackoff = 100 * time.Millisecond
	// nearlyFullShare is the fraction of an engine's slots in use from which it may
	// be full without this node knowing.
	nearlyFullShare = 0.6
	// crossZoneCost is the penalty for sending a plain request to another
	// availability zone, as a fraction of the endpoint's slots: traffic between zones
	// is billed.
	crossZoneCost = 0.2
	// negligibleRequests is the number of requests for a service, over failureMemory,
	// below which its count is dropped.
	negligibleRequests = 0.01
)

type (
	// Loads is what the other nodes have reported.
	Loads interface {
		// Others returns the number of requests that other nodes have in progress at
		// an endpoint, given by the Key of its Start.
		Others(key uint32) int
		// OthersPrefill returns the prompt tokens that the endpoint still has to
		// process for them.
		OthersPrefill(key uint32) int
		// OthersFailures returns the number of other nodes' attempts that failed at
		// the endpoint recently.
		OthersFailures(key uint32) int
		// Age returns the mean age of these counts over the nodes.
		Age(now time.Time) time.Duration
	}

	// Config is the configuration of a Balancer.
	Config struct {
		Loads Loads
		// Zone is the node's own availability zone.
		Zone string
		// LoadFactor is the greatest multiple of its service's mean load that an endpoint
		// may have; 0 means 2.
		LoadFactor float64
		// Nodes returns the number of nodes, including those that are unreachable;
		// nil means that this is the only one.
		Nodes func() int
		// Announce is called when the other nodes should hear at once of what has
		// changed; it may be nil.
		Announce func()
		// Draw returns uniformly distributed numbers in [0, 1); nil means math/rand.
		Draw func() float64
		// IntN returns uniformly distributed numbers in [0, n); nil means math/rand.
		IntN func(n int) int
		// SlowdownDecay is the time constant with which a reported slowdown decays to
		// usual; 0 means 0.3 s.
		SlowdownDecay time.Duration
	}

	// Balancer chooses endpoints. It is safe for concurrent use.
	Balancer struct {
		config    Config
		mu        sync.Mutex
		endpoints map[deployment.Start]*endpointState
		holders   *holders
		// reports are the loads that the endpoints have reported themselves.
		reports *reports
		// prefillPerToken is the time in which engines process a prompt token; 0
		// until the first measurement.
		prefillPerToken time.Duration
		// requests counts the requests for each service, over failureMemory.
		requests map[string]*rates.Decayed
		// speeds are the services of which an endpoint has reported a slowdown.
		speeds map[string]bool
		// brittle are the services that were brittle lately, by their Keys.
		brittle map[uint32]brittle
		// rounding decides whether this node rounds its shares of brittle services up:
		// as many nodes do as make the sum right. It was drawn at roundedAt.
		rounding  float64
		roundedAt time.Time
		// started is when the node started.
		started time.Time
		// scratch is memory that choices reuse, one after another.
		scratch scratch
	}

	// scratch are lists of one choice.
	scratch struct {
		candidates []candidate
		states     []*endpointState
		failures   []float64
	}

	// Request describes the request that an endpoint is chosen for.
	Request struct {
		Service deployment.Service
		// Key names the prompt part that requests share in an engine's memory; empty
		// if there is none.
		Key string
		// Tried are the endpoints that this request was sent to before.
		Tried []deployment.Start
		// AllowTried allows one of Tried if no other endpoint has room: it has answered,
		// and a second answer may be better.
		AllowTried bool
		// Repeatable reports whether the request may run more than once.
		Repeatable bool
		// WaitForHolder makes the request wait for an engine that holds its prompt rather than
		// take one of the last slots of another engine.
		WaitForHolder bool
		// Exclusive says that all requests for the service pass through this node, so
		// that its counts of requests in progress are exact. Only requests without a
		// key may be exclusive.
		Exclusive bool
		// Objective is the time within which the answer should begin; 0 if there is
		// none.
		Objective time.Duration
		// Prompt is the size of the prompt that an engine may have to process.
		Prompt Prompt

		// brittle reports whether the service is brittle.
		brittle bool
		// now is when the endpoint is chosen.
		now time.Time
	}

	// Choice is the chosen endpoint and the reasons for the choice.
	Choice struct {
		Endpoint *deployment.Endpoint
		// First is the endpoint that comes first in the rendezvous order of the
		// request's key.
		First *deployment.Endpoint
		// Source is an endpoint that probably holds the part of the prompt that the
		// chosen one lacks; nil if there is none.
		Source *deployment.Endpoint
		// Load is the load of the chosen endpoint before this request, Mean the mean
		// load of its service.
		Load int
		Mean float64
		// Age is the age of the other nodes' part of the loads.
		Age time.Duration
		// Ready is the number of endpoints to choose from.
		Ready int
		// NearlyFull reports whether the endpoint may be full by now without this node
		// knowing: other nodes may have sent it requests since their last report.
		NearlyFull bool
		// Cold reports whether the endpoint sustains only a low request rate at
		// present and may be slow.
		Cold bool
		// Slowdown is how long work probably takes at the endpoint, as a multiple of
		// usual; 0 if it is unknown. SlowdownAge is the age of the report of it.
		Slowdown    float64
		SlowdownAge time.Duration

		// PrefillTime is the expected time until the engine has processed the prompt,
		// including those of other requests that come first.
		PrefillTime time.Duration

		placement Placement
		// prefill is the number of tokens that the engine has to process for the
		// request, backlog the number that it had to process before.
		prefill, backlog int
	}

	// endpointState is what this node knows of an endpoint.
	endpointState struct {
		// key is the Key of the endpoint's Start, and idHash a hash of its ID.
		key    uint32
		idHash uint64
		// service is the name of its service, and slots how many requests it runs at
		// once, since it was chosen.
		service string
		slots   int
		active  int
		// prefill is the number of tokens that it still has to process for this
		// node's requests.
		prefill  int
		health   health
		backoff  backoff
		lastUsed time.Time
		// failures counts the attempts that failed at the endpoint, over
		// failureMemory.
		failures rates.Decayed
		// warmupMargin is how long the endpoint still counts as cold after the end
		// that it announced.
		warmupMargin time.Duration
		// lastDraw is when admitCold was last called for the endpoint.
		lastDraw time.Time
	}
)

// New returns a Balancer without any state of endpoints.
func New(c Config) *Balancer {
	if c.Draw == nil {
		c.Draw = rand.Float64
	}
	if c.IntN == nil {
		c.IntN = rand.IntN
	}
	if c.SlowdownDecay == 0 {
		c.SlowdownDecay = defaultSlowdownDecay
	}
	if c.Nodes == nil {
		c.Nodes = func() int { return 1 }
	}
	return &Balancer{config: c, endpoints: map[deployment.Start]*endpointState{}, holders: newHolders(), reports: newReports(), requests: map[string]*rates.Decayed{}, speeds: map[string]bool{}, brittle: map[uint32]brittle{}, started: time.Now()}
}

// Choose chooses an endpoint and counts the request there until Release. It returns
// nil if no endpoint has room.
func (b *Balancer) Choose(now time.Time, list []*deployment.Endpoint, r Request) *Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.now = now
	d := b.decide(now, list, r)
	if d.chosen == nil {
		return nil
	}
	o := b.endpoints[d.chosen.endpoint.Start()]
	o.active++
	o.service, o.slots = d.chosen.endpoint.Service, d.chosen.slots
	o.backoff.lastSent = now
	return b.choice(now, list, r, d)
}

// choice returns the chosen endpoint and the reasons for the choice.
func (b *Balancer) choice(now time.Time, list []*deployment.Endpoint, r Request, d decision) *Choice {
	c := d.chosen
	choice := &Choice{Endpoint: c.endpoint, Load: c.load, Mean: d.mean.usable, Ready: len(d.all), Cold: c.cold, Age: b.config.Loads.Age(now)}
	choice.Slowdown, choice.SlowdownAge = b.knownSlowdown(c, now)
	if r.Key != "" {
		part := xxhash.Sum64String(r.Key)
		choice.First = first(part, list, nil)
		choice.Source = b.holders.source(part, c, list, now)
		choice.NearlyFull = c.nearlyFull()
		choice.placement = Placement{Part: part, Endpoint: c.key}
		b.estimatePrefill(choice, c, r)
	}
	return choice
}

// countRequest counts a request that is sent to a service.
func (b *Balancer) countRequest(now time.Time, service string) {
	if b.requests[service] == nil {
		b.requests[service] = &rates.Decayed{TimeConstant: failureMemory}
	}
	b.requests[service].Add(now)
}

// Sent records that the request is sent to the chosen endpoint, which holds its
// prompt from then on.
func (b *Balancer) Sent(now time.Time, c *Choice) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.countRequest(now, c.Endpoint.Service)
	if c.placement == (Placement{}) {
		return
	}
	b.holders.record(c.placement, now)
	b.state(c.Endpoint.Start(), now).prefill += c.prefill
}

// Release removes a request from an endpoint's count and records its outcome.
func (b *Balancer) Release(now time.Time, s deployment.Start, o Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.state(s, now)
	e.active--
	if o != ReservationRefused {
		// The slot of this request is free now.
		e.health.noPlaceUntil = time.Time{}
	}
	e.health.record(o, now)
	e.noteFailure(now, o)
	if (o == Refused || o == ReservationRefused) && b.isBrittle(now, e.service) {
		b.turnedAway(now, e)
	}
}

// Active returns the number of this node's requests in progress, by the Key of the
// endpoint's Start.
func (b *Balancer) Active() map[uint32]int {
	return b.counts(func(o *endpointState) int { return o.active })
}

// counts returns a count of this node's for each endpoint, by the Key of its Start,
// without those that are 0.
func (b *Balancer) counts(of func(o *endpointState) int) map[uint32]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := make(map[uint32]int)
	for _, o := range b.endpoints {
		if n := of(o); n > 0 {
			counts[o.key] = n
		}
	}
	return counts
}

// Placements returns the placements of this node to send to the others: those since a
// time, and the latest in any case. Older ones are dropped.
func (b *Balancer) Placements(now, since time.Time) []Placement {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.holders.announcements(now, since)
}

// AddPlacements adds placements received from another node.
func (b *Balancer) AddPlacements(now time.Time, list []Placement) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range list {
		b.holders.put(p, holder{endpoint: p.Endpoint, at: now, announced: now})
	}
}

// Forget drops the state of endpoints that have not been used for a time.
func (b *Balancer) Forget(now time.Time, after time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reports.forget(now, b.config.SlowdownDecay)
	maps.DeleteFunc(b.brittle, func(_ uint32, s brittle) bool { return now.After(s.until) })
	maps.DeleteFunc(b.requests, func(_ string, count *rates.Decayed) bool { return count.Get(now) < negligibleRequests })
	for s, o := range b.endpoints {
		if o.active == 0 && now.Sub(o.lastUsed) > after && !o.backoff.active(now) {
			delete(b.endpoints, s)
		}
	}
}

func (b *Balancer) state(s deployment.Start, now time.Time) *endpointState {
	o := b.endpoints[s]
	if o == nil {
		o = &endpointState{key: s.Key(), idHash: hashID(s.ID), warmupMargin: b.drawWarmupMargin(), failures: rates.Decayed{TimeConstant: failureMemory}}
		b.endpoints[s] = o
	}
	o.lastUsed = now
	return o
}
