package deployment

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/decision"
)

// builder is the owner goroutine's mutable state, from which snapshots and records
// are built.
type builder struct {
	items     map[string]Item
	endpoints map[string]*Endpoint
	config    *Config
	// configItem is the item that config was decoded from.
	configItem Item
	// position is the one up to which all changes are known, epochStart the
	// revision of the full read that began the epoch, and since the revision up to
	// which a removal may be unknown.
	position   Position
	epochStart uint64
	since      uint64
	// holdUntil is when removals take effect at once again.
	holdUntil time.Time
	// heldRemovals holds removals back, by endpoint ID, until the given time.
	heldRemovals map[string]time.Time
	// evacuated are the zones that are evacuated, and readmitted those whose
	// evacuation has ended.
	evacuated  map[string]Evacuated
	readmitted map[string]readmission
	// withheld are the endpoints that were draining or removed in an earlier epoch,
	// by ID, and keptEvacuations the zones that were evacuated in one; settled is
	// when a restored store is expected to be complete again.
	withheld        map[string]carriedItem
	keptEvacuations map[string]carriedItem
	settled         time.Time
	// leaveNotices are the leaves that endpoints themselves have announced.
	leaveNotices map[Start]leaveNotice
}

// readmission is the end of a zone's evacuation.
type readmission struct {
	Position
	at time.Time
}

func newBuilder() *builder {
	return &builder{
		items: map[string]Item{}, endpoints: map[string]*Endpoint{}, heldRemovals: map[string]time.Time{},
		evacuated: map[string]Evacuated{}, readmitted: map[string]readmission{},
		withheld: map[string]carriedItem{}, keptEvacuations: map[string]carriedItem{}, leaveNotices: map[Start]leaveNotice{},
	}
}

// apply applies an update: its items, the removals that a full read implies, and
// the revision up to which all changes are then known.
func (s *State) apply(b *builder, u Update, now time.Time) {
	entering := u.Whole && u.Epoch > b.position.Epoch
	if lapsing := s.holdWindow(u, entering && !b.position.IsZero()); now.Add(lapsing).After(b.holdUntil) {
		b.holdUntil = now.Add(lapsing)
		s.lapsing.Store(int64(time.Since(s.start) + lapsing))
	}
	changed, endpoints := false, len(b.endpoints)
	switch {
	case entering:
		s.enterEpoch(b, u, now)
		changed = true
	case u.Epoch != b.position.Epoch, u.Whole && u.Revision < b.position.Revision:
		s.ignore(b, u, now)
		return
	}
	if u.Whole && u.Revision > b.position.Revision {
		b.since = u.Revision
	}
	for _, item := range u.Items {
		changed = s.applyItem(b, item, u, now) || changed
	}
	if u.Whole {
		changed = s.removeMissing(b, u, endpoints, now) || changed
	}
	if u.Revision > b.position.Revision {
		b.position.Revision = u.Revision
		changed = true
	}
	b.since = max(b.since, pruneRemovals(b.items))
	changed = s.applyCarried(b, u, now) || changed
	if changed {
		s.publish(b)
	}
	if changed && u.Source == SourceStore {
		select {
		case s.changed <- struct{}{}:
		default:
		}
	}
}

// ignore drops an update that is older than the known state, or a delta of another
// epoch. What it carries from earlier epochs may still apply.
func (s *State) ignore(b *builder, u Update, now time.Time) {
	s.config.Log.Event("reading.ignored", decision.Fields{
		"epoch": u.Epoch, "revision": u.Revision, "known": b.position.Revision, "in": b.position.Epoch, "items": len(u.Items), "whole": u.Whole, "source": u.Source,
	})
	if s.applyCarried(b, u, now) {
		s.publish(b)
	}
}

