package gateway

import (
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

const (
	// maxCrashes is how many endpoints a request may crash before it is refused.
	maxCrashes = 3
	// crashTTL is how long a request is remembered after its latest crash.
	crashTTL = 2 * time.Minute
	// maxCrashEntries bounds the number of requests remembered.
	maxCrashEntries = 4096
)

type (
	// Crashes records which requests ran at endpoints when their connection broke.
	//
	// Without it, a request that crashes its endpoint is sent again and crashes
	// the next, until none is left; endpoints die one after another while the
	// same request runs. Nodes share their records, and none forwards a request
	// that has crashed three endpoints.
	Crashes struct {
		broadcast func(hash uint64, endpoint deployment.Start)
		mu        sync.Mutex
		seen      map[uint64]*crashRecord
	}

	crashRecord struct {
		endpoints map[uint32]bool
		last      time.Time
	}
)

// NewCrashes returns an empty record; broadcast is called for each crash that this
// node sees.
func NewCrashes(broadcast func(hash uint64, endpoint deployment.Start)) *Crashes {
	return &Crashes{broadcast: broadcast, seen: map[uint64]*crashRecord{}}
}

// Report records a crash that this node has seen and reports it to the others.
func (c *Crashes) Report(now time.Time, hash uint64, endpoint deployment.Start) {
	c.Note(now, hash, endpoint.Key())
	c.broadcast(hash, endpoint)
}

// Note records that a request crashed an endpoint, given by the Key of its Start.
func (c *Crashes) Note(now time.Time, hash uint64, endpoint uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.seen) >= maxCrashEntries {
		c.prune(now)
	}
	e := c.seen[hash]
	if e == nil {
		e = &crashRecord{endpoints: map[uint32]bool{}}
		c.seen[hash] = e
	}
	e.endpoints[endpoint] = true
	e.last = now
}

// Forget removes a request that was answered, as it crashes nothing.
func (c *Crashes) Forget(hash uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.seen, hash)
}

// Blocked reports whether a request has crashed too many endpoints.
func (c *Crashes) Blocked(now time.Time, hash uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.seen[hash]
	return e != nil && len(e.endpoints) >= maxCrashes && now.Sub(e.last) < crashTTL
}

func (c *Crashes) prune(now time.Time) {
	for hash, e := range c.seen {
		if now.Sub(e.last) > crashTTL || len(c.seen) >= maxCrashEntries {
			delete(c.seen, hash)
		}
	}
}
