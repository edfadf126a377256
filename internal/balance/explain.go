package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

const (
	// maxExplained bounds the candidates in an Explanation.
	maxExplained = 32

	// DrawTwo is a draw of two candidates, of which the one with the lower cost is
	// chosen.
	DrawTwo Draw = "better-of-two"
	// DrawEqual is a draw among candidates that are equally good and better than all
	// others, where all requests for the service pass through this node.
	DrawEqual Draw = "equally-good"
	// DrawCold is a draw of the cold endpoints that this node may send a request to.
	DrawCold Draw = "cold-endpoints"
)

type (
	// Draw names how a choice depends on random numbers.
	Draw string

	// Explanation describes the choice that Choose would make.
	Explanation struct {
		// Chosen is the ID of the endpoint that would be chosen, and Source that of the
		// endpoint from which it would fetch the prompt's part; empty if there is none.
		// If Draw is DrawCold, Chosen is the one that is chosen if none is drawn.
		Chosen string `json:"chosen,omitempty"`
		Source string `json:"source,omitempty"`
		// First is the first endpoint of the rendezvous order of the prompt's part.
		First string `json:"first,omitempty"`
		// Draw is set if the choice depends on random numbers; Drawn is then the number
		// of candidates that are drawn from.
		Draw  Draw `json:"draw,omitempty"`
		Drawn int  `json:"drawn_from,omitempty"`
		// NearlyFull reports whether a slot would be reserved at the chosen engine.
		NearlyFull bool `json:"nearly_full,omitempty"`
		// PrefillMS is the expected time, in milliseconds, until the chosen engine has
		// processed the prompt and those before it.
		PrefillMS float64 `json:"prefill_ms,omitempty"`
		// Mean is the mean load of the endpoints that may be sent requests, MeanAll the
		// same with those in evacuated zones, and Bound the load from which an endpoint
		// is passed over for a prompt.
		Mean    float64 `json:"mean"`
		MeanAll float64 `json:"mean_all"`
		Bound   float64 `json:"bound,omitempty"`
		// LoadsAgeMS is the age of the other nodes' part of the loads, in milliseconds.
		LoadsAgeMS float64 `json:"loads_age_ms"`
		Brittle    bool    `json:"brittle,omitempty"`
		// Draining, Evacuated, Gone and Tried count the endpoints that are no candidates.
		Draining  int `json:"draining,omitempty"`
		Evacuated int `json:"evacuated,omitempty"`
		Gone      int `json:"gone,omitempty"`
		// Total is the number of candidates, of which Candidates has the chosen one and
		// the best others.
		Total      int                  `json:"candidates_total"`
		Candidates []ExplainedCandidate `json:"candidates"`
	}

	// ExplainedCandidate is an endpoint that may be chosen, with the values that
	// determine the choice.
	ExplainedCandidate struct {
		Endpoint string `json:"endpoint"`
		Zone     string `json:"zone,omitempty"`
		// Chosen marks the endpoint that would be chosen, Drawn those drawn from.
		Chosen bool `json:"chosen,omitempty"`
		Drawn  bool `json:"drawn,omitempty"`
		// Load is the greater of Own and Others together, this node's and the other
		// nodes' requests in progress, and of Reported, the endpoint's own report.
		Load     int `json:"load"`
		Own      int `json:"own"`
		Others   int `json:"others"`
		Reported int `json:"reported"`
		// ReportAgeMS is the age of that report in milliseconds; 0 without a report
		// that counts.
		ReportAgeMS float64 `json:"report_age_ms,omitempty"`
		Slots       int     `json:"slots"`
		// Cost is what a plain request compares: the load per slot or, where the
		// service's endpoints report slowdowns, the expected time as a multiple of the
		// usual time of the work; with a penalty for another zone.
		Cost float64 `json:"cost,omitempty"`
		// Rank is the position in the rendezvous order of the prompt's part, from 1.
		Rank int `json:"rank,omitempty"`
		// Holds reports whether the endpoint probably holds the prompt's part, and
		// Preferred whether it therefore precedes others.
		Holds     bool `json:"holds,omitempty"`
		Preferred bool `json:"preferred,omitempty"`
		// Prefill is the number of prompt tokens that it still has to process, and
		// PrefillMS the expected time for these and the request's own, in milliseconds.
		Prefill   int     `json:"prefill,omitempty"`
		PrefillMS float64 `json:"prefill_ms,omitempty"`
		Suspect   bool    `json:"suspect,omitempty"`
		// Probe marks a suspect endpoint that the next request would probe.
		Probe bool `json:"probe,omitempty"`
		Cold  bool `json:"cold,omitempty"`
		// Blocked lists why the endpoint may not be sent anything now.
		Blocked []Block `json:"blocked,omitempty"`
		// Slowdown is how long work probably takes there, as a multiple of usual; 0 if
		// that is not known. SlowdownMS is the age of the report of it, in milliseconds.
		Slowdown   float64 `json:"slowdown,omitempty"`
		SlowdownMS float64 `json:"slowdown_ms,omitempty"`
	}

	// Block is a reason why an endpoint may not be sent anything now.
	Block struct {
		Reason string `json:"reason"`
		// LeftMS is for how long it lasts, in milliseconds; 0 if that is not known.
		LeftMS float64 `json:"left_ms,omitempty"`
	}
)

