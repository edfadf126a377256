// Package poison is the kernel plug-in that finds requests which crash the
// endpoints that run them.
//
// Without it, one request can crash all engines: it crashes its engine, is retried
// on the next and crashes that too, and its caller sends it again to other nodes.
// Such a request shows in endpoints that die one after another while it runs. Nodes
// therefore report to each other which requests ran on an endpoint that died. Such
// a request runs at one endpoint of the fleet at a time, and after three deaths it
// is isolated and runs no more.
package poison

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"
	"strconv"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

// Defaults of a Config.
const (
	// DefaultTTL is how long a request stays suspected or isolated after the last
	// death.
	DefaultTTL = 10 * time.Minute
	// DefaultGossipTime is how long heartbeats repeat a change.
	DefaultGossipTime = 10 * time.Second
	// DefaultMaxEntries is how many requests are remembered.
	DefaultMaxEntries = 4096
	// DefaultMaxPerHeartbeat is how many requests one heartbeat carries.
	DefaultMaxPerHeartbeat = 32
)

type (
	// EndpointDied reports an endpoint that died while it ran a request.
	EndpointDied struct {
		Fingerprint uint64
		Endpoint    string
	}

	// Config configures the plug-in. Zero settings take their defaults.
	Config struct {
		TTL             time.Duration
		GossipTime      time.Duration
		MaxEntries      int
		MaxPerHeartbeat int
	}

	extension struct{ config Config }

	entry struct {
		suspect kernel.Suspicion
		// lastDeath is when the last endpoint died, on this node's clock.
		lastDeath time.Time
		// learnedAt is when the node last learned of a death.
		learnedAt time.Time
	}

	plugin struct {
		config  Config
		entries map[uint64]entry
	}
)

// Fingerprint returns the fingerprint of a request, which identifies it across the fleet:
// a hash of its client account and content. The hash is cryptographic, so that no
// account can craft a request that is taken for another account's.
func Fingerprint(account string, content ...[]byte) uint64 {
	digest := sha256.New()
	size := make([]byte, binary.MaxVarintLen64)
	for _, part := range append([][]byte{[]byte(account)}, content...) {
		digest.Write(size[:binary.PutUvarint(size, uint64(len(part)))])
		digest.Write(part)
	}
	return binary.BigEndian.Uint64(digest.Sum(nil))
}

// New returns the extension that registers the plug-in.
func New(c Config) kernel.Extension {
	c.TTL = cmp.Or(c.TTL, DefaultTTL)
	c.GossipTime = cmp.Or(c.GossipTime, DefaultGossipTime)
	c.MaxEntries = cmp.Or(c.MaxEntries, DefaultMaxEntries)
	c.MaxPerHeartbeat = cmp.Or(c.MaxPerHeartbeat, DefaultMaxPerHeartbeat)
	return extension{config: c}
}

// Extend registers the plug-in.
func (e extension) Extend(k *kernel.Kernel) {
	k.Register(&plugin{config: e.config, entries: map[uint64]entry{}}, kernel.PriorityPoison)
}

// Handle records deaths that the node saw or received from a peer.
func (p *plugin) Handle(now time.Time, ev kernel.Event, out *kernel.Output) {
	switch ev := ev.(type) {
	case EndpointDied:
		p.merge(now, kernel.Suspicion{Fingerprint: ev.Fingerprint, Endpoints: []string{ev.Endpoint}}, out)
	case kernel.HeartbeatReceived:
		for _, s := range ev.Heartbeat.Suspects {
			p.merge(now, s, out)
		}
	case kernel.Tick:
		p.expire(now, out)
	}
}

// Publish adds the suspected requests to the view.
func (p *plugin) Publish(_ time.Time, v *kernel.View) {
	if len(p.entries) == 0 {
		return
	}
	v.Suspects = make(map[uint64]kernel.Suspicion, len(p.entries))
	for print, e := range p.entries {
		v.Suspects[print] = e.suspect
	}
}

// Beat sends what was learned within the gossip time, the most suspected first.
// Every node passes on what it learned, so that it also reaches nodes that exchange
// no heartbeats with the source.
func (p *plugin) Beat(now time.Time, _ string, b *kernel.Heartbeat) {
	recent := p.sortedEntries(func(e entry) bool { return now.Sub(e.learnedAt) < p.config.GossipTime })
	for _, e := range recent[:min(len(recent), p.config.MaxPerHeartbeat)] {
		s := e.suspect
		s.Age = now.Sub(e.lastDeath)
		b.Suspects = append(b.Suspects, s)
	}
}

// Dump returns the suspected requests.
func (p *plugin) Dump(now time.Time) (name string, state any) {
	suspects := make(map[string]kernel.Suspicion, len(p.entries))
	for print, e := range p.entries {
		e.suspect.Age = now.Sub(e.lastDeath)
		suspects[strconv.FormatUint(print, 16)] = e.suspect
	}
	return "poison", suspects
}

// merge adds what one message reports about a request. The age is part of the
// report, so that an entry expires at the same time on all nodes and no two nodes
// keep reviving it.
func (p *plugin) merge(now time.Time, s kernel.Suspicion, out *kernel.Output) {
	if s.Age < 0 || s.Age >= p.config.TTL || len(s.Endpoints) == 0 {
		return
	}
	e, known := p.entries[s.Fingerprint]
	if !known {
		e.suspect.Fingerprint = s.Fingerprint
		p.evict()
	}
	merged, changed := e.suspect.Merge(s.Endpoints)
	if !changed {
		return
	}
	e.suspect = merged
	if last := now.Add(-s.Age); last.After(e.lastDeath) {
		e.lastDeath = last
	}
	e.learnedAt = now
	p.entries[s.Fingerprint] = e
	out.Changed()
}

func (p *plugin) expire(now time.Time, out *kernel.Output) {
	for print, e := range p.entries {
		if now.Sub(e.lastDeath) >= p.config.TTL {
			delete(p.entries, print)
			out.Changed()
		}
	}
}

// evict removes the least suspected and oldest entry of a full table.
func (p *plugin) evict() {
	if len(p.entries) < p.config.MaxEntries {
		return
	}
	all := p.sortedEntries(func(entry) bool { return true })
	delete(p.entries, all[len(all)-1].suspect.Fingerprint)
}

// sortedEntries returns the entries that f keeps: most endpoints first, then newest.
func (p *plugin) sortedEntries(f func(entry) bool) []entry {
	var list []entry
	for _, e := range slices.Collect(maps.Values(p.entries)) {
		if f(e) {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b entry) int {
		return cmp.Or(
			len(b.suspect.Endpoints)-len(a.suspect.Endpoints),
			b.lastDeath.Compare(a.lastDeath),
			cmp.Compare(a.suspect.Fingerprint, b.suspect.Fingerprint),
		)
	})
	return list
}
