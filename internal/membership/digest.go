package membership

import (
	"slices"
	"strings"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

const (
	// digestInterval is how often digests are created. One with changed nodes is
	// sent at once. One in which only loads or demands changed is sent no sooner
	// than cellPause or regionPause after the last. An unchanged one is resent
	// after digestRefresh, but no sooner than that pause.
	digestInterval = time.Second
	cellPause      = 3 * time.Second
	regionPause    = 8 * time.Second
	digestRefresh  = 5 * time.Second
	// markHold is how long a leave notice overrides a digest that does not list
	// the node as absent. After that, the digest is about a new incarnation.
	markHold = 10 * time.Second
	// digestStale is the age from which a cell's digest is out of date, and
	// regionStale that for a region's.
	digestStale = 10 * time.Second
	regionStale = 25 * time.Second
)

type (
	// version identifies a digest and orders those of one origin.
	version struct {
		origin uint64
		serial uint64
	}

	storedDigest struct {
		digest kernel.Digest
		at     time.Time
	}

	// digests holds the newest digest of each scope, including the node's own
	// scopes. createdAt is when digests were last created; meshed is the last
	// result of meshedRegions.
	digests struct {
		stored    map[string]*storedDigest
		serial    uint64
		createdAt time.Time
		meshed    map[string]bool
	}
)

func (s *storedDigest) version() version {
	return version{origin: s.digest.Origin, serial: s.digest.Serial}
}

// stale reports whether the digest of a scope is out of date. A scope without a
// digest is stale too, because no node reports its state.
func (d *digests) stale(now time.Time, scope string) bool {
	s := d.stored[scope]
	if strings.HasPrefix(scope, prefixRegion) {
		return s == nil || now.Sub(s.at) >= regionStale
	}
	return s == nil || now.Sub(s.at) >= digestStale
}

// summarize creates the digests that the node's roles require.
func (p *plugin) summarize(now time.Time) {
	if now.Sub(p.digests.createdAt) < digestInterval {
		return
	}
	p.digests.createdAt = now
	t := p.topology()
	relay := slices.Contains(t.relays[t.cell], p.self.Name)
	gateway := slices.Contains(t.gateways[t.region], p.self.Name)
	if !relay && !gateway {
		return
	}
	cell := p.kernel.Digest(now, t.cell)
	if relay {
		p.digests.store(now, cell, cellPause)
	}
	if gateway {
		p.digests.store(now, p.regionDigest(now, t, cell), regionPause)
	}
}

// regionDigest returns the digest of the node's region: that of its cell merged with
// the current ones of the region's other cells.
func (p *plugin) regionDigest(now time.Time, t *topology, cell kernel.Digest) kernel.Digest {
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

// store stores a digest that the node created, with a new serial, unless the stored
// one is the node's own and not yet due to be replaced.
func (d *digests) store(now time.Time, created kernel.Digest, pause time.Duration) {
	s := d.stored[created.Scope]
	if s != nil && s.digest.Origin == created.Origin && !d.due(now, s, &created, pause) {
		return
	}
	d.serial++
	created.Serial = d.serial
	d.stored[created.Scope] = &storedDigest{digest: created, at: now}
}

func (d *digests) due(now time.Time, s *storedDigest, created *kernel.Digest, pause time.Duration) bool {
	age := now.Sub(s.at)
	switch {
	case age >= max(digestRefresh, pause) || !s.digest.SameInstances(created):
		return true
	default:
		return age >= pause && !s.digest.SimilarTo(created)
	}
}

// receiveDigests applies received digests of other cells and regions.
func (p *plugin) receiveDigests(now time.Time, from *member, list []kernel.Digest, out *kernel.Output) {
	t := p.topology()
	for _, d := range list {
		if d.Scope == t.cell || d.Scope == t.region || d.Origin == p.self.Incarnation {
			continue
		}
		v := version{origin: d.Origin, serial: d.Serial}
		from.digestVersions[d.Scope] = v
		if p.digests.receive(now, d) {
			p.applyDigest(now, d, out)
			out.Raise(kernel.DigestReceived{Digest: d})
		}
	}
}

// receive stores a received digest unless it is redundant, and reports whether it did.
// Two relays report the same cell: while the digest of one is recent, an equivalent
// one of the other is not forwarded again.
func (d *digests) receive(now time.Time, received kernel.Digest) bool {
	s := d.stored[received.Scope]
	if s == nil {
		d.stored[received.Scope] = &storedDigest{digest: received, at: now}
		return true
	}
	if s.digest.Origin == received.Origin && received.Serial <= s.digest.Serial {
		return false
	}
	recent := now.Sub(s.at) < digestRefresh+digestInterval
	if s.digest.Origin != received.Origin && recent && s.digest.SimilarTo(&received) {
		return false
	}
	*s = storedDigest{digest: received, at: now}
	return true
}

// applyDigest applies the node states in a digest.
func (p *plugin) applyDigest(now time.Time, d kernel.Digest, out *kernel.Output) {
	for _, e := range d.Extra {
		if e.Instance.Name == p.self.Name {
			continue
		}
		m := p.member(now, e.Instance.Name)
		m.extraAt = now
		m.describe(e.Instance, p.regions[e.Instance.Zone])
		p.changed(out)
	}
	absent := make(map[string]kernel.State, len(d.Absent))
	for _, a := range d.Absent {
		absent[a.Instance] = a.State
	}
	for name, m := range p.members {
		if p.scopeOf(m) != d.Scope {
			continue
		}
		m.digestState = absent[name]
		if m.leaving && m.digestState == kernel.Live && !m.listLeaving && now.Sub(m.leftAt) >= markHold {
			m.leaving = false
		}
		p.update(now, m, out)
	}
}

// digestsFor returns the digests that this node must send to a member, without
// those that the member has.
func (p *plugin) digestsFor(m *member) []kernel.Digest {
	var list []kernel.Digest
	for _, scope := range p.scopesFor(m) {
		s := p.digests.stored[scope]
		if s == nil || m.digestVersions[scope] == s.version() {
			continue
		}
		m.digestVersions[scope] = s.version()
		list = append(list, s.digest)
	}
	return list
}

// isLeaf reports whether a member is in the node's cell and has no role in which it
// forwards digests.
func (p *plugin) isLeaf(m *member) bool {
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
			return p.outwardScopes(t)
		}
	case rank >= 0 && p.forwardsTo(t, rank, m):
		return p.foreignScopes(t, false)
	case gateway && slices.Contains(t.relays[t.cell], m.node.Name):
		return p.foreignScopes(t, true)
	}
	return nil
}

