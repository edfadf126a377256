package deployment

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/decision"
)

// book is the owner goroutine's state.
type book struct {
	items     map[string]Item
	endpoints map[string]*Endpoint
	config    *Config
	// inForce is the item of the configuration.
	inForce Item
	// position is the one up to which all changes are known, opened the revision
	// of the reading with which its epoch began, and since the revision up to
	// which a removal may be unknown.
	position Position
	opened   uint64
	since    uint64
	// trusted is when removals count at once again.
	trusted time.Time
	// lapsed holds removals back until the time given.
	lapsed map[string]time.Time
	// evacuated are the zones that are evacuated, and restored those that were
	// taken back.
	evacuated map[string]Evacuated
	restored  map[string]restored
	// leaving are the endpoints that drained or were gone in an earlier epoch, by
	// ID, and kept the zones that were evacuated in one; settled is when the store
	// is taken to have everything again.
	leaving map[string]former
	kept    map[string]former
	settled time.Time
	// announced are the endpoints that have said themselves that they leave.
	announced map[Start]announced
}

// restored is a zone that was taken back after an evacuation.
type restored struct {
	Position
	at time.Time
}

func newBook() *book {
	return &book{
		items: map[string]Item{}, endpoints: map[string]*Endpoint{}, lapsed: map[string]time.Time{},
		evacuated: map[string]Evacuated{}, restored: map[string]restored{},
		leaving: map[string]former{}, kept: map[string]former{}, announced: map[Start]announced{},
	}
}

// apply takes an update: its items, what it lacks if it is everything, and up to
// which revision all is known after it.
func (s *State) apply(b *book, u Update, now time.Time) {
	entering := u.Whole && u.Epoch > b.position.Epoch
	if lapsing := s.lapsingAfter(u, entering && !b.position.IsZero()); now.Add(lapsing).After(b.trusted) {
		b.trusted = now.Add(lapsing)
		s.lapsing.Store(int64(time.Since(s.start) + lapsing))
	}
	changed := false
	switch {
	case entering:
		s.enter(b, u, now)
		changed = true
	case u.Epoch != b.position.Epoch, u.Whole && u.Revision < b.position.Revision:
		s.ignore(b, u, now)
		return
	}
	if u.Whole && u.Revision > b.position.Revision {
		b.since = u.Revision
	}
	for _, item := range u.Items {
		changed = s.take(b, item, u, now) || changed
	}
	if u.Whole {
		changed = s.takeMissing(b, u, now) || changed
	}
	if u.Revision > b.position.Revision {
		b.position.Revision = u.Revision
		changed = true
	}
	b.since = max(b.since, forget(b.items))
	changed = s.recall(b, u, now) || changed
	if changed {
		s.publish(b)
	}
	if changed && u.Source == SourceStore {
		select {
		case s.news <- struct{}{}:
		default:
		}
	}
}

// ignore drops an update that is older than what is known, or a difference of
// another epoch. What it tells of earlier epochs may still hold.
func (s *State) ignore(b *book, u Update, now time.Time) {
	s.config.Log.Event("reading.ignored", decision.Fields{
		"epoch": u.Epoch, "revision": u.Revision, "known": b.position.Revision, "in": b.position.Epoch, "items": len(u.Items), "whole": u.Whole, "source": u.Source,
	})
	if s.recall(b, u, now) {
		s.publish(b)
	}
}

// takeMissing removes what a reading of everything lacks.
func (s *State) takeMissing(b *book, u Update, now time.Time) bool {
	present := make(map[string]bool, len(u.Items))
	for _, item := range u.Items {
		present[item.Key] = !item.Removed
	}
	changed, missing := false, 0
	for key, old := range b.items {
		if !present[key] && !old.Removed {
			missing++
			changed = s.take(b, Item{Key: key, Revision: u.Revision, Removed: true}, u, now) || changed
		}
	}
	s.config.Log.Event("reading", decision.Fields{
		"epoch": u.Epoch, "revision": u.Revision, "known": b.position.Revision, "items": len(u.Items), "missing": missing, "source": u.Source,
	})
	return changed
}

