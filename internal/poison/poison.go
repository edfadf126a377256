// Package poison is the kernel's plug-in that finds requests which crash the
// endpoints that run them.
//
// What goes wrong without it: one request crashes its engine, is retried on the
// next and crashes that too, and its caller sends it again to other nodes, until
// no engine is left. One notices endpoints that die one after another while the
// same request runs. Here nodes tell each other which requests ran on an
// endpoint that died; such a request runs at one endpoint of the fleet at a
// time, and after three it runs no more.
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
	// DefaultKeep is how long after the last death a request stays suspected
	// or isolated.
	DefaultKeep = 10 * time.Minute
	// DefaultSpread is how long a change is repeated in heartbeats.
	DefaultSpread = 10 * time.Second
	// DefaultMemory is how many requests are remembered.
	DefaultMemory = 4096
	// DefaultBeat is how many requests one heartbeat carries.
	DefaultBeat = 32
)

type (
	// Died is an endpoint that died while it ran a request.
	Died struct {
		Print    uint64
		Endpoint string
	}

	// Config is the settings of the plug-in. Zero settings take their defaults.
	Config struct {
		Keep   time.Duration
		Spread time.Duration
		Memory int
		Beat   int
	}

	extension struct{ config Config }

	entry struct {
		suspect kernel.Suspicion
		// last is when the last endpoint died, on this node's clock.
		last time.Time
		// learned is when the node last learned of a death.
		learned time.Time
	}

	plugin struct {
		config  Config
		entries map[uint64]entry
	}
)

// Print returns what identifies a request over the whole fleet: a digest of its
// client account and content. It is cryptographic, so that no account can make
// a request that is taken for another's.
func Print(account string, content ...[]byte) uint64 {
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
	c.Keep = cmp.Or(c.Keep, DefaultKeep)
	c.Spread = cmp.Or(c.Spread, DefaultSpread)
	c.Memory = cmp.Or(c.Memory, DefaultMemory)
	c.Beat = cmp.Or(c.Beat, DefaultBeat)
	return extension{config: c}
}

// Extend registers the plug-in.
func (e extension) Extend(k *kernel.Kernel) {
	k.Register(&plugin{config: e.config, entries: map[uint64]entry{}}, kernel.PriorityPoison)
}

// Handle takes deaths that the node saw or was told of.
func (p *plugin) Handle(now time.Time, ev kernel.Event, out *kernel.Output) {
	switch ev := ev.(type) {
	case Died:
		p.merge(now, kernel.Suspicion{Print: ev.Print, Endpoints: []string{ev.Endpoint}}, out)
	case kernel.BeatReceived:
		for _, s := range ev.Beat.Suspects {
			p.merge(now, s, out)
		}
	case kernel.Tick:
		p.expire(now, out)
	}
}

// Publish writes the suspected requests.
func (p *plugin) Publish(_ time.Time, v *kernel.View) {
	if len(p.entries) == 0 {
		return
	}
	v.Suspects = make(map[uint64]kernel.Suspicion, len(p.entries))
	for print, e := range p.entries {
		v.Suspects[print] = e.suspect
	}
}

// Beat tells peers what was learned of late, the most suspected first. Every
// node passes on what it learned, so that the news also crosses nodes that
// exchange no heartbeats with each other.
func (p *plugin) Beat(now time.Time, _ string, b *kernel.Beat) {
	fresh := p.sorted(func(e entry) bool { return now.Sub(e.learned) < p.config.Spread })
	for _, e := range fresh[:min(len(fresh), p.config.Beat)] {
		s := e.suspect
		s.Age = now.Sub(e.last)
		b.Suspects = append(b.Suspects, s)
	}
}

// Dump shows the suspected requests.
func (p *plugin) Dump(now time.Time) (name string, state any) {
	suspects := make(map[string]kernel.Suspicion, len(p.entries))
	for print, e := range p.entries {
		e.suspect.Age = now.Sub(e.last)
		suspects[strconv.FormatUint(print, 16)] = e.suspect
	}
	return "poison", suspects
}

// merge adds what one message tells of a request. The age comes with it, so that
// an entry ends at the same time on all nodes and no two keep reviving it.
func (p *plugin) merge(now time.Time, s kernel.Suspicion, out *kernel.Output) {
	if s.Age < 0 || s.Age >= p.config.Keep || len(s.Endpoints) == 0 {
		return
	}
	e, known := p.entries[s.Print]
	if !known {
		e.suspect.Print = s.Print
		p.makeRoom()
	}
	merged, more := e.suspect.Merge(s.Endpoints)
	if !more {
		return
	}
	e.suspect = merged
	if last := now.Add(-s.Age); last.After(e.last) {
		e.last = last
	}
	e.learned = now
	p.entries[s.Print] = e
	out.Changed()
}

func (p *plugin) expire(now time.Time, out *kernel.Output) {
	for print, e := range p.entries {
		if now.Sub(e.last) >= p.config.Keep {
			delete(p.entries, print)
			out.Changed()
		}
	}
}

// makeRoom evicts the least suspected and oldest entry of a full table.
func (p *plugin) makeRoom() {
	if len(p.entries) < p.config.Memory {
		return
	}
	all := p.sorted(func(entry) bool { return true })
	delete(p.entries, all[len(all)-1].suspect.Print)
}

// sorted returns the entries that f keeps: most endpoints first, then newest.
func (p *plugin) sorted(f func(entry) bool) []entry {
	var list []entry
	for _, e := range slices.Collect(maps.Values(p.entries)) {
		if f(e) {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b entry) int {
		return cmp.Or(
			len(b.suspect.Endpoints)-len(a.suspect.Endpoints),
			b.last.Compare(a.last),
			cmp.Compare(a.suspect.Print, b.suspect.Print),
		)
	})
	return list
}