// forwardsTo reports whether the relay with a rank forwards digests to a member of
// its cell. Other relays always get them; the remaining members are divided among
// the relays, which halves the cost for each.
func (p *plugin) forwardsTo(t *topology, rank int, m *member) bool {
	if slices.Contains(t.relays[t.cell], m.node.Name) {
		return true
	}
	share := kernel.Score("share", m.node.Name) % uint64(len(t.relays[t.cell]))
	return int(share) == rank
}

// outwardScopes returns the scopes that relays report to other cells of the region:
// their own cell, and the other regions if one of the region's gateways is in the
// cell.
func (p *plugin) outwardScopes(t *topology) []string {
	scopes := []string{t.cell}
	for _, name := range t.gateways[t.region] {
		if m := p.members[name]; name == p.self.Name || m != nil && t.cellOf(m.node) == t.cell {
			return append(scopes, p.foreignScopes(t, true)...)
		}
	}
	return scopes
}

// foreignScopes returns the scopes outside the node's cell, or with regions set only
// those outside its region.
func (p *plugin) foreignScopes(t *topology, regions bool) []string {
	var scopes []string
	for scope := range p.digests.stored {
		_, isCell := t.relays[scope]
		if scope != t.cell && scope != t.region && !(regions && isCell) {
			scopes = append(scopes, scope)
		}
	}
	slices.Sort(scopes)
	return scopes
}