// lapsingAfter returns for how long after an update removals may stem from an
// outage, or from the copy that the store was restored from.
func (s *State) lapsingAfter(u Update, restored bool) time.Duration {
	doubted := time.Since(s.start) < time.Duration(s.doubted.Load())
	if u.Regained || restored && u.Source == SourceStore || u.Whole && u.Source != SourceStore && doubted {
		return lapseWindow
	}
	return u.Lapsing
}

// take applies one item; an older one than is known says nothing.
//
// Nor does one that a reading of everything lacked. A peer's answer may be older
// than the reading and arrive after it, with an endpoint that had left before, of
// whose removal nothing is known.
func (s *State) take(b *book, item Item, u Update, now time.Time) bool {
	if !u.Whole && item.Revision <= b.since {
		return false
	}
	if old, ok := b.items[item.Key]; ok && old.Revision >= item.Revision {
		return false
	}
	change, err := s.config.Decoder.Decode(item)
	if err != nil {
		return s.takeBad(b, item, change, u, err)
	}
	if old := b.items[item.Key]; len(old.Value) >= largeValue {
		past := append(slices.Clone(s.Past()), old)
		past = past[max(len(past)-pastValues, 0):]
		s.past.Store(&past)
	}
	b.items[item.Key] = item
	switch {
	case change.Config != nil:
		return s.takeConfig(b, change.Config, item, u)
	case change.Endpoint != nil:
		s.takeEndpoint(b, change.Endpoint, item, u, now)
	case change.Evacuation != nil:
		return s.takeEvacuation(b, *change.Evacuation, item, u, now)
	case change.Removed != "":
		return s.remove(b, change.Removed, item, u, now)
	}
	return true
}

// takeEndpoint takes an endpoint's entry.
func (s *State) takeEndpoint(b *book, e *Endpoint, item Item, u Update, now time.Time) {
	old := b.endpoints[e.ID]
	e.Position, e.ColdUntil = Position{u.Epoch, item.Revision}, coldUntil(old, e, now)
	if r := b.restored[e.Zone]; e.Before(r.Position) {
		e.ColdUntil = later(e.ColdUntil, r.at.Add(b.cold(e)))
	}
	f := decision.Fields{"endpoint": e.ID, "service": e.Service, "draining": e.Draining, "epoch": u.Epoch, "revision": item.Revision, "source": u.Source}
	if !e.Born.IsZero() {
		f["born"] = e.Born.UnixMilli()
	}
	if old != nil && old.Start() != e.Start() {
		f["restarted"] = true
	}
	if e.Cold > 0 {
		f["cold_ms"] = e.Cold.Milliseconds()
	}
	delete(b.lapsed, e.ID)
	b.written(e.ID, item)
	b.endpoints[e.ID] = e
	s.config.Log.Event("endpoint", f)
}

// coldUntil returns the end of an endpoint's cold time after a new entry; old is
// what was known before, nil for nothing. It is zero if the endpoint was never
// known to be cold.
func coldUntil(old, e *Endpoint, now time.Time) time.Time {
	switch {
	case e.Cold > 0:
		return now.Add(e.Cold)
	case old == nil || old.Start() != e.Start():
		return time.Time{}
	case now.Before(old.ColdUntil):
		return now
	}
	return old.ColdUntil
}

// takeBad takes an item that cannot be read.
//
// Anyone may write an entry. One that cannot be read names no endpoint, and what
// it said before no longer holds: the endpoint may have left, and nobody could
// tell. It is therefore out at once, also just after an outage, and is back with
// its next good entry. The item is kept, in short, so that nodes that are told by
// peers learn the same.
func (s *State) takeBad(b *book, item Item, change Change, u Update, err error) bool {
	s.config.Log.Event("item.bad", decision.Fields{"key": item.Key, "epoch": u.Epoch, "revision": item.Revision, "source": u.Source, "error": err.Error()})
	if change.Removed == "" {
		return false
	}
	if len(item.Value) > maxBadValue {
		item.Value = nil
	}
	b.items[item.Key] = item
	delete(b.lapsed, change.Removed)
	delete(b.endpoints, change.Removed)
	return true
}

