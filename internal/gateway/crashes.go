package gateway

import (
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

const (
	// crashLimit is how many endpoints a request may crash before it is refused.
	crashLimit = 3
	// crashMemory is how long a crash is remembered.
	crashMemory = 2 * time.Minute
	// crashEntries bounds the requests remembered.
	crashEntries = 4096
)

type (
	// Crashes remembers which requests ran on endpoints that broke off.
	//
	// What goes wrong without it: one request crashes its endpoint, comes again
	// and crashes the next, until none is left. One notices endpoints that die
	// one after another while the same request runs. Nodes tell each other, and
	// none passes such a request on after the third.
	Crashes struct {
		tell func(hash uint64, endpoint deployment.Start)
		mu   sync.Mutex
		seen map[uint64]*crashed
	}

	crashed struct {
		endpoints map[uint32]bool
		last      time.Time
	}
)

// NewCrashes returns an empty memory; tell is called for each crash seen here.
func NewCrashes(tell func(hash uint64, endpoint deployment.Start)) *Crashes {
	return &Crashes{tell: tell, seen: map[uint64]*crashed{}}
}

// Saw notes a crash that this node has seen, and tells the others.
func (c *Crashes) Saw(now time.Time, hash uint64, endpoint deployment.Start) {
	c.Note(now, hash, endpoint.Key())
	c.tell(hash, endpoint)
}

// Note remembers that an endpoint, by its short name, broke off.
func (c *Crashes) Note(now time.Time, hash uint64, endpoint uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.seen) >= crashEntries {
		c.prune(now)
	}
	e := c.seen[hash]
	if e == nil {
		e = &crashed{endpoints: map[uint32]bool{}}
		c.seen[hash] = e
	}
	e.endpoints[endpoint] = true
	e.last = now
}

// Served forgets a request that was answered: it crashes nothing.
func (c *Crashes) Served(hash uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.seen, hash)
}

// Refuse reports whether a request has crashed too many endpoints.
func (c *Crashes) Refuse(now time.Time, hash uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.seen[hash]
	return e != nil && len(e.endpoints) >= crashLimit && now.Sub(e.last) < crashMemory
}

func (c *Crashes) prune(now time.Time) {
	for hash, e := range c.seen {
		if now.Sub(e.last) > crashMemory || len(c.seen) >= crashEntries {
			delete(c.seen, hash)
		}
	}
}
