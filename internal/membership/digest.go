package membership

import (
	"slices"
	"strings"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

const (
	// digestInterval is how often a digest is made. One that tells of nodes
	// anew is sent at once, one that tells of loads and demands only waits for
	// cellPause or regionPause, and one that has not changed is sent all the
	// same after digestRefresh.
	digestInterval = time.Second
	cellPause      = 2 * time.Second
	regionPause    = 8 * time.Second
	digestRefresh  = 5 * time.Second
	// markHold is how long a leave mark outweighs a digest that does not name
	// the node; later the digest speaks of a new incarnation.
	markHold = 10 * time.Second
	// digestStale is the age from which a cell's digest says nothing of the
	// present, regionStale that of a region's.
	digestStale = 10 * time.Second
	regionStale = 25 * time.Second
)

type (
	// version orders the digests of one origin.
	version struct {
		origin uint64
		serial uint64
	}

	stored struct {
		digest kernel.Digest
		at     time.Time
	}

	// digests is the newest digest of each scope, the node's own included.
	digests struct {
		stored map[string]*stored
		serial uint64
		made   time.Time
		meshed map[string]bool
	}
)

func (s *stored) version() version {
	return version{origin: s.digest.Origin, serial: s.digest.Serial}
}

// stale reports whether a scope was told of too long ago. A scope that was
// never told of is stale too: nobody speaks for it.
func (d *digests) stale(now time.Time, scope string) bool {
	s := d.stored[scope]
	if strings.HasPrefix(scope, prefixRegion) {
		return s == nil || now.Sub(s.at) >= regionStale
	}
	return s == nil || now.Sub(s.at) >= digestStale
}

// summarize makes the digests that the node's roles ask for.
func (p *plugin) summarize(now time.Time) {
	if now.Sub(p.digests.made) < digestInterval {
		return
	}
	p.digests.made = now
	t := p.topology()
	relay := slices.Contains(t.relays[t.cell], p.self.Name)
	gateway := slices.Contains(t.gateways[t.region], p.self.Name)
	if !relay && !gateway {
		return
	}
	cell := p.kernel.Digest(now, t.cell)
	if relay {
		p.digests.keep(now, cell, cellPause)
	}
	if gateway {
		p.digests.keep(now, p.regional(now, t, cell), regionPause)
	}
}

// regional returns the digest of the node's region.
func (p *plugin) regional(now time.Time, t *topology, cell kernel.Digest) kernel.Digest {
	d := cell
	d.Scope = t.region
	d.Sums = slices.Clone(d.Sums)
	scopes := make([]string, 0, len(t.relays))
	for scope := range t.relays {
		scopes = append(scopes, scope)
	}
	slices.Sort(scopes)
	for _, scope := range scopes {
		if scope != t.cell && !p.digests.stale(now, scope) {
			d.Merge(p.digests.stored[scope].digest)
		}
	}
	return d
}

// keep stores a digest that the node made, under a new number where it differs
// from the last or that one is due again.
func (d *digests) keep(now time.Time, made kernel.Digest, pause time.Duration) {
	s := d.stored[made.Scope]
	if s != nil && s.digest.Origin == made.Origin && !d.due(now, s, &made, pause) {
		return
	}
	d.serial++
	made.Serial = d.serial
	d.stored[made.Scope] = &stored{digest: made, at: now}
}

func (d *digests) due(now time.Time, s *stored, made *kernel.Digest, pause time.Duration) bool {
	age := now.Sub(s.at)
	switch {
	case age >= max(digestRefresh, pause) || !s.digest.SameNodes(made):
		return true
	default:
		return age >= pause && !s.digest.Near(made)
	}
}

// takeDigests stores digests of other cells and regions.
func (p *plugin) takeDigests(now time.Time, from *member, list []kernel.Digest, out *kernel.Output) {
	t := p.topology()
	for _, d := range list {
		if d.Scope == t.cell || d.Scope == t.region || d.Origin == p.self.Incarnation {
			continue
		}
		v := version{origin: d.Origin, serial: d.Serial}
		from.told[d.Scope] = v
		if p.digests.take(now, d) {
			p.applyDigest(now, d, out)
			out.Raise(kernel.Digested{Digest: d})
		}
	}
}

// take stores a digest and reports whether it is news. Two relays tell of the
// same cell: while one's digest is recent, the other's that says the same is
// not passed on a second time.
func (d *digests) take(now time.Time, got kernel.Digest) bool {
	s := d.stored[got.Scope]
	if s == nil {
		d.stored[got.Scope] = &stored{digest: got, at: now}
		return true
	}
	if s.digest.Origin == got.Origin && got.Serial <= s.digest.Serial {
		return false
	}
	recent := now.Sub(s.at) < digestRefresh+digestInterval
	if s.digest.Origin != got.Origin && recent && s.digest.Near(&got) {
		return false
	}
	*s = stored{digest: got, at: now}
	return true
}

// applyDigest takes over the states of the nodes that a digest tells of.
func (p *plugin) applyDigest(now time.Time, d kernel.Digest, out *kernel.Output) {
	for _, e := range d.Extra {
		if e.Instance.Name == p.self.Name {
			continue
		}
		m := p.member(now, e.Instance.Name)
		m.extra = now
		m.describe(e.Instance, p.regions[e.Instance.Zone])
		p.changed(out)
	}
	absent := make(map[string]kernel.State, len(d.Absent))
	for _, a := range d.Absent {
		absent[a.Instance] = a.State
	}
	for name, m := range p.members {
		if p.scope(m) != d.Scope {
			continue
		}
		m.absent = absent[name]
		if m.leaving && m.absent == kernel.Live && !m.listLeaving && now.Sub(m.left) >= markHold {
			m.leaving = false
		}
		p.update(now, m, out)
	}
}

// digestsFor returns the digests that a member needs of the node and was not
// sent yet.
func (p *plugin) digestsFor(m *member) []kernel.Digest {
	var list []kernel.Digest
	for _, scope := range p.scopesFor(m) {
		s := p.digests.stored[scope]
		if s == nil || m.told[scope] == s.version() {
			continue
		}
		m.told[scope] = s.version()
		list = append(list, s.digest)
	}
	return list
}

// ends reports whether a member of the cell has no role in which it passes
// digests on.
func (p *plugin) ends(m *member) bool {
	t := p.topology()
	return t.cellOf(m.node) == t.cell && !slices.Contains(t.relays[t.cell], m.node.Name) &&
		!slices.Contains(t.gateways[t.region], m.node.Name)
}

func (p *plugin) scopesFor(m *member) []string {
	t := p.topology()
	rank := slices.Index(t.relays[t.cell], p.self.Name)
	gateway := slices.Contains(t.gateways[t.region], p.self.Name)
	switch {
	case m.node.Region != p.self.Region:
		if gateway {
			return []string{t.region}
		}
	case t.cellOf(m.node) != t.cell:
		if rank >= 0 {
			return p.outward(t)
		}
	case rank >= 0 && p.serves(t, rank, m):
		return p.foreign(t, false)
	case gateway && slices.Contains(t.relays[t.cell], m.node.Name):
		return p.foreign(t, true)
	}
	return nil
}

// serves reports whether the relay of a rank passes digests on to a member of
// its cell: the relays share the members, so that each costs the half.
func (p *plugin) serves(t *topology, rank int, m *member) bool {
	if slices.Contains(t.relays[t.cell], m.node.Name) {
		return true
	}
	share := kernel.Score("share", m.node.Name) % uint64(len(t.relays[t.cell]))
	return int(share) == rank
}

// outward returns what relays tell other cells of the region: their own cell,
// and the other regions where one of the region's gateways is of the cell.
func (p *plugin) outward(t *topology) []string {
	scopes := []string{t.cell}
	for _, name := range t.gateways[t.region] {
		if m := p.members[name]; name == p.self.Name || m != nil && t.cellOf(m.node) == t.cell {
			return append(scopes, p.foreign(t, true)...)
		}
	}
	return scopes
}

// foreign returns the scopes outside the node's cell, or outside its region.
func (p *plugin) foreign(t *topology, regions bool) []string {
	var scopes []string
	for scope := range p.digests.stored {
		_, cell := t.relays[scope]
		if scope != t.cell && scope != t.region && !(regions && cell) {
			scopes = append(scopes, scope)
		}
	}
	slices.Sort(scopes)
	return scopes
}
