package gate

import (
	"maps"
	"slices"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

// returnDelay is how long a permit may wait for a message to its home that
// goes there anyhow.
const (
	returnDelay = 4 * time.Millisecond
	// maxReturns bounds what is kept for a home that cannot be reached. Its
	// permits end with their leases.
	maxReturns = 1 << 10
)

type (
	// Holder keeps the permits that the node holds, at whichever homes, for as
	// long as their requests run. It is safe for concurrent use.
	Holder struct {
		mu      sync.Mutex
		permits map[uint64]held
		returns map[string]returns
		// seen is the view by which permits were last moved to their homes.
		seen *kernel.View
	}

	// Send is a batch for a home.
	Send struct {
		Home  string
		Batch Batch
	}

	// returns is permits that wait to be given back to one home.
	returns struct {
		since time.Time
		list  []Return
	}

	held struct {
		since       time.Time
		endpoint    string
		home        string
		incarnation uint64
		tokens      int
		expires     time.Time
	}
)

// NewHolder returns an empty Holder.
func NewHolder() *Holder {
	return &Holder{permits: map[uint64]held{}, returns: map[string]returns{}}
}

// Take notes a permit that the home of an endpoint granted.
func (h *Holder) Take(now time.Time, v *kernel.View, home string, a Ask) {
	n, _ := v.Node(home)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.permits[a.ID] = held{
		since: now, endpoint: a.Endpoint, home: home, incarnation: n.Incarnation,
		tokens: a.Tokens, expires: now.Add(a.Lease),
	}
}

// Drop forgets a permit and queues it to be given back to its home. It returns
// the home, "" where the permit is not held.
func (h *Holder) Drop(now time.Time, id uint64) string {
	return h.drop(now, id, true)
}

// Void forgets a permit whose request failed before its time, which says nothing
// of how fast its endpoint is, and queues it to be given back.
func (h *Holder) Void(now time.Time, id uint64) string {
	return h.drop(now, id, false)
}

// Return queues permits to be given back to a home that may have granted them.
func (h *Holder) Return(now time.Time, home string, list ...Return) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range list {
		h.giveBack(now, home, r)
	}
}

// Returns takes the permits that wait to be given back to a home, for a message
// that goes there anyhow.
func (h *Holder) Returns(home string) []Return {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := h.returns[home].list
	delete(h.returns, home)
	return list
}

// Loads returns the work that the node has in progress, by endpoint, sorted by
// name.
func (h *Holder) Loads() []kernel.EndpointLoad {
	h.mu.Lock()
	defer h.mu.Unlock()
	loads := map[string]kernel.Load{}
	for _, p := range h.permits {
		loads[p.endpoint] = loads[p.endpoint].Add(kernel.Load{Requests: 1, Tokens: p.tokens})
	}
	list := make([]kernel.EndpointLoad, 0, len(loads))
	for _, name := range slices.Sorted(maps.Keys(loads)) {
		list = append(list, kernel.EndpointLoad{Endpoint: name, Load: loads[name]})
	}
	return list
}

// Load returns the work that the node has in progress at an endpoint.
func (h *Holder) Load(endpoint string) kernel.Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	var l kernel.Load
	for _, p := range h.permits {
		if p.endpoint == endpoint {
			l = l.Add(kernel.Load{Requests: 1, Tokens: p.tokens})
		}
	}
	return l
}

// Due returns what homes must hear by now: permits that have waited to be given
// back, and permits whose endpoint has another home than the one that granted
// them, or a home that has started anew since.
//
// A home knows only the permits that it granted itself. When an endpoint's home
// changes, the new one would take the endpoint for idle and admit as much work
// again. So every node tells the new home what it has in progress there.
func (h *Holder) Due(now time.Time, v *kernel.View) []Send {
	h.mu.Lock()
	defer h.mu.Unlock()
	batches := map[string]*Batch{}
	if v != h.seen {
		h.seen = v
		h.move(now, v, batches)
	}
	for home, r := range h.returns {
		if batches[home] == nil && now.Sub(r.since) < returnDelay {
			continue
		}
		if batches[home] == nil {
			batches[home] = &Batch{}
		}
		batches[home].Returns = r.list
		delete(h.returns, home)
	}
	sends := make([]Send, 0, len(batches))
	for _, home := range slices.Sorted(maps.Keys(batches)) {
		sends = append(sends, Send{Home: home, Batch: *batches[home]})
	}
	return sends
}

func (h *Holder) move(now time.Time, v *kernel.View, batches map[string]*Batch) {
	for _, id := range slices.Sorted(maps.Keys(h.permits)) {
		p := h.permits[id]
		home, known := homeOf(v, p.endpoint)
		if now.After(p.expires) {
			delete(h.permits, id)
			continue
		}
		if !known || home == (homeKey{p.home, p.incarnation}) {
			continue
		}
		if p.home != home.name {
			h.giveBack(now, p.home, Return{ID: id})
		}
		if batches[home.name] == nil {
			batches[home.name] = &Batch{}
		}
		b := batches[home.name]
		b.Declares = append(b.Declares, Ask{
			ID: id, Endpoint: p.endpoint, Node: v.Self.Name, Tokens: p.tokens, Lease: p.expires.Sub(now),
		})
		p.home, p.incarnation = home.name, home.incarnation
		h.permits[id] = p
	}
}

func (h *Holder) drop(now time.Time, id uint64, ran bool) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, ok := h.permits[id]
	if !ok {
		return ""
	}
	delete(h.permits, id)
	r := Return{ID: id}
	if ran {
		r.Took = now.Sub(p.since)
	}
	h.giveBack(now, p.home, r)
	return p.home
}

func (h *Holder) giveBack(now time.Time, home string, back Return) {
	r := h.returns[home]
	if len(r.list) >= maxReturns {
		return
	}
	if len(r.list) == 0 {
		r.since = now
	}
	r.list = append(r.list, back)
	h.returns[home] = r
}

type homeKey struct {
	name        string
	incarnation uint64
}

// homeOf returns the home of an endpoint.
func homeOf(v *kernel.View, endpoint string) (homeKey, bool) {
	e, _, ok := find(v, endpoint)
	if !ok {
		return homeKey{}, false
	}
	n, ok := v.Node(e.Home)
	return homeKey{n.Name, n.Incarnation}, ok
}
