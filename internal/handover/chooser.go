package handover

import (
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

const (
	// otherZoneCost is how many more requests of this node another one of its own
	// availability zone has before one of another zone is preferred.
	otherZoneCost = 4
	// otherRegionCost is the same for nodes of other regions.
	otherRegionCost = 64
	// avoidBusy is how long a node that declined a request is avoided, and avoidSilent
	// how long one that did not answer.
	avoidBusy   = 200 * time.Millisecond
	avoidSilent = time.Second
	// forgetPeers is the number of nodes from which unused ones are forgotten.
	forgetPeers = 1024
)

type (
	// Peer is a node that requests may be handed over to.
	Peer struct {
		Name string
		Zone string
		Addr netip.AddrPort
	}

	// ChooserConfig configures a Chooser.
	ChooserConfig struct {
		// Zone is the node's own availability zone, and Regions maps zones to their
		// regions.
		Zone    string
		Regions map[string]string
		// IntN returns a random number in [0, n); nil means math/rand.
		IntN func(n int) int
	}

	// Chooser chooses the nodes that requests are handed over to: of two random ones
	// the one that has fewer requests of this node, with a preference for its own
	// zone. If all nodes took the nearest or the least loaded one, many nodes that
	// lose their paths together would overwhelm it. A Chooser is safe for concurrent
	// use.
	Chooser struct {
		config ChooserConfig
		mu     sync.Mutex
		peers  map[string]*peerState
	}

	// peerState is what this node knows of another one.
	peerState struct {
		// active are the requests of this node that it has.
		active int
		// avoidUntil is until when it is avoided.
		avoidUntil time.Time
	}
)

// NewChooser returns a Chooser that has chosen nothing yet.
func NewChooser(c ChooserConfig) *Chooser {
	if c.IntN == nil {
		c.IntN = rand.IntN
	}
	return &Chooser{config: c, peers: map[string]*peerState{}}
}

// Choose chooses one of the nodes and counts a request there until Release. It returns
// false if there is none.
func (c *Chooser) Choose(now time.Time, list []Peer) (Peer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var open []Peer
	for _, p := range list {
		if s := c.peers[p.Name]; s == nil || now.After(s.avoidUntil) {
			open = append(open, p)
		}
	}
	if len(open) == 0 {
		return Peer{}, false
	}
	best := open[c.config.IntN(len(open))]
	if near := c.nearest(open); len(near) > 0 {
		best = near[c.config.IntN(len(near))]
	}
	if other := open[c.config.IntN(len(open))]; c.cost(other) < c.cost(best) {
		best = other
	}
	c.state(best.Name).active++
	return best, true
}

// Release records that a request is no longer at a node. The error is that of the
// offer.
func (c *Chooser) Release(now time.Time, name string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state(name)
	s.active--
	switch {
	case errors.Is(err, ErrDeclined):
		s.avoidUntil = now.Add(avoidBusy)
	case err != nil:
		s.avoidUntil = now.Add(avoidSilent)
	}
	if len(c.peers) < forgetPeers {
		return
	}
	for other, s := range c.peers {
		if s.active == 0 && now.After(s.avoidUntil) {
			delete(c.peers, other)
		}
	}
}

// Active returns the requests of this node that others have, by their names.
func (c *Chooser) Active() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	active := map[string]int{}
	for name, s := range c.peers {
		if s.active > 0 {
			active[name] = s.active
		}
	}
	return active
}

// nearest returns the nodes of the own availability zone.
func (c *Chooser) nearest(list []Peer) []Peer {
	var near []Peer
	for _, p := range list {
		if p.Zone == c.config.Zone {
			near = append(near, p)
		}
	}
	return near
}

func (c *Chooser) cost(p Peer) int {
	cost := 0
	if s := c.peers[p.Name]; s != nil {
		cost = s.active
	}
	switch {
	case p.Zone == c.config.Zone:
	case c.config.Regions[p.Zone] == c.config.Regions[c.config.Zone]:
		cost += otherZoneCost
	default:
		cost += otherRegionCost
	}
	return cost
}

func (c *Chooser) state(name string) *peerState {
	s := c.peers[name]
	if s == nil {
		s = &peerState{}
		c.peers[name] = s
	}
	return s
}
