package relay

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// Sums are the loads of all other nodes.
type Sums struct {
	// Loads, PendingPrefill and Failures are the sums over the other covered nodes.
	Loads          map[uint32]int
	PendingPrefill map[uint32]int
	Failures       map[uint32]int
	// Covered are the nodes included in the sums.
	Covered map[ID]bool
	// Age is the mean age of the loads, and Oldest the highest.
	Age    time.Duration
	Oldest time.Duration
}

// Covers reports whether a node is included in the sums. Nil sums include none.
func (s *Sums) Covers(id ID) bool { return s != nil && s.Covered[id] }

// Fleet returns the newest summary of the fleet, nil if there is no valid one.
func (n *Node) Fleet(now time.Time) *Summary {
	if n.fleet == nil || now.Sub(n.fleetAt) > n.timing.Valid {
		return nil
	}
	if n.fleet.Shards > 0 {
		return n.fleetShards.summary(now, n.timing.Valid)
	}
	return n.fleet
}

// Sums returns the sums of the newest summary without this node's own loads, nil
// if there is no valid one.
func (n *Node) Sums(now time.Time) *Sums {
	fleet := n.Fleet(now)
	if fleet == nil {
		return nil
	}
	since := now.Sub(n.fleetAt)
	s := &Sums{
		Loads: copied(fleet.Loads), PendingPrefill: copied(fleet.PendingPrefill), Failures: copied(fleet.Failures),
		Covered: map[ID]bool{}, Age: fleet.Age + since, Oldest: fleet.Oldest + since,
	}
	fleet.Covered.Each(func(_ int, id ID) { s.Covered[id] = true })
	if !s.Covered[n.config.ID] {
		return s
	}
	i := slices.IndexFunc(n.ownReports, func(r Report) bool { return r.Sequence == n.ownSequence })
	if i < 0 {
		return nil
	}
	subtract(s.Loads, n.ownReports[i].Loads)
	subtract(s.PendingPrefill, n.ownReports[i].PendingPrefill)
	subtract(s.Failures, n.ownReports[i].Failures)
	return s
}

// zoneSummary returns the summary of the reports that the node has received. Only
// the first relays of the zone report losses: the others lose their followers to
// these.
func (n *Node) zoneSummary(now time.Time, peers []Peer, own Report, first bool) *Summary {
	s := &Summary{
		ID: n.config.ID, Zone: n.config.Zone, Sequence: n.sequence,
		Loads: map[uint32]int{}, PendingPrefill: map[uint32]int{}, Failures: map[uint32]int{}, Updates: n.toRelays.take(now, n.seen),
	}
	var ages time.Duration
	add := func(r *Report, age time.Duration) {
		s.Covered, s.Statuses = s.Covered.Add(r.ID), append(s.Statuses, byte(r.Status))
		add(s.Loads, r.Loads)
		add(s.PendingPrefill, r.PendingPrefill)
		add(s.Failures, r.Failures)
		ages += age
		s.Oldest = max(s.Oldest, age)
		s.addPosition(r.Position, IDs(nil).Add(r.ID))
	}
	add(&own, 0)
	for _, f := range n.rotatedFollowers() {
		add(&f.report, now.Sub(f.lastSeen))
	}
	s.Age = ages / time.Duration(s.Covered.Len())
	if !first {
		clear(n.lost)
		return s
	}
	n.markSilent(now, peers)
	for _, id := range slices.Sorted(maps.Keys(n.lost)) {
		s.Lost = s.Lost.Add(id)
	}
	return s
}

// rotatedFollowers returns the followers, beginning with another one in each summary,
// as only the first that are up to date are named: nodes that lack items then do
// not all ask the same few.
func (n *Node) rotatedFollowers() []*follower {
	list := sorted(n.followers)
	if len(list) == 0 {
		return nil
	}
	first := int(n.sequence*maxUpToDate) % len(list)
	return append(list[first:], list[:first]...)
}

// markSilent marks as lost the nodes of the zone that count as alive but have not
// reported to this relay, although it has been one for some time.
//
// If both relays of a zone die together with other nodes, these have never
// reported to the new relays. Without this, callers would be sent to the dead
// nodes for as long as the timeout of broadcast heartbeats.
func (n *Node) markSilent(now time.Time, peers []Peer) {
	if n.relaySince.IsZero() || now.Sub(n.relaySince) < n.timing.Settle {
		return
	}
	for _, p := range peers {
		_, follows := n.followers[p.ID]
		if _, lost := n.lost[p.ID]; follows || lost || p.Zone != n.config.Zone || p.Power == 0 ||
			now.Sub(p.FirstSeen) < n.timing.Settle || now.Sub(p.LastSeen) < n.timing.Lost {
			continue
		}
		n.lost[p.ID] = now
	}
}

