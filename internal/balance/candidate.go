package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// candidate is an endpoint that may be chosen, with the criteria of the choice.
type candidate struct {
	endpoint *deployment.Endpoint
	key      uint32
	load     int
	slots    int
	score    uint64
	suspect  bool
	// blocked reports whether it may not be sent anything now: it is full,
	// unreachable or in backoff.
	blocked bool
	// cold reports whether it sustains only a low request rate at present.
	cold bool
	// holds reports whether the endpoint probably holds the prompt's part, preferred
	// whether it therefore precedes those that do not.
	holds     bool
	preferred bool
	// prefill is the number of tokens that it still has to process for all nodes.
	prefill int
	// report is the endpoint's last report, nil if there is none.
	report *report
}

// HasRoom reports whether an endpoint other than the tried and the cold ones has room
// for the request.
func (b *Balancer) HasRoom(now time.Time, list []*deployment.Endpoint, r Request) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.brittle = b.isBrittle(now, r.Service.Name)
	return slices.ContainsFunc(list, func(e *deployment.Endpoint) bool {
		o := b.state(e.Start(), now)
		if !e.AcceptsRequests() || b.cold(e, o, r.Service, now) || slices.Contains(r.Tried, e.Start()) {
			return false
		}
		return !r.blocked(now, e, o, b.load(now, o, len(list), r))
	})
}

// load returns the load of an endpoint that decides whether it has room.
//
// An endpoint of a brittle service must not have to turn requests away. What it reports
// counts as well, and at an engine, whose requests are long, what other nodes have
// probably sent since they last reported.
func (b *Balancer) load(now time.Time, o *endpointState, endpoints int, r Request) float64 {
	sent := float64(b.inProgress(o))
	if !b.isBrittle(now, r.Service.Name) {
		return sent
	}
	sent = max(sent, float64(b.reports.load(o.key, now)))
	if r.Key != "" {
		sent += b.unseen(now, r.Service.Name, endpoints)
	}
	return sent
}

// inProgress returns the number of requests of all nodes in progress at an endpoint,
// as far as known.
func (b *Balancer) inProgress(o *endpointState) int { return o.active + b.config.Loads.Others(o.key) }

// blocked reports whether an endpoint may not be sent anything now: it was
// unreachable, has refused a request just now, has asked for a backoff, or has as
// many requests of all nodes as it may have. The load that it reports itself does not
// block it: that may be older than it seems, and the endpoint refuses excess requests
// itself.
func (r Request) blocked(now time.Time, e *deployment.Endpoint, o *endpointState, load float64) bool {
	limit := plainDepth * float64(slots(e, r.Service))
	switch {
	case r.Key != "" || r.brittle:
		limit = modelDepth * float64(slots(e, r.Service))
	case r.limitedByOwner():
		load, limit = float64(o.active), float64(slots(e, r.Service)+exclusiveExtra)
	}
	return o.health.gone || o.backoff.blocks(now) || now.Before(o.health.unreachableUntil) || now.Before(o.health.refusedUntil) || now.Before(o.health.noPlaceUntil) ||
		load >= limit
}

// limitedByOwner reports whether this node's own requests at an endpoint limit it, as all
// requests for the service pass through this node.
func (r Request) limitedByOwner() bool { return r.Exclusive && r.Key == "" && !r.brittle }

// means are the mean loads of a service's endpoints.
type means struct {
	// usable is the mean over the endpoints that may be sent requests; all includes
	// those in evacuated zones.
	usable, all float64
}

// candidates returns the endpoints that may be chosen, and the mean loads. The list is
// valid until the next call.
func (b *Balancer) candidates(now time.Time, list []*deployment.Endpoint, r Request) ([]candidate, means) {
	states, failures := b.states(now, list)
	r.brittle = b.isBrittle(now, r.Service.Name)
	failing := b.failing(now, states, r.Service.Name)
	shared := r.brittle && r.Key == "" && !r.Exclusive
	over := shared && b.overBrittleShare(now, list, states, r, failing)
	var total, ready, evacuated, evacuatedLoad int
	part, reported := xxhash.Sum64String(r.Key), false
	holding := b.holders.get(part)
	all := slices.Grow(b.scratch.candidates[:0], len(list))
	for i, e := range list {
		o := states[i]
		if e.Draining || o.health.gone {
			continue
		}
		key := o.key
		sent, rep := b.inProgress(o), b.reports.latest[key]
		// The endpoint may have reported more.
		load := max(sent, rep.currentLoad(now))
		if e.Evacuated {
			evacuated++
			evacuatedLoad += load
			continue
		}
		ready++
		total += load
		if slices.Contains(r.Tried, e.Start()) {
			continue
		}
		if rep != nil && rep.slowdown.factor > 0 {
			reported = true
		}
		c := candidate{endpoint: e, key: key, report: rep, load: load, slots: slots(e, r.Service), suspect: e.Replaced || failing.avoid(i, r.Repeatable) || b.avoid(o, failures, now)}
		full := shared && (over || b.overEndpointShare(o, c.slots))
		c.blocked, c.cold = full || r.blocked(now, e, o, b.load(now, o, len(list), r)), b.cold(e, o, r.Service, now)
		if r.Key != "" {
			c.prefill = o.prefill + b.config.Loads.OthersPrefill(key)
			c.score, c.holds = scoreOf(part, o.idHash), holds(holding, key, now) && !o.backoff.active(now)
		}
		all = append(all, c)
	}
	b.scratch.candidates = all
	if reported {
		// The first report may have been to another node.
		b.speeds[r.Service.Name] = true
	}
	return all, means{
		usable: float64(total) / float64(max(ready, 1)),
		all:    float64(total+evacuatedLoad) / float64(max(ready+evacuated, 1)),
	}
}

// avoid reports whether an endpoint is avoided as suspect. Every probeInterval it may
// take one request again, so that a recovered endpoint returns.
func (b *Balancer) avoid(o *endpointState, failures float64, now time.Time) bool {
	if !o.health.suspect(failures) {
		return false
	}
	if now.After(o.health.probeAt) && o.active == 0 {
		o.health.probeAt = now.Add(probeInterval)
		return false
	}
	return true
}

// states returns the state of each endpoint, and their mean failure rate.
func (b *Balancer) states(now time.Time, list []*deployment.Endpoint) ([]*endpointState, float64) {
	total := 0.0
	states := b.scratch.states[:0]
	for _, e := range list {
		o := b.state(e.Start(), now)
		states = append(states, o)
		total += o.health.failureRate
	}
	b.scratch.states = states
	return states, total / float64(max(len(list), 1))
}

func slots(e *deployment.Endpoint, s deployment.Service) int {
	return max(cmp.Or(e.Slots, s.Slots), 1)
}