// takeConfig puts a configuration in force, never an older one.
func (s *State) takeConfig(b *book, c *Config, item Item, u Update) bool {
	if b.config != nil && c.Version <= b.config.Version {
		if c.Version == b.config.Version {
			b.inForce = item
		}
		return false
	}
	c.Index()
	s.checkHomes(c, item)
	b.config, b.inForce = c, item
	s.config.Log.Event("config", decision.Fields{
		"version": c.Version, "routes": len(c.Routes), "epoch": u.Epoch, "revision": item.Revision, "source": u.Source,
	})
	return true
}

// checkHomes says which routes and client accounts may only run in regions that
// do not exist: their requests are refused.
func (s *State) checkHomes(c *Config, item Item) {
	check := func(what, name string, homes []string) {
		for _, h := range homes {
			if len(s.config.Regions) > 0 && !slices.Contains(s.config.Regions, h) {
				s.config.Log.Event("config.unknown-region", decision.Fields{"version": c.Version, what: name, "region": h, "revision": item.Revision})
			}
		}
	}
	for _, r := range c.Routes {
		check("route", r.Name, r.Homes)
	}
	for _, a := range c.Accounts {
		check("account", a.Name, a.Homes)
	}
}

// remove takes an endpoint out, or holds that back after an outage.
//
// While the store is away, endpoints cannot renew their entries, and all of them
// lapse though their processes live. Those that live are back in the store soon;
// a removal counts if its entry isn't. The hold stays under the bound on
// endpoints that leave, since some of them leave by their entry's removal alone.
func (s *State) remove(b *book, id string, item Item, u Update, now time.Time) bool {
	e, ok := b.endpoints[id]
	if !ok {
		return false
	}
	held := now.Before(b.trusted) && !e.Draining && !b.leaves(e)
	s.config.Log.Event("endpoint.removed", decision.Fields{"endpoint": id, "held": held, "epoch": u.Epoch, "revision": item.Revision, "source": u.Source})
	if held {
		b.lapsed[id] = now.Add(min(lapseWindow, s.config.Drain-holdMargin))
		return false
	}
	delete(b.endpoints, id)
	return true
}

func (s *State) sweep(b *book, now time.Time) {
	changed := s.release(b, now)
	b.forgetAnnounced(now)
	for id, until := range b.lapsed {
		if now.Before(until) {
			continue
		}
		delete(b.lapsed, id)
		delete(b.endpoints, id)
		changed = true
		s.config.Log.Event("endpoint.lapsed", decision.Fields{"endpoint": id})
	}
	if changed {
		s.publish(b)
	}
}

// newest returns the endpoint whose entry is the newest at each address.
//
// A process that crashes and starts again comes under a new name, at the address
// that it had, while its former entry lapses only after some heartbeats. One would
// see requests for the former one reach the new one, which refuses them, and the
// budget of repeats spent on them.
func (b *book) newest() map[netip.AddrPort]*Endpoint {
	at := make(map[netip.AddrPort]*Endpoint, len(b.endpoints))
	for _, e := range b.endpoints {
		if o := at[e.Addr]; o == nil || o.Before(e.Position) {
			at[e.Addr] = e
		}
	}
	return at
}

func (s *State) publish(b *book) {
	snap := &Snapshot{Config: b.config, Position: b.position, Endpoints: make(map[string][]*Endpoint), Evacuated: maps.Clone(b.evacuated), announced: maps.Clone(b.announced), untold: b.untold()}
	newest := b.newest()
	for _, id := range slices.Sorted(maps.Keys(b.endpoints)) {
		e := b.endpoints[id]
		_, evacuated := b.evacuated[e.Zone]
		replaced, leaves := e.Addr.IsValid() && newest[e.Addr] != e, b.leaves(e)
		if evacuated || replaced || leaves {
			marked := *e
			marked.Evacuated, marked.Replaced, marked.Draining = evacuated, replaced, e.Draining || leaves
			e = &marked
		}
		snap.Endpoints[e.Service] = append(snap.Endpoints[e.Service], e)
	}
	s.record.Store(newRecord(b))
	first := b.config != nil && s.Snapshot().Config == nil
	s.snapshot.Store(snap)
	if first {
		close(s.configured)
	}
}