// Explain describes the choice that Choose would make now. It changes nothing: the
// state that a decision may change is copied first.
func (b *Balancer) Explain(now time.Time, list []*deployment.Endpoint, r Request) Explanation {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.isolate(now, list, r.Service.Name)()
	r.now = now
	_, failures := b.states(now, list)
	d := b.decide(now, list, r)
	r.brittle = b.isBrittle(now, r.Service.Name)
	x := Explanation{
		Mean: d.mean.usable, MeanAll: d.mean.all, LoadsAgeMS: 1000 * b.config.Loads.Age(now).Seconds(), Brittle: r.brittle, Total: len(d.all),
	}
	x.count(b, list)
	if r.Key != "" {
		x.Bound = b.bound(d.mean)
		if top := first(xxhash.Sum64String(r.Key), list, nil); top != nil {
			x.First = top.ID
		}
	}
	drawn := b.drawn(&x, d, r)
	if d.chosen != nil && x.Draw != DrawTwo && x.Draw != DrawEqual {
		choice := b.choice(now, list, r, d)
		x.Chosen, x.NearlyFull, x.PrefillMS = choice.Endpoint.ID, choice.NearlyFull, 1000*choice.PrefillTime.Seconds()
		if choice.Source != nil {
			x.Source = choice.Source.ID
		}
	}
	x.Drawn = len(drawn)
	for _, c := range b.best(d, drawn, r) {
		e := b.explain(now, len(list), c, d, r, failures)
		e.Chosen, e.Drawn = e.Endpoint == x.Chosen, drawn[c.key]
		x.Candidates = append(x.Candidates, e)
	}
	return x
}

// isolate replaces the state that a decision on some endpoints may change by a copy,
// and returns a function that restores it. Random numbers are replaced by 0, with
// which no cold endpoint is admitted. The memory that choices reuse is not copied: no
// list in it outlasts the lock.
func (b *Balancer) isolate(now time.Time, list []*deployment.Endpoint, service string) (restore func()) {
	endpoints, config, roundedAt, speeds := b.endpoints, b.config, b.roundedAt, b.speeds
	b.speeds = map[string]bool{service: speeds[service]}
	b.config.IntN = func(int) int { return 0 }
	copies := make(map[deployment.Start]*endpointState, len(list))
	for _, e := range list {
		if o := endpoints[e.Start()]; o != nil {
			state := *o
			copies[e.Start()] = &state
		}
	}
	b.endpoints, b.config.Draw = copies, func() float64 { return 0 }
	// The share of a brittle service keeps its last rounding.
	b.roundedAt = now
	return func() { b.endpoints, b.config, b.roundedAt, b.speeds = endpoints, config, roundedAt, speeds }
}

// count counts the endpoints of a list that are no candidates, by the first reason.
func (x *Explanation) count(b *Balancer, list []*deployment.Endpoint) {
	for _, e := range list {
		switch {
		case e.Draining:
			x.Draining++
		case b.endpoints[e.Start()].health.gone:
			x.Gone++
		case e.Evacuated:
			x.Evacuated++
		}
	}
}

// drawn sets how the choice depends on random numbers, and returns the Keys of the
// candidates that are drawn from.
func (b *Balancer) drawn(x *Explanation, d decision, r Request) map[uint32]bool {
	keys := map[uint32]bool{}
	if r.Key == "" {
		healthy, suspects := usable(warm(d.all))
		if len(healthy) == 0 {
			healthy = suspects
		}
		draw := DrawTwo
		if r.Exclusive {
			draw, healthy = DrawEqual, b.equallyGood(healthy, r)
		}
		if len(healthy) > 1 {
			x.Draw = draw
			for _, c := range healthy {
				keys[c.key] = true
			}
		}
	}
	if c := d.chosen; c != nil && (r.Key == "" || float64(c.load) < b.bound(d.mean)) {
		return keys
	}
	for _, c := range d.all {
		if c.cold && !c.blocked && !c.suspect {
			x.Draw = DrawCold
			keys[c.key] = true
		}
	}
	return keys
}