// removeMissing removes the entries that a full read lacks, and logs the read; before
// is how many endpoints were known.
func (s *State) removeMissing(b *builder, u Update, before int, now time.Time) bool {
	added := len(b.endpoints) - before
	present := make(map[string]bool, len(u.Items))
	for _, item := range u.Items {
		present[item.Key] = !item.Removed
	}
	changed, missing := false, 0
	for key, old := range b.items {
		if !present[key] && !old.Removed {
			missing++
			changed = s.applyItem(b, Item{Key: key, Revision: u.Revision, Removed: true}, u, now) || changed
		}
	}
	s.config.Log.Event("reading", decision.Fields{
		"epoch": u.Epoch, "revision": u.Revision, "known": b.position.Revision, "items": len(u.Items), "added": added, "missing": missing, "source": u.Source,
	})
	return changed
}

// holdWindow returns for how long after an update removals may stem from a store
// outage, or from the copy that the store was restored from.
func (s *State) holdWindow(u Update, restored bool) time.Duration {
	readerFailed := time.Since(s.start) < time.Duration(s.readerFailed.Load())
	if u.AfterOutage || restored && u.Source == SourceStore || u.Whole && u.Source != SourceStore && readerFailed {
		return lapseWindow
	}
	return u.Lapsing
}

// applyItem applies one item, unless it is older than the known one.
//
// Nor does it apply an item that a full read lacked. A peer's answer may be older
// than the read and arrive after it, with an endpoint that had left before and
// whose removal is unknown.
func (s *State) applyItem(b *builder, item Item, u Update, now time.Time) bool {
	if !u.Whole && item.Revision <= b.since {
		return false
	}
	if old, ok := b.items[item.Key]; ok && old.Revision >= item.Revision {
		return false
	}
	change, err := s.config.Decoder.Decode(item)
	if err != nil {
		return s.applyInvalid(b, item, change, u, err)
	}
	if old := b.items[item.Key]; len(old.Value) >= largeValue {
		replaced := append(slices.Clone(s.Replaced()), old)
		replaced = replaced[max(len(replaced)-replacedKept, 0):]
		s.replaced.Store(&replaced)
	}
	b.items[item.Key] = item
	switch {
	case change.Config != nil:
		return s.applyConfig(b, change.Config, item, u)
	case change.Endpoint != nil:
		s.applyEndpoint(b, change.Endpoint, item, u, now)
	case change.Evacuation != nil:
		return s.applyEvacuation(b, *change.Evacuation, item, u, now)
	case change.Removed != "":
		return s.remove(b, change.Removed, item, u, now)
	}
	return true
}

