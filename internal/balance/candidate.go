package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// candidate is an endpoint that may be chosen, and what speaks for and against it.
type candidate struct {
	endpoint *deployment.Endpoint
	key      uint32
	load     int
	slots    int
	score    uint64
	suspect  bool
	// closed says that it gets nothing now: it is full or was not reached.
	closed bool
	// cold says that it bears only few requests now.
	cold bool
	// holds says that the endpoint is believed to keep the prompt's part, and
	// ahead that it goes before those that do not.
	holds bool
	ahead bool
	// reading are the tokens that it is still to read for all.
	reading int
}

// Room reports whether Choose would find an endpoint.
func (b *Balancer) Room(now time.Time, list []*deployment.Endpoint, r Request) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(list, func(e *deployment.Endpoint) bool {
		o := b.get(e.Start(), now)
		if !e.Takes() || b.cold(e, o, r.Service, now) || slices.Contains(r.Tried, e.Start()) {
			return false
		}
		return !r.closed(now, e, o, b.sent(o))
	})
}

// sent returns an endpoint's requests in progress that the nodes know of.
func (b *Balancer) sent(o *own) int { return o.active + b.config.Loads.Others(o.key) }

// closed reports whether an endpoint gets nothing now: it was not reached, has
// refused a request just now, has asked for rest, or the nodes know of as many
// requests as it may have. Its own word closes it for nobody: it may be older than it seems, and the
// endpoint refuses by itself what is too much.
func (r Request) closed(now time.Time, e *deployment.Endpoint, o *own, sent int) bool {
	depth := plainDepth
	if r.Key != "" {
		depth = modelDepth
	}
	return o.health.gone || o.rest.closes(now) || now.Before(o.health.until) || now.Before(o.health.full) || now.Before(o.health.busy) ||
		float64(sent) >= depth*float64(slots(e, r.Service))
}

// means are the mean loads of a service's endpoints.
type means struct {
	// usable is that of the endpoints that may be sent something, and all that of
	// those too whose zones are evacuated.
	usable, all float64
}

// candidates returns the endpoints that may be chosen, and the mean loads.
func (b *Balancer) candidates(now time.Time, list []*deployment.Endpoint, r Request) ([]candidate, means) {
	known, failures := b.known(now, list)
	failing := b.failing(now, known, r.Service.Name)
	var total, ready, evacuated, left int
	part := xxhash.Sum64String(r.Key)
	all := make([]candidate, 0, len(list))
	for i, e := range list {
		o := known[i]
		if e.Draining || o.health.gone {
			continue
		}
		key := o.key
		sent := b.sent(o)
		// An endpoint may say that it has more.
		load := max(sent, b.reports.load(key, now))
		if e.Evacuated {
			evacuated++
			left += load
			continue
		}
		ready++
		total += load
		if slices.Contains(r.Tried, e.Start()) {
			continue
		}
		c := candidate{endpoint: e, key: key, load: load, slots: slots(e, r.Service), suspect: e.Replaced || failing.avoid(i, r.Repeats) || b.avoid(o, failures, now)}
		c.closed, c.cold = r.closed(now, e, o, sent), b.cold(e, o, r.Service, now)
		if r.Key != "" {
			c.reading = o.reading + b.config.Loads.OthersReading(key)
			c.score, c.holds = score(part, e), b.held.has(part, key, now) && !o.rest.lasts(now)
		}
		all = append(all, c)
	}
	return all, means{
		usable: float64(total) / float64(max(ready, 1)),
		all:    float64(total+left) / float64(max(ready+evacuated, 1)),
	}
}

// avoid reports whether a suspect endpoint is to be passed over; after some
// time it is open to one request again, so that one that has recovered returns.
func (b *Balancer) avoid(o *own, failures float64, now time.Time) bool {
	if !o.health.suspect(failures) {
		return false
	}
	if now.After(o.health.retry) && o.active == 0 {
		o.health.retry = now.Add(probation)
		return false
	}
	return true
}

// known returns what this node knows of each endpoint, and their mean share of
// failures.
func (b *Balancer) known(now time.Time, list []*deployment.Endpoint) ([]*own, float64) {
	total := 0.0
	known := make([]*own, len(list))
	for i, e := range list {
		known[i] = b.get(e.Start(), now)
		total += known[i].health.failures
	}
	return known, total / float64(max(len(list), 1))
}

func slots(e *deployment.Endpoint, s deployment.Service) int {
	return max(cmp.Or(e.Slots, s.Slots), 1)
}
