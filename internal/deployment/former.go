package deployment

import (
	"time"

	"bulrushhinge.example/bulrushhinge/internal/decision"
)

// settleTime is how long a restored store may lack what it was told before: the
// entries of endpoints that are gone lapse again, and operators and endpoints
// write again what was lost.
const settleTime = 10 * time.Second

// former is an item of an earlier epoch that still holds, though the present one
// does not have it.
type former struct {
	item Item
	// born is which start of an endpoint drains; zero for any.
	born time.Time
	// until is when it holds no longer; zero for as long as the endpoint is known.
	until time.Time
}

// enter begins an epoch with a reading of everything in it.
//
// The store was restored from a copy: it lacks the last changes, and gives their
// revisions out again. What is known therefore counts by what it says: a
// configuration by its version, an endpoint that drains as draining, and one that
// was gone as gone until its entry is written again or the store has settled.
func (s *State) enter(b *book, u Update, now time.Time) {
	present := make(map[string]Item, len(u.Items))
	for _, item := range u.Items {
		present[item.Key] = item
	}
	s.settle(b, b.settlesIn(u), now)
	b.extend()
	if !b.position.IsZero() {
		s.config.Log.Event("epoch", decision.Fields{
			"epoch": u.Epoch, "before": b.position.Epoch, "revision": u.Revision, "known": b.position.Revision, "items": len(u.Items), "source": u.Source,
		})
	}
	known := b.items
	b.items = make(map[string]Item, len(u.Items))
	b.position, b.since, b.opened = Position{Epoch: u.Epoch}, 0, u.Revision
	for key, old := range known {
		item, there := present[key]
		if there && old.same(item) {
			b.items[key] = old
			continue
		}
		if kept := s.carry(b, old, there); !there && !kept {
			// Any change of this epoch is newer.
			old.Revision = 0
			b.items[key] = old
		}
	}
}

// settle notes for how much longer the store may lack what it was told before.
func (s *State) settle(b *book, rest time.Duration, now time.Time) {
	if until := now.Add(rest); until.After(b.settled) {
		b.settled = until
		s.settling.Store(int64(time.Since(s.start) + rest))
	}
}

// settlesIn returns how long the store settles after the beginning of an epoch: a
// peer tells the rest, so that not each node counts anew.
func (b *book) settlesIn(u Update) time.Duration {
	if u.Source == SourceStore && !b.position.IsZero() {
		return settleTime
	}
	return u.Settling
}

// extend makes what is carried hold on through one more epoch.
func (b *book) extend() {
	for _, list := range []map[string]former{b.leaving, b.kept} {
		for name, f := range list {
			if !f.until.IsZero() {
				f.until = b.settled
				list[name] = f
			}
		}
	}
}

// carry keeps what an item of the epoch before still says, and reports whether that
// is an evacuation which the new epoch lacks.
func (s *State) carry(b *book, item Item, there bool) bool {
	change, err := s.config.Decoder.Decode(item)
	if err != nil {
		return false
	}
	switch {
	case change.Endpoint != nil && change.Endpoint.Draining:
		s.withhold(b, change.Endpoint.ID, former{item: item, born: change.Endpoint.Born})
	case change.Removed != "" && there:
		s.withhold(b, change.Removed, former{item: item, until: b.settled})
	case change.Evacuation != nil && !change.Evacuation.Ended && !there:
		b.kept[change.Evacuation.Zone] = former{item: item, until: b.settled}
		s.config.Log.Event("evacuation.kept", decision.Fields{"zone": change.Evacuation.Zone, "epoch": b.position.Epoch})
		return true
	}
	return false
}

// withhold keeps an endpoint from getting requests, whatever its entry says.
func (s *State) withhold(b *book, id string, f former) {
	b.leaving[id] = f
	s.config.Log.Event("endpoint.withheld", decision.Fields{"endpoint": id, "epoch": b.position.Epoch, "gone": f.item.Removed})
}

// leaves reports whether an endpoint leaves though its entry does not say so: it has
// said so itself, or it drained or was gone in an earlier epoch and that still holds.
func (b *book) leaves(e *Endpoint) bool {
	if _, ok := b.announced[e.Start()]; ok {
		return true
	}
	f, ok := b.leaving[e.ID]
	return ok && (f.born.IsZero() || f.born.Equal(e.Born))
}

