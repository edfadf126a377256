// Package balance chooses the endpoint that runs a request: one that keeps the
// most of its prompt in memory, among those that are sound and not overloaded.
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
	// defaultCap is the greatest multiple of the mean load that an endpoint may
	// have, plus three, where nothing says so.
	defaultCap = 2.0
	// capShare is the part of that multiple up to which endpoints are chosen,
	// and boundSlack the same of the three requests: what peers have sent in the
	// last tenth of a second is not known yet.
	capShare   = 0.85
	boundSlack = 2.2
	// stayRatio and staySlack bound the load up to which an endpoint that keeps
	// a prompt's part goes before the first of the part's order.
	stayRatio = 1.0
	staySlack = 1.0
	// plainDepth is how many requests an endpoint of a plain service may have,
	// as a multiple of its slots: one runs, three wait. With fewer, nodes that
	// see the same endpoint below the bound at the same time refuse more than
	// they spare.
	plainDepth = 4.0
	// modelDepth is the same for model engines: requests wait at the node, where
	// they take the first place that comes free anywhere.
	modelDepth = 1.0
	// fullPause is how long an endpoint that refused a request as full gets
	// nothing.
	fullPause = 150 * time.Millisecond
	// busyPause is the same for one that refused a reservation: places come free
	// all the time at engines, and asking costs little.
	busyPause = 100 * time.Millisecond
	// scarceShare is the part of an engine's slots from which it may be full
	// without this node's knowing.
	scarceShare = 0.6
	// remoteCost is what another availability zone costs a plain request, in
	// parts of an endpoint's slots: bytes between zones are paid for.
	remoteCost = 0.2
	// askedForgotten is how few requests for a service, over failureMemory, count
	// as none.
	askedForgotten = 0.01
)

type (
	// Loads tells what the other nodes have sent.
	Loads interface {
		// Others returns the requests in progress at an endpoint that other
		// nodes have sent, by the Key of its Start.
		Others(key uint32) int
		// OthersReading returns the prompt tokens that it is still to read for
		// them.
		OthersReading(key uint32) int
		// OthersFailures returns the attempts of other nodes that it has failed
		// lately.
		OthersFailures(key uint32) int
		// Age returns how old these counts are, on the mean over the nodes.
		Age(now time.Time) time.Duration
	}

	// Config is the settings of a Balancer.
	Config struct {
		Loads Loads
		// Zone is the node's own availability zone.
		Zone string
		// Cap is the greatest multiple of its service's mean load that an
		// endpoint may have; 0 for twice.
		Cap float64
		// Nodes returns how many nodes there are, those too that were not heard
		// lately; nil if this is the only one.
		Nodes func() int
		// Draw draws evenly from 0 up to 1; nil for at random.
		Draw func() float64
	}

	// Balancer chooses endpoints. It is safe for concurrent use.
	Balancer struct {
		config Config
		mu     sync.Mutex
		own    map[deployment.Start]*own
		held   *holders
		// reports are the endpoints' own words on their load.
		reports *reports
		// perToken is how long engines take to read a token, 0 until one has read
		// a prompt.
		perToken time.Duration
		// asked are the requests for each service, over failureMemory.
		asked map[string]*rates.Decayed
		// began is when the node started.
		began time.Time
	}

	// Request is what a choice depends on.
	Request struct {
		Service deployment.Service
		// Key names the part of the prompt by which requests share memory;
		// empty if there is none.
		Key string
		// Tried are the endpoints that have had this request.
		Tried []deployment.Start
		// Again says that one of them may have it once more if no other has
		// room: it has answered, and may do better the second time.
		Again bool
		// Repeats says that it may run more than once.
		Repeats bool
		// Stay says that the request waits for an engine that keeps its prompt
		// rather than go to one of the last places elsewhere.
		Stay bool
		// Objective is when the answer should begin; 0 if nobody says.
		Objective time.Duration
		// Prompt is the size of what an engine may have to read.
		Prompt Prompt
	}

	// Choice is the endpoint chosen and what decided it.
	Choice struct {
		Endpoint *deployment.Endpoint
		// First is the endpoint that comes first for the request's key.
		First *deployment.Endpoint
		// Source is an endpoint that is believed to keep what the chosen one
		// lacks of the prompt, nil if there is none.
		Source *deployment.Endpoint
		// Load is the chosen endpoint's load before, and Mean its service's.
		Load int
		Mean float64
		// Age is how old the other nodes' part of the loads was.
		Age time.Duration
		// Ready is how many endpoints could be chosen from.
		Ready int
		// Scarce says that the endpoint may be full by now, though that is not
		// known: other nodes have sent it something since they last told.
		Scarce bool
		// Cold says that the endpoint bears only few requests now, and may be slow.
		Cold bool

		// Reading is how long the engine is likely to read before the answer
		// begins, with what it has to read for others first.
		Reading time.Duration

		placement Placement
		// tokens are what the engine is to read for the request, and backlog what
		// it had to read before.
		tokens, backlog int
	}

	// own is what this node knows of an endpoint.
	own struct {
		// key is that of the endpoint's Start.
		key    uint32
		active int
		// reading are the tokens that it is to read for this node's requests.
		reading int
		health  health
		rest    rest
		seen    time.Time
		// failed are the attempts that it has failed, over failureMemory.
		failed rates.Decayed
		// margin is for how much longer than it says it is left alone while cold.
		margin time.Duration
		// turned is when a turn at the endpoint was last looked for.
		turned time.Time
	}
)

