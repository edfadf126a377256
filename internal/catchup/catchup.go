// Package catchup decides how a node gets the store's items that it lacks: from
// which peer, or from the store itself, and which requests of peers it serves.
//
// It needs no network and no clock.
package catchup

import (
	"net/netip"
	"time"
)

const (
	// DefaultBound is the time within which a change must be in force if the
	// configuration does not say.
	DefaultBound = 2 * time.Second
	// otherZoneDelay is how long a node that is no relay waits for a peer of its
	// own availability zone: two periods of the relays of a large fleet.
	otherZoneDelay = 600 * time.Millisecond
	// minBusy and maxBusy bound how long a peer that was busy is not asked again,
	// and failedFor is the same for one that failed.
	minBusy   = 40 * time.Millisecond
	maxBusy   = 160 * time.Millisecond
	failedFor = 2 * time.Second
	// readShare is the fraction of the bound after which a node that gets nothing
	// from its peers reads the store.
	readShare = 0.5
	// earlyReaders is how many nodes of a fleet, on average, read the store at the
	// first failure of a peer.
	earlyReaders = 8
)

type (
	// Config is the settings of a Puller.
	Config struct {
		// Zone is the node's availability zone.
		Zone string
		// Bound is the time within which a change must be in force, 0 for
		// DefaultBound.
		Bound time.Duration
		// Draw returns uniformly distributed numbers in [0, 1).
		Draw func() float64
	}

	// Peer is a node that is ahead of this one.
	Peer struct {
		Name string
		Zone string
		IP   netip.Addr
	}

	// Fleet is what a node knows of the others.
	Fleet struct {
		// Ahead are the living nodes that have newer items.
		Ahead []Peer
		// Nodes is the number of nodes, including this one.
		Nodes int
		// Relay reports whether other nodes of the zone get their updates from this
		// one, or whether the fleet has no relays.
		Relay bool
	}

	// Puller chooses the peers that a node asks. It is not safe for concurrent use.
	Puller struct {
		config Config
		// since is when the node began to be behind, zero if it is not.
		since time.Time
		// avoided is until when peers are not asked again.
		avoided map[string]time.Time
	}
)

// NewPuller returns a Puller of a node that is not behind.
func NewPuller(c Config) *Puller {
	if c.Bound == 0 {
		c.Bound = DefaultBound
	}
	return &Puller{config: c, avoided: map[string]time.Time{}}
}

// Next returns the peer to ask, or how long to wait until one may be asked. It
// reports false if there is none, now or soon.
//
// A change reaches a reader of the store first. If all nodes asked it at once, its
// processor time and link would bound the size of the fleet. The relays ask first,
// therefore, and other nodes a peer of their own zone.
func (p *Puller) Next(now time.Time, f Fleet) (peer Peer, wait time.Duration, ok bool) {
	if len(f.Ahead) == 0 {
		return Peer{}, 0, false
	}
	if p.since.IsZero() {
		p.since = now
	}
	all := p.ofZone(f.Ahead)
	if len(all) == 0 && (f.Relay || now.Sub(p.since) >= otherZoneDelay) {
		all = f.Ahead
	}
	var list []Peer
	var first time.Time
	for _, a := range all {
		until := p.avoided[a.Name]
		if !now.Before(until) {
			list = append(list, a)
			continue
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	switch {
	case len(list) > 0:
		return list[int(p.config.Draw()*float64(len(list)))], 0, true
	case len(all) > 0:
		return Peer{}, first.Sub(now), true
	}
	return Peer{}, 0, false
}

// Done records that the node has caught up.
func (p *Puller) Done() {
	p.since = time.Time{}
	clear(p.avoided)
}

// Busy records that a peer has no capacity for another request at present.
func (p *Puller) Busy(now time.Time, peer Peer) {
	p.avoided[peer.Name] = now.Add(minBusy + time.Duration(p.config.Draw()*float64(maxBusy-minBusy)))
}

// Failed records that a peer did not answer, and reports whether the node should
// read the store.
//
// One failure says little in a large fleet, where the others can still be asked:
// if all nodes read the store for it, they would exceed its rate. A few do at
// once, and all after a part of the bound, as a node may be cut off from its peers
// but not from the store.
func (p *Puller) Failed(now time.Time, peer Peer, nodes int) bool {
	p.avoided[peer.Name] = now.Add(failedFor)
	if p.config.Draw()*float64(nodes) < earlyReaders {
		return true
	}
	return !p.since.IsZero() && now.Sub(p.since) >= time.Duration(readShare*float64(p.config.Bound))
}

// ofZone returns the peers of the node's own zone.
func (p *Puller) ofZone(list []Peer) []Peer {
	var own []Peer
	for _, a := range list {
		if a.Zone == p.config.Zone {
			own = append(own, a)
		}
	}
	return own
}