// applyEndpoint applies an endpoint's entry.
func (s *State) applyEndpoint(b *builder, e *Endpoint, item Item, u Update, now time.Time) {
	old := b.endpoints[e.ID]
	e.Position, e.ColdUntil = Position{u.Epoch, item.Revision}, coldUntil(old, e, now)
	if r := b.readmitted[e.Zone]; e.Before(r.Position) {
		e.ColdUntil = later(e.ColdUntil, r.at.Add(b.coldTime(e)))
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
	delete(b.heldRemovals, e.ID)
	b.entryWritten(e.ID, item)
	b.endpoints[e.ID] = e
	if old == nil && u.Whole && !e.Draining {
		// The line of the full read counts these: thousands of lines would use up the
		// log's rate for many seconds.
		return
	}
	s.config.Log.Event("endpoint", f)
}

// coldUntil returns the end of an endpoint's cold time after a new entry; old is
// the last known state, nil if there is none. It is zero if the endpoint was never
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

// applyInvalid applies an item that cannot be decoded.
//
// Anyone may write an entry. An invalid one names no endpoint, and the entry before
// it no longer holds: the endpoint may have left, and nothing would show it. The
// endpoint is therefore removed at once, also just after a store outage, and
// returns with its next valid entry. The item is kept, without an oversized value,
// so that nodes that learn from peers see it too.
func (s *State) applyInvalid(b *builder, item Item, change Change, u Update, err error) bool {
	s.config.Log.Event("item.bad", decision.Fields{"key": item.Key, "epoch": u.Epoch, "revision": item.Revision, "source": u.Source, "error": err.Error()})
	if change.Removed == "" {
		return false
	}
	if len(item.Value) > maxBadValue {
		item.Value = nil
	}
	b.items[item.Key] = item
	delete(b.heldRemovals, change.Removed)
	delete(b.endpoints, change.Removed)
	return true
}

// applyConfig puts a configuration in force, never an older one.
func (s *State) applyConfig(b *builder, c *Config, item Item, u Update) bool {
	if b.config != nil && c.Version <= b.config.Version {
		if c.Version == b.config.Version {
			b.configItem = item
		}
		return false
	}
	c.Index()
	s.logUnknownRegions(c, item)
	b.config, b.configItem = c, item
	s.config.Log.Event("config", decision.Fields{
		"version": c.Version, "routes": len(c.Routes), "epoch": u.Epoch, "revision": item.Revision, "source": u.Source,
	})
	return true
}

// logUnknownRegions logs the routes and client accounts whose residency regions do
// not exist: requests that may run only there are refused.
func (s *State) logUnknownRegions(c *Config, item Item) {
	check := func(what, name string, homes []string) {
		for _, h := range homes {
			if len(s.config.Regions) > 0 && !slices.Contains(s.config.Regions, h) {
				s.config.Log.Event("config.unknown-region", decision.Fields{"version": c.Version, what: name, "region": h, "revision": item.Revision})
			}
		}
	}
	for _, r := range c.Routes {
		check("route", r.Name, r.Regions)
	}
	for _, a := range c.Accounts {
		check("account", a.Name, a.Regions)
	}
}

// remove removes an endpoint, or holds its removal back after an outage.
//
// While the store is away, endpoints cannot renew their entries, and all entries
// lapse though the processes live. Live endpoints write theirs again soon after; a
// removal takes effect if that does not happen. The hold stays under the bound on
// leaving endpoints, since some of them leave only by the removal of their entry.
func (s *State) remove(b *builder, id string, item Item, u Update, now time.Time) bool {
	e, ok := b.endpoints[id]
	if !ok {
		return false
	}
	held := now.Before(b.holdUntil) && !e.Draining && !b.isLeaving(e)
	s.config.Log.Event("endpoint.removed", decision.Fields{"endpoint": id, "held": held, "epoch": u.Epoch, "revision": item.Revision, "source": u.Source})
	if held {
		b.heldRemovals[id] = now.Add(min(lapseWindow, s.config.Drain-holdMargin))
		return false
	}
	delete(b.endpoints, id)
	return true
}

func (s *State) sweep(b *builder, now time.Time) {
	changed := s.releaseCarried(b, now)
	b.expireLeaveNotices(now)
	for id, until := range b.heldRemovals {
		if now.Before(until) {
			continue
		}
		delete(b.heldRemovals, id)
		delete(b.endpoints, id)
		changed = true
		s.config.Log.Event("endpoint.lapsed", decision.Fields{"endpoint": id})
	}
	if changed {
		s.publish(b)
	}
}

// newestByAddr returns the endpoint with the newest entry at each address.
//
// A process that crashes and restarts appears under a new ID at its previous
// address, while its old entry lapses only after some heartbeats. Requests for the
// old endpoint would reach the new one, which refuses them, and use up the retry
// budget.
func (b *builder) newestByAddr() map[netip.AddrPort]*Endpoint {
	at := make(map[netip.AddrPort]*Endpoint, len(b.endpoints))
	for _, e := range b.endpoints {
		if o := at[e.Addr]; o == nil || o.Before(e.Position) {
			at[e.Addr] = e
		}
	}
	return at
}

func (s *State) publish(b *builder) {
	snap := &Snapshot{Config: b.config, Position: b.position, Endpoints: make(map[string][]*Endpoint), Evacuated: maps.Clone(b.evacuated), leaveNotices: maps.Clone(b.leaveNotices), unstored: b.unstoredLeaves()}
	newest := b.newestByAddr()
	for _, id := range slices.Sorted(maps.Keys(b.endpoints)) {
		e := b.endpoints[id]
		_, evacuated := b.evacuated[e.Zone]
		replaced, leaves := e.Addr.IsValid() && newest[e.Addr] != e, b.isLeaving(e)
		if evacuated || replaced || leaves {
			flagged := *e
			flagged.Evacuated, flagged.Replaced, flagged.Draining = evacuated, replaced, e.Draining || leaves
			e = &flagged
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