// New returns a Balancer that knows no endpoint yet.
func New(c Config) *Balancer {
	if c.Draw == nil {
		c.Draw = rand.Float64
	}
	if c.Nodes == nil {
		c.Nodes = func() int { return 1 }
	}
	return &Balancer{config: c, own: map[deployment.Start]*own{}, held: newHolders(), reports: newReports(), asked: map[string]*rates.Decayed{}, began: time.Now()}
}

// Choose chooses an endpoint and counts the request there until Release. It
// returns nil where no endpoint has room.
func (b *Balancer) Choose(now time.Time, list []*deployment.Endpoint, r Request) *Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	all, mean := b.candidates(now, list, r)
	c := b.pickWarm(all, mean, r, now)
	if c == nil && r.Again {
		r.Tried = nil
		all, mean = b.candidates(now, list, r)
		c = b.pickWarm(all, mean, r, now)
	}
	if c == nil {
		return nil
	}
	o := b.own[c.endpoint.Start()]
	o.active++
	o.rest.tried = now
	choice := &Choice{Endpoint: c.endpoint, Load: c.load, Mean: mean.usable, Ready: len(all), Cold: c.cold, Age: b.config.Loads.Age(now)}
	if r.Key != "" {
		part := xxhash.Sum64String(r.Key)
		choice.First = first(part, list, nil)
		choice.Source = b.held.source(part, c, list, now)
		choice.Scarce = c.scarce()
		choice.placement = Placement{Part: part, Endpoint: c.key}
		b.estimate(choice, c, r)
	}
	return choice
}

// ask counts a request that goes to a service.
func (b *Balancer) ask(now time.Time, service string) {
	if b.asked[service] == nil {
		b.asked[service] = &rates.Decayed{Memory: failureMemory}
	}
	b.asked[service].Add(now)
}

// Sent notes that the request goes to the chosen endpoint, which then keeps its
// prompt.
func (b *Balancer) Sent(now time.Time, c *Choice) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ask(now, c.Endpoint.Service)
	if c.placement == (Placement{}) {
		return
	}
	b.held.note(c.placement, now)
	b.get(c.Endpoint.Start(), now).reading += c.tokens
}

// Release ends the count of a request at an endpoint, with its outcome.
func (b *Balancer) Release(now time.Time, s deployment.Start, o Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.get(s, now)
	e.active--
	if o != Full {
		// The place that the request had is free now.
		e.health.busy = time.Time{}
	}
	e.health.note(o, now)
	e.noteFailure(now, o)
}

// Active returns this node's requests in progress by the Keys of the endpoints' Starts.
func (b *Balancer) Active() map[uint32]int {
	return b.counts(func(o *own) int { return o.active })
}

// counts returns one of the counts that this node keeps, by the Keys of the starts,
// where it is not 0.
func (b *Balancer) counts(of func(o *own) int) map[uint32]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := make(map[uint32]int)
	for _, o := range b.own {
		if n := of(o); n > 0 {
			counts[o.key] = n
		}
	}
	return counts
}

// Placements returns this node's new placements since a time, for the other
// nodes, and those of the last moments anyhow. Older ones are forgotten.
func (b *Balancer) Placements(now, since time.Time) []Placement {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held.recent(now, since)
}

// Placed takes placements of another node.
func (b *Balancer) Placed(now time.Time, list []Placement) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range list {
		b.held.put(p, holder{endpoint: p.Endpoint, at: now, told: now})
	}
}

// Forget drops what is known of endpoints that were not used for a time.
func (b *Balancer) Forget(now time.Time, after time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reports.forget(now)
	maps.DeleteFunc(b.asked, func(_ string, asked *rates.Decayed) bool { return asked.Get(now) < askedForgotten })
	for s, o := range b.own {
		if o.active == 0 && now.Sub(o.seen) > after && !o.rest.lasts(now) {
			delete(b.own, s)
		}
	}
}

func (b *Balancer) get(s deployment.Start, now time.Time) *own {
	o := b.own[s]
	if o == nil {
		o = &own{key: s.Key(), margin: b.drawMargin(), failed: rates.Decayed{Memory: failureMemory}}
		b.own[s] = o
	}
	o.seen = now
	return o
}