// equallyGood returns the candidates among which leastLoaded takes turns.
func (b *Balancer) equallyGood(list []*candidate, r Request) []*candidate {
	best := b.leastLoaded(list, r)
	return slices.DeleteFunc(list, func(c *candidate) bool {
		return b.plainLoad(c, r) > b.plainLoad(best, r) || b.plainCost(c, r) > b.plainCost(best, r)
	})
}

// best returns the candidates, the chosen one and those that are drawn from first,
// then by what precedes in a choice.
func (b *Balancer) best(d decision, drawn map[uint32]bool, r Request) []*candidate {
	type entry struct {
		*candidate
		class int
		cost  float64
	}
	list := make([]entry, len(d.all))
	for i := range d.all {
		e := entry{candidate: &d.all[i], class: 2}
		e.preferred = e.prefers(d.mean)
		switch {
		case d.chosen != nil && e.key == d.chosen.key && (r.Key != "" || r.Exclusive):
			e.class = 0
		case drawn[e.key]:
			e.class = 1
		case e.blocked:
			e.class = 4
		case e.suspect:
			e.class = 3
		}
		if r.Key == "" {
			e.cost = b.plainCost(e.candidate, r)
		}
		list[i] = e
	}
	slices.SortFunc(list, func(p, q entry) int {
		if order := cmp.Or(cmp.Compare(p.class, q.class), cmp.Compare(p.cost, q.cost)); order != 0 {
			return order
		}
		switch {
		case p.precedes(q.candidate):
			return -1
		case q.precedes(p.candidate):
			return 1
		}
		return cmp.Compare(p.endpoint.ID, q.endpoint.ID)
	})
	best := make([]*candidate, min(len(list), maxExplained))
	for i := range best {
		best[i] = list[i].candidate
	}
	return best
}

// explain returns the values of a candidate. Failures is the mean failure rate of the
// service's endpoints.
func (b *Balancer) explain(now time.Time, endpoints int, c *candidate, d decision, r Request, failures float64) ExplainedCandidate {
	o := b.endpoints[c.endpoint.Start()]
	e := ExplainedCandidate{
		Endpoint: c.endpoint.ID, Zone: c.endpoint.Zone, Load: c.load, Own: o.active, Others: b.config.Loads.Others(o.key), Reported: b.reports.load(o.key, now), Slots: c.slots,
		Suspect: c.suspect, Probe: !c.suspect && o.health.suspect(failures), Cold: c.cold,
	}
	if e.Reported > 0 {
		e.ReportAgeMS = 1000 * now.Sub(b.reports.latest[o.key].at).Seconds()
	}
	slowdown, age := b.knownSlowdown(c, now)
	e.Slowdown, e.SlowdownMS = slowdown, 1000*age.Seconds()
	if r.Key == "" {
		e.Cost = b.plainCost(c, r)
	} else {
		choice := Choice{}
		b.estimatePrefill(&choice, c, r)
		e.Rank, e.Holds, e.Preferred, e.Prefill, e.PrefillMS = rank(d.all, c)+1, c.holds, c.preferred, c.prefill, 1000*choice.PrefillTime.Seconds()
	}
	if c.blocked {
		e.Blocked = r.blocks(now, c.endpoint, o, b.load(now, o, endpoints, r))
	}
	return e
}

// blocks returns why a blocked endpoint may not be sent anything. Each reason is found
// by asking blocked about a state that has only this one.
func (r Request) blocks(now time.Time, e *deployment.Endpoint, o *endpointState, load float64) []Block {
	var list []Block
	add := func(reason string, s endpointState, load float64, until time.Time) {
		if r.blocked(now, e, &s, load) {
			list = append(list, Block{Reason: reason, LeftMS: max(1000*until.Sub(now).Seconds(), 0)})
		}
	}
	h := o.health
	none := -1.0
	add("unreachable", endpointState{health: health{unreachableUntil: h.unreachableUntil}}, none, h.unreachableUntil)
	add("refused", endpointState{health: health{refusedUntil: h.refusedUntil}}, none, h.refusedUntil)
	add("reservation-refused", endpointState{health: health{noPlaceUntil: h.noPlaceUntil}}, none, h.noPlaceUntil)
	if o.backoff.active(now) {
		add("backoff", endpointState{backoff: o.backoff}, none, o.backoff.until)
	} else {
		add("trial-after-backoff", endpointState{backoff: o.backoff}, none, o.backoff.lastSent.Add(trialInterval))
	}
	if r.limitedByOwner() {
		add("owner-limit", endpointState{active: o.active}, none, now)
	} else {
		add("full", endpointState{}, load, now)
	}
	if len(list) == 0 {
		// What candidates adds to blocked: the share of a brittle service.
		list = []Block{{Reason: "brittle-share"}}
	}
	return list
}