// written notes that an endpoint's entry was written in this epoch: one that was
// gone has come back.
func (b *book) written(id string, item Item) {
	if f, ok := b.leaving[id]; ok && f.item.Removed && item.Revision > b.opened {
		delete(b.leaving, id)
	}
}

// recall takes what a peer knows of earlier epochs, and reports whether that
// changes anything.
func (s *State) recall(b *book, u Update, now time.Time) bool {
	changed := false
	for _, item := range u.Former {
		change, err := s.config.Decoder.Decode(item)
		if err != nil {
			continue
		}
		changed = s.recallOne(b, u, item, change, now) || changed
	}
	return changed
}

func (s *State) recallOne(b *book, u Update, item Item, change Change, now time.Time) bool {
	switch {
	case change.Config != nil:
		return s.takeConfig(b, change.Config, item, u)
	case change.Endpoint != nil && change.Endpoint.Draining:
		if _, known := b.leaving[change.Endpoint.ID]; known {
			return false
		}
		s.withhold(b, change.Endpoint.ID, former{item: item, born: change.Endpoint.Born})
		return true
	case change.Removed != "":
		return s.recallRemoval(b, u, change.Removed, item, now)
	case change.Evacuation != nil && !change.Evacuation.Ended:
		return s.recallEvacuation(b, u, change.Evacuation.Zone, item, now)
	}
	return false
}

// recallRemoval takes a peer's word that an endpoint was gone, whose entry is there
// since the epoch began.
func (s *State) recallRemoval(b *book, u Update, id string, item Item, now time.Time) bool {
	entry, there := b.items[item.Key]
	_, known := b.leaving[id]
	if known || !there || entry.Removed || entry.Revision > b.opened || !s.unsettled(b, u, now) {
		return false
	}
	s.withhold(b, id, former{item: item, until: b.settled})
	return true
}

// recallEvacuation takes a peer's word that a zone was evacuated, of which nothing
// was said since the epoch began.
func (s *State) recallEvacuation(b *book, u Update, zone string, item Item, now time.Time) bool {
	word, there := b.items[item.Key]
	_, known := b.evacuated[zone]
	if known || there && word.Revision > b.opened || !s.unsettled(b, u, now) {
		return false
	}
	b.evacuated[zone] = Evacuated{Position: Position{Revision: item.Revision}, Since: now, Source: u.Source}
	b.kept[zone] = former{item: item, until: b.settled}
	return true
}

// unsettled reports whether a peer of the same epoch says that the store may still
// lack something, and notes for how long.
func (s *State) unsettled(b *book, u Update, now time.Time) bool {
	if u.Epoch != b.position.Epoch || u.Settling <= 0 {
		return false
	}
	s.settle(b, u.Settling, now)
	return true
}

// release ends what holds no longer of earlier epochs, and reports whether that
// changes anything.
func (s *State) release(b *book, now time.Time) bool {
	changed := false
	for id, f := range b.leaving {
		_, there := b.endpoints[id]
		over := !f.until.IsZero() && !now.Before(f.until)
		if !over && (there || now.Before(b.settled)) {
			continue
		}
		delete(b.leaving, id)
		changed = true
		s.config.Log.Event("endpoint.released", decision.Fields{"endpoint": id, "known": there})
	}
	for zone, f := range b.kept {
		if now.Before(f.until) {
			continue
		}
		delete(b.kept, zone)
		delete(b.evacuated, zone)
		b.restore(zone, b.position, now)
		changed = true
		s.config.Log.Event("evacuation.ended", decision.Fields{"zone": zone, "epoch": b.position.Epoch, "revision": b.position.Revision, "kept": true})
	}
	return changed
}

// formers returns the items of earlier epochs that still hold.
func (b *book) formers() (list []Item) {
	for _, of := range []map[string]former{b.leaving, b.kept} {
		for _, f := range of {
			list = append(list, f.item)
		}
	}
	if item, ok := b.items[b.inForce.Key]; b.inForce.Key != "" && (!ok || !item.same(b.inForce)) {
		list = append(list, b.inForce)
	}
	return list
}
