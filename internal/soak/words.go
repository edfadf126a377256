package soak

import (
	"fmt"
	"sync"
	"time"
)

const (
	// restGrace is how long after a refusal requests may still be on their way, and
	// restSlack how many may reach the endpoint afterwards.
	restGrace = 500 * time.Millisecond
	restSlack = 2
)

type (
	// words are what endpoints have said of themselves to nodes, and the requests that
	// reached them nevertheless.
	words struct {
		mu    sync.Mutex
		asked map[string]origin
		// leaving is when a start of a node passed on that an endpoint leaves.
		leaving map[pair]time.Time
		rests   map[pair][]rest
		// excused is when a node was last paused or went on.
		excused map[string]time.Time
		harmed  map[string]bool
		list    []string
	}

	// life is one start of a node.
	life struct {
		node  string
		start int
	}

	// origin is which start of a node was sent a request, and when.
	origin struct {
		life
		at time.Time
	}

	// pair is a start of a node and an endpoint.
	pair struct {
		life
		endpoint string
	}

	// rest is one that an endpoint has asked for, and the requests that were sent in it
	// and reached the endpoint.
	rest struct {
		at, until time.Time
		requests  []string
	}
)

func newWords() *words {
	return &words{asked: map[string]origin{}, leaving: map[pair]time.Time{}, rests: map[pair][]rest{}, excused: map[string]time.Time{}, harmed: map[string]bool{}}
}

// sent notes that a request is sent to a node.
func (w *words) sent(id string, l life, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.asked[id] = origin{life: l, at: at}
}

// passed notes that a node has passed on an answer in which an endpoint says that it
// leaves.
func (w *words) passed(id, endpoint string, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := pair{life: w.asked[id].life, endpoint: endpoint}
	if _, known := w.leaving[p]; !known && endpoint != "" {
		w.leaving[p] = at
	}
}

// excuse notes that a node was paused, or goes on.
func (w *words) excuse(node string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.excused[node] = time.Now()
}

// harm notes that an endpoint's connections are delayed or broken, or no longer.
func (w *words) harm(endpoint string, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.harmed[endpoint] = on
	for p := range w.rests {
		if p.endpoint == endpoint {
			delete(w.rests, p)
		}
	}
}

// arrived takes a request that has reached an endpoint, which turns it away if it asks
// for rest.
func (w *words) arrived(id, endpoint string, asks time.Duration, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o, known := w.asked[id]
	if !known {
		return
	}
	p := pair{life: o.life, endpoint: endpoint}
	if told, ok := w.leaving[p]; ok && o.at.Sub(told) > drainBound && !w.excused[o.node].After(told) {
		w.list = append(w.list, fmt.Sprintf("%s reached %s from %s, which had passed on %v before that it leaves", id, endpoint, o.node, o.at.Sub(told)))
	}
	for i, r := range w.rests[p] {
		if o.at.Sub(r.at) > restGrace && at.Before(r.until) && !w.excused[o.node].After(r.at) {
			w.rests[p][i].requests = append(r.requests, id)
		}
	}
	if asks > 0 && !w.harmed[endpoint] {
		w.rests[p] = append(w.rests[p], rest{at: at, until: at.Add(asks)})
	}
}

// broken returns what was sent though an endpoint had said that it wants nothing.
func (w *words) broken() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for p, list := range w.rests {
		for _, r := range list {
			if len(r.requests) > restSlack {
				w.list = append(w.list, fmt.Sprintf("%d requests reached %s from %s, which it had asked for %v of rest: %v", len(r.requests), p.endpoint, p.node, r.until.Sub(r.at), r.requests))
			}
		}
	}
	return w.list
}
