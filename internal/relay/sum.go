package relay

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// Sums are what a node believes of all others.
type Sums struct {
	// Loads, Reading and Failures are the sums over the other nodes covered.
	Loads    map[uint32]int
	Reading  map[uint32]int
	Failures map[uint32]int
	// Covered are the nodes that are in the sums.
	Covered map[ID]bool
	// Age is how old the loads are on the mean, and Oldest at most.
	Age    time.Duration
	Oldest time.Duration
}

// Covers reports whether a node is in the sums; none is in those that are not
// there.
func (s *Sums) Covers(id ID) bool { return s != nil && s.Covered[id] }

// Whole returns the newest summary of the fleet, nil if there is none that
// counts.
func (n *Node) Whole(now time.Time) *Summary {
	if n.whole == nil || now.Sub(n.wholeAt) > partFor {
		return nil
	}
	return n.whole
}

// Sums returns what the other nodes are doing by the newest summary, nil if
// there is none that counts.
func (n *Node) Sums(now time.Time) *Sums {
	w := n.Whole(now)
	if w == nil {
		return nil
	}
	since := now.Sub(n.wholeAt)
	s := &Sums{
		Loads: copied(w.Loads), Reading: copied(w.Reading), Failures: copied(w.Failures),
		Covered: map[ID]bool{}, Age: w.Age + since, Oldest: w.Oldest + since,
	}
	w.Covered.Each(func(_ int, id ID) { s.Covered[id] = true })
	if !s.Covered[n.config.ID] {
		return s
	}
	i := slices.IndexFunc(n.reports, func(r Report) bool { return r.Sequence == n.told })
	if i < 0 {
		return nil
	}
	subtract(s.Loads, n.reports[i].Loads)
	subtract(s.Reading, n.reports[i].Reading)
	subtract(s.Failures, n.reports[i].Failures)
	return s
}

// sum returns what the node knows of its zone first hand. Only one of the first
// relays of the zone tells of losses: others lose their followers to these.
func (n *Node) sum(now time.Time, peers []Peer, own Report, first bool) *Summary {
	s := &Summary{
		ID: n.config.ID, Zone: n.config.Zone, Sequence: n.sequence,
		Loads: map[uint32]int{}, Reading: map[uint32]int{}, Failures: map[uint32]int{}, News: n.toRelays.take(),
	}
	var ages time.Duration
	add := func(r *Report, age time.Duration) {
		s.Covered, s.Marks = s.Covered.Add(r.ID), append(s.Marks, byte(r.Mark))
		add(s.Loads, r.Loads)
		add(s.Reading, r.Reading)
		add(s.Failures, r.Failures)
		ages += age
		s.Oldest = max(s.Oldest, age)
		s.informed(r.Position, IDs(nil).Add(r.ID))
	}
	add(&own, 0)
	for _, f := range sorted(n.followers) {
		add(&f.report, now.Sub(f.heard))
	}
	s.Age = ages / time.Duration(s.Covered.Len())
	if !first {
		clear(n.lost)
		return s
	}
	n.silent(now, peers)
	for _, id := range slices.Sorted(maps.Keys(n.lost)) {
		s.Lost = s.Lost.Add(id)
	}
	return s
}

// silent notes the nodes of the zone that live, as far as is known, but have not
// found this relay though it has been one for some time.
//
// Where both relays of a zone die together with others, those have never reported
// to the new ones. Callers would be sent to the dead for as long as heartbeats to
// all take.
func (n *Node) silent(now time.Time, peers []Peer) {
	if n.since.IsZero() || now.Sub(n.since) < settle {
		return
	}
	for _, p := range peers {
		_, follows := n.followers[p.ID]
		if _, told := n.lost[p.ID]; follows || told || p.Zone != n.config.Zone || p.Power == 0 ||
			now.Sub(p.First) < settle || now.Sub(p.Heard) < lostAfter {
			continue
		}
		n.lost[p.ID] = now
	}
}

// miss notes the nodes of zones of which no relay has been heard for some time,
// though one was before.
func (n *Node) miss(now time.Time, peers []Peer) {
	for _, p := range peers {
		c := n.zones[p.Zone]
		if c == nil || c.spoke.IsZero() || p.Zone == n.config.Zone || now.Sub(c.spoke) <= zoneAfter || now.Sub(p.Heard) <= lostAfter {
			continue
		}
		n.unheard[p.ID] = now
	}
}

// compose returns the summary of the fleet: the node's own of its zone, and of
// each other zone the one that covers the most.
func (n *Node) compose(now time.Time, peers []Peer, own *Summary) *Summary {
	best := map[string]*part{}
	lost, covered := map[ID]bool{}, map[ID]bool{}
	note := func(s *Summary) {
		s.Lost.Each(func(_ int, id ID) { lost[id] = true })
		s.Covered.Each(func(_ int, id ID) { covered[id] = true })
	}
	note(own)
	n.miss(now, peers)
	for id := range n.unheard {
		lost[id] = true
	}
	for _, p := range sorted(n.parts) {
		note(p.summary)
		if b := best[p.summary.Zone]; p.summary.Zone != own.Zone && (b == nil || p.before(b)) {
			best[p.summary.Zone] = p
		}
	}
	w := *own
	w.Whole, w.Lost, w.News = true, nil, n.toFollowers.take()
	w.Loads, w.Reading, w.Failures = copied(own.Loads), copied(own.Reading), copied(own.Failures)
	w.Covered, w.Marks = slices.Clone(own.Covered), slices.Clone(own.Marks)
	ages := own.Age * time.Duration(own.Covered.Len())
	for _, zone := range slices.Sorted(maps.Keys(best)) {
		p := best[zone]
		ages += p.join(now, &w)
	}
	w.Age = ages / time.Duration(w.Covered.Len())
	for _, id := range slices.Sorted(maps.Keys(lost)) {
		if !covered[id] {
			w.Lost = w.Lost.Add(id)
		}
	}
	return &w
}

// before reports whether a part is preferred to another of the same zone: it
// covers more nodes, or is of the relay that comes first.
func (p *part) before(o *part) bool {
	return cmp.Or(cmp.Compare(o.summary.Covered.Len(), p.summary.Covered.Len()), cmp.Compare(rank(p.summary.ID), rank(o.summary.ID))) < 0
}

// join adds a part to the summary of the fleet, and returns the sum of the ages
// of what it covers.
func (p *part) join(now time.Time, w *Summary) time.Duration {
	since := now.Sub(p.at)
	w.Covered, w.Marks = append(w.Covered, p.summary.Covered...), append(w.Marks, p.summary.Marks...)
	add(w.Loads, p.summary.Loads)
	add(w.Reading, p.summary.Reading)
	add(w.Failures, p.summary.Failures)
	w.Oldest = max(w.Oldest, p.summary.Oldest+since)
	w.informed(p.summary.Position(), p.summary.Informed)
	return (p.summary.Age + since) * time.Duration(p.summary.Covered.Len())
}

// informed notes that some nodes know all up to a position of the store.
func (s *Summary) informed(at deployment.Position, who IDs) {
	switch c := at.Compare(s.Position()); {
	case c > 0:
		s.Epoch, s.Revision, s.Informed = at.Epoch, at.Revision, slices.Clone(who)
	case c == 0 && s.Informed.Len() < informedTold:
		s.Informed = append(s.Informed, who[:min(len(who), (informedTold-s.Informed.Len())*idBytes)]...)
	}
}

// copied returns a copy that something can be added to, also where there is
// nothing: maps without entries are left out of messages.
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