// markZonesLost marks as lost the nodes of zones of which no relay has been heard
// from for some time, though one was before.
func (n *Node) markZonesLost(now time.Time, peers []Peer) {
	for _, p := range peers {
		c := n.zoneContacts[p.Zone]
		if c == nil || c.lastSeen.IsZero() || p.Zone == n.config.Zone || now.Sub(c.lastSeen) <= n.timing.ZoneLost || now.Sub(p.LastSeen) <= n.timing.Lost {
			continue
		}
		n.zoneLost[p.ID] = now
	}
}

// fleetSummary returns the summary of the fleet: the node's own of its zone, and
// for each other zone the one that covers the most nodes.
func (n *Node) fleetSummary(now time.Time, peers []Peer, own *Summary) *Summary {
	best := map[string]*part{}
	lost, covered := map[ID]bool{}, map[ID]bool{}
	note := func(s *Summary) {
		s.Lost.Each(func(_ int, id ID) { lost[id] = true })
		s.Covered.Each(func(_ int, id ID) { covered[id] = true })
	}
	note(own)
	n.markZonesLost(now, peers)
	for id := range n.zoneLost {
		lost[id] = true
	}
	for _, p := range sorted(n.parts) {
		p.summary = p.shards.summary(now, n.timing.Valid)
		note(p.summary)
		if b := best[p.summary.Zone]; p.summary.Zone != own.Zone && (b == nil || p.before(b)) {
			best[p.summary.Zone] = p
		}
	}
	fleet := *own
	fleet.Fleet, fleet.Lost, fleet.Updates = true, nil, n.toFollowers.take(now, n.seen)
	fleet.Loads, fleet.PendingPrefill, fleet.Failures = copied(own.Loads), copied(own.PendingPrefill), copied(own.Failures)
	fleet.Covered, fleet.Statuses = slices.Clone(own.Covered), slices.Clone(own.Statuses)
	ages := own.Age * time.Duration(own.Covered.Len())
	for _, zone := range slices.Sorted(maps.Keys(best)) {
		p := best[zone]
		ages += p.addTo(now, &fleet)
	}
	fleet.Age = ages / time.Duration(fleet.Covered.Len())
	for _, id := range slices.Sorted(maps.Keys(lost)) {
		if !covered[id] {
			fleet.Lost = fleet.Lost.Add(id)
		}
	}
	return &fleet
}

// before reports whether a part is preferred to another of the same zone: it
// covers more nodes, or its relay comes first.
func (p *part) before(o *part) bool {
	return cmp.Or(cmp.Compare(o.summary.Covered.Len(), p.summary.Covered.Len()), cmp.Compare(rank(p.summary.ID), rank(o.summary.ID))) < 0
}

// addTo adds a part to the summary of the fleet, and returns the sum of the ages
// of the loads that it covers.
func (p *part) addTo(now time.Time, fleet *Summary) time.Duration {
	since := now.Sub(p.receivedAt)
	fleet.Covered, fleet.Statuses = append(fleet.Covered, p.summary.Covered...), append(fleet.Statuses, p.summary.Statuses...)
	add(fleet.Loads, p.summary.Loads)
	add(fleet.PendingPrefill, p.summary.PendingPrefill)
	add(fleet.Failures, p.summary.Failures)
	fleet.Oldest = max(fleet.Oldest, p.summary.Oldest+since)
	fleet.addPosition(p.summary.Position(), p.summary.UpToDate)
	return (p.summary.Age + since) * time.Duration(p.summary.Covered.Len())
}

// addPosition records that some nodes are up to date with a store position.
func (s *Summary) addPosition(at deployment.Position, ids IDs) {
	switch c := at.Compare(s.Position()); {
	case c > 0:
		s.Epoch, s.Revision, s.UpToDate = at.Epoch, at.Revision, slices.Clone(ids)
	case c == 0 && s.UpToDate.Len() < maxUpToDate:
		s.UpToDate = append(s.UpToDate, ids[:min(len(ids), (maxUpToDate-s.UpToDate.Len())*idBytes)]...)
	}
}

// copied returns a copy that can be added to even if from is nil: messages omit
// empty maps.
func copied(from map[uint32]int) map[uint32]int {
	to := make(map[uint32]int, len(from))
	maps.Copy(to, from)
	return to
}

func add(to, from map[uint32]int) {
	for key, n := range from {
		to[key] += n
	}
}

func subtract(to, from map[uint32]int) {
	for key, n := range from {
		if to[key] -= n; to[key] <= 0 {
			delete(to, key)
		}
	}
}
