package deployment

import (
	"time"

	"bulrushhinge.example/bulrushhinge/internal/decision"
)

// settleTime is how long a restored store may be incomplete: the entries of removed
// endpoints lapse again, and operators and endpoints rewrite what was lost.
const settleTime = 10 * time.Second

// carriedItem is an item of an earlier epoch that still applies, though the current
// epoch does not have it.
type carriedItem struct {
	item Item
	// born is the start time of the draining endpoint; zero for any start.
	born time.Time
	// until is when it expires; zero for as long as the endpoint is known.
	until time.Time
}

// enterEpoch begins an epoch with a full read.
//
// The store was restored from a copy: it lacks the last changes, and reuses their
// revisions. Known items are therefore compared by content: a configuration by its
// version, a draining endpoint remains draining, and a removed one remains removed
// until its entry is written again or the store has settled.
func (s *State) enterEpoch(b *builder, u Update, now time.Time) {
	present := make(map[string]Item, len(u.Items))
	for _, item := range u.Items {
		present[item.Key] = item
	}
	s.settle(b, b.settleTimeAfter(u), now)
	b.extendCarried()
	if !b.position.IsZero() {
		s.config.Log.Event("epoch", decision.Fields{
			"epoch": u.Epoch, "before": b.position.Epoch, "revision": u.Revision, "known": b.position.Revision, "items": len(u.Items), "source": u.Source,
		})
	}
	known := b.items
	b.items = make(map[string]Item, len(u.Items))
	b.position, b.since, b.epochStart = Position{Epoch: u.Epoch}, 0, u.Revision
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

// settle records for how much longer the store may be incomplete.
func (s *State) settle(b *builder, rest time.Duration, now time.Time) {
	if until := now.Add(rest); until.After(b.settled) {
		b.settled = until
		s.settling.Store(int64(time.Since(s.start) + rest))
	}
}

// settleTimeAfter returns how long the store may be incomplete after an epoch
// begins with u. A peer sends its remaining time, so that not every node starts the
// time anew.
func (b *builder) settleTimeAfter(u Update) time.Duration {
	if u.Source == SourceStore && !b.position.IsZero() {
		return settleTime
	}
	return u.Settling
}

// extendCarried keeps carried items through one more epoch.
func (b *builder) extendCarried() {
	for _, list := range []map[string]carriedItem{b.withheld, b.keptEvacuations} {
		for name, f := range list {
			if !f.until.IsZero() {
				f.until = b.settled
				list[name] = f
			}
		}
	}
}

// carry keeps what an item of the previous epoch still implies, and reports whether
// that is an evacuation which the new epoch lacks.
func (s *State) carry(b *builder, item Item, there bool) bool {
	change, err := s.config.Decoder.Decode(item)
	if err != nil {
		return false
	}
	switch {
	case change.Endpoint != nil && change.Endpoint.Draining:
		s.withhold(b, change.Endpoint.ID, carriedItem{item: item, born: change.Endpoint.Born})
	case change.Removed != "" && there:
		s.withhold(b, change.Removed, carriedItem{item: item, until: b.settled})
	case change.Evacuation != nil && !change.Evacuation.Ended && !there:
		b.keptEvacuations[change.Evacuation.Zone] = carriedItem{item: item, until: b.settled}
		s.config.Log.Event("evacuation.kept", decision.Fields{"zone": change.Evacuation.Zone, "epoch": b.position.Epoch})
		return true
	}
	return false
}

// withhold keeps requests from an endpoint, whatever its entry says.
func (s *State) withhold(b *builder, id string, f carriedItem) {
	b.withheld[id] = f
	s.config.Log.Event("endpoint.withheld", decision.Fields{"endpoint": id, "epoch": b.position.Epoch, "gone": f.item.Removed})
}

// isLeaving reports whether an endpoint is leaving though its entry does not say
// so: it has announced its leave, or it was draining or removed in an earlier epoch
// and that still applies.
func (b *builder) isLeaving(e *Endpoint) bool {
	if _, ok := b.leaveNotices[e.Start()]; ok {
		return true
	}
	f, ok := b.withheld[e.ID]
	return ok && (f.born.IsZero() || f.born.Equal(e.Born))
}

// entryWritten records that an endpoint's entry was written in this epoch: a
// removed endpoint is back.
func (b *builder) entryWritten(id string, item Item) {
	if f, ok := b.withheld[id]; ok && f.item.Removed && item.Revision > b.epochStart {
		delete(b.withheld, id)
	}
}

// applyCarried applies the items that a peer carries from earlier epochs, and
// reports whether that changes anything.
func (s *State) applyCarried(b *builder, u Update, now time.Time) bool {
	changed := false
	for _, item := range u.Previous {
		change, err := s.config.Decoder.Decode(item)
		if err != nil {
			continue
		}
		changed = s.applyCarriedItem(b, u, item, change, now) || changed
	}
	return changed
}

func (s *State) applyCarriedItem(b *builder, u Update, item Item, change Change, now time.Time) bool {
	switch {
	case change.Config != nil:
		return s.applyConfig(b, change.Config, item, u)
	case change.Endpoint != nil && change.Endpoint.Draining:
		if _, known := b.withheld[change.Endpoint.ID]; known {
			return false
		}
		s.withhold(b, change.Endpoint.ID, carriedItem{item: item, born: change.Endpoint.Born})
		return true
	case change.Removed != "":
		return s.applyCarriedRemoval(b, u, change.Removed, item, now)
	case change.Evacuation != nil && !change.Evacuation.Ended:
		return s.applyCarriedEvacuation(b, u, change.Evacuation.Zone, item, now)
	}
	return false
}

// applyCarriedRemoval applies a removal that a peer carries, if the endpoint's
// entry is there since the epoch began.
func (s *State) applyCarriedRemoval(b *builder, u Update, id string, item Item, now time.Time) bool {
	entry, there := b.items[item.Key]
	_, known := b.withheld[id]
	if known || !there || entry.Removed || entry.Revision > b.epochStart || !s.unsettled(b, u, now) {
		return false
	}
	s.withhold(b, id, carriedItem{item: item, until: b.settled})
	return true
}

// applyCarriedEvacuation applies an evacuation that a peer carries, if the zone's
// item was not written since the epoch began.
func (s *State) applyCarriedEvacuation(b *builder, u Update, zone string, item Item, now time.Time) bool {
	entry, there := b.items[item.Key]
	_, known := b.evacuated[zone]
	if known || there && entry.Revision > b.epochStart || !s.unsettled(b, u, now) {
		return false
	}
	b.evacuated[zone] = Evacuated{Position: Position{Revision: item.Revision}, Since: now, Source: u.Source}
	b.keptEvacuations[zone] = carriedItem{item: item, until: b.settled}
	return true
}

// unsettled reports whether a peer in the same epoch says that the store may be
// incomplete, and records for how long.
func (s *State) unsettled(b *builder, u Update, now time.Time) bool {
	if u.Epoch != b.position.Epoch || u.Settling <= 0 {
		return false
	}
	s.settle(b, u.Settling, now)
	return true
}

// releaseCarried drops the carried items that no longer apply, and reports whether
// that changes anything.
func (s *State) releaseCarried(b *builder, now time.Time) bool {
	changed := false
	for id, f := range b.withheld {
		_, there := b.endpoints[id]
		over := !f.until.IsZero() && !now.Before(f.until)
		if !over && (there || now.Before(b.settled)) {
			continue
		}
		delete(b.withheld, id)
		changed = true
		s.config.Log.Event("endpoint.released", decision.Fields{"endpoint": id, "known": there})
	}
	for zone, f := range b.keptEvacuations {
		if now.Before(f.until) {
			continue
		}
		delete(b.keptEvacuations, zone)
		delete(b.evacuated, zone)
		b.readmit(zone, b.position, now)
		changed = true
		s.config.Log.Event("evacuation.ended", decision.Fields{"zone": zone, "epoch": b.position.Epoch, "revision": b.position.Revision, "kept": true})
	}
	return changed
}

// carriedItems returns the items of earlier epochs that still apply.
func (b *builder) carriedItems() (list []Item) {
	for _, of := range []map[string]carriedItem{b.withheld, b.keptEvacuations} {
		for _, f := range of {
			list = append(list, f.item)
		}
	}
	if item, ok := b.items[b.configItem.Key]; b.configItem.Key != "" && (!ok || !item.same(b.configItem)) {
		list = append(list, b.configItem)
	}
	return list
}
