package deployment

import (
	"time"

	"bulrushhinge.example/bulrushhinge/internal/decision"
)

// takeEvacuation takes an operator's word on an availability zone.
//
// Evacuations travel as all other items do, so that a node that was cut off, has
// just started, or takes everything from a peer learns of their beginnings and
// ends as it learns of endpoints that have come and gone.
func (s *State) takeEvacuation(b *book, e Evacuation, item Item, u Update, now time.Time) bool {
	f := decision.Fields{"zone": e.Zone, "epoch": u.Epoch, "revision": item.Revision, "source": u.Source}
	delete(b.kept, e.Zone)
	if !e.Ended {
		s.config.Log.Event("evacuation", f)
		b.evacuated[e.Zone] = Evacuated{Position: Position{u.Epoch, item.Revision}, Since: now, Source: u.Source}
		return true
	}
	if known, ok := b.evacuated[e.Zone]; ok {
		f["began"], f["lasted_ms"] = known.Revision, now.Sub(known.Since).Milliseconds()
	}
	s.config.Log.Event("evacuation.ended", f)
	delete(b.evacuated, e.Zone)
	b.restore(e.Zone, Position{u.Epoch, item.Revision}, now)
	return true
}

// restore takes a zone's endpoints for cold, as if they had just started.
//
// They may have become cold while nothing was sent to them, and their entries say
// so only with their next heartbeats. Taken for warm until then, they would crash
// under the requests that come back all at once. An entry that was written after
// the zone was taken back says what holds.
func (b *book) restore(zone string, at Position, now time.Time) {
	b.restored[zone] = restored{Position: at, at: now}
	for id, e := range b.endpoints {
		if e.Zone != zone || at.Before(e.Position) {
			continue
		}
		cold := *e
		cold.ColdUntil = later(e.ColdUntil, now.Add(b.cold(e)))
		b.endpoints[id] = &cold
	}
}

// cold is for how long an endpoint stays cold after it has become so.
func (b *book) cold(e *Endpoint) time.Duration {
	if b.config == nil {
		return 0
	}
	return b.config.Services[e.Service].Cold
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
