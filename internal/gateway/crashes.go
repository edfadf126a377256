package gateway

import (
	"strconv"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/decision"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

const (
	// maxCrashes is how many endpoints a request may crash before it is refused.
	maxCrashes = 3
	// crashTTL is how long a request is remembered after its latest crash.
	crashTTL = 2 * time.Minute
	// maxCrashEntries bounds the number of requests remembered.
	maxCrashEntries = 4096
	// sourceSelf and sourcePeer are the logged sources of a crash.
	sourceSelf = "self"
	sourcePeer = "peer"
)

type (
	// CrashTracker records which requests ran at endpoints when their connection broke.
	//
	// Without it, a request that crashes its endpoint is sent again and crashes
	// the next, until none is left; endpoints die one after another while the
	// same request runs. Nodes share their records, and none forwards a request
	// that has crashed three endpoints.
	CrashTracker struct {
		broadcast func(hash uint64, endpoint deployment.Start)
		log       *decision.Log
		mu        sync.Mutex
		seen      map[uint64]*crashRecord
	}

	crashRecord struct {
		endpoints map[uint32]bool
		last      time.Time
	}
)

// NewCrashTracker returns an empty record; broadcast is called for each crash that this
// node sees. A nil log discards all lines.
func NewCrashTracker(broadcast func(hash uint64, endpoint deployment.Start), log *decision.Log) *CrashTracker {
	return &CrashTracker{broadcast: broadcast, log: log, seen: map[uint64]*crashRecord{}}
}

// Report records a crash that this node has seen and reports it to the others.
func (c *CrashTracker) Report(now time.Time, hash uint64, endpoint deployment.Start) {
	c.record(now, hash, endpoint.Key(), sourceSelf)
	c.broadcast(hash, endpoint)
}

// Record records a crash that another node has seen; the endpoint is given by the Key
// of its Start.
func (c *CrashTracker) Record(now time.Time, hash uint64, endpoint uint32) {
	c.record(now, hash, endpoint, sourcePeer)
}

func (c *CrashTracker) record(now time.Time, hash uint64, endpoint uint32, source string) {
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
	if !e.endpoints[endpoint] {
		c.log.Event("crash", decision.Fields{"print": strconv.FormatUint(hash, 36), "endpoint": endpoint, "crashes": len(e.endpoints) + 1, "source": source})
	}
	e.endpoints[endpoint] = true
	e.last = now
}

// Forget removes a request that was answered, as it crashes nothing.
func (c *CrashTracker) Forget(hash uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.seen, hash)
}

// Blocked reports whether a request has crashed too many endpoints.
func (c *CrashTracker) Blocked(now time.Time, hash uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.seen[hash]
	return e != nil && len(e.endpoints) >= maxCrashes && now.Sub(e.last) < crashTTL
}

func (c *CrashTracker) prune(now time.Time) {
	for hash, e := range c.seen {
		if now.Sub(e.last) > crashTTL || len(c.seen) >= maxCrashEntries {
			delete(c.seen, hash)
		}
	}
}
