package deployment

import (
	"time"

	"bulrushhinge.example/bulrushhinge/internal/decision"
)

// applyEvacuation applies the start or end of a zone's evacuation.
//
// Evacuations propagate like all other items, so that a node that was partitioned,
// has just started, or takes everything from a peer learns of their start and end
// as it learns of added and removed endpoints.
func (s *State) applyEvacuation(b *builder, e Evacuation, item Item, u Update, now time.Time) bool {
	f := decision.Fields{"zone": e.Zone, "epoch": u.Epoch, "revision": item.Revision, "source": u.Source}
	delete(b.keptEvacuations, e.Zone)
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
	b.readmit(e.Zone, Position{u.Epoch, item.Revision}, now)
	return true
}

// readmit treats a zone's endpoints as cold, as if they had just started.
//
// They may have become cold while they got no requests, and their entries say so
// only with their next heartbeats. Treated as warm until then, they would crash
// under the requests that return all at once. An entry that was written after the
// end of the evacuation is trusted.
func (b *builder) readmit(zone string, at Position, now time.Time) {
	b.readmitted[zone] = readmission{Position: at, at: now}
	for id, e := range b.endpoints {
		if e.Zone != zone || at.Before(e.Position) {
			continue
		}
		cold := *e
		cold.ColdUntil = later(e.ColdUntil, now.Add(b.coldTime(e)))
		b.endpoints[id] = &cold
	}
}

// coldTime is how long an endpoint stays cold once it has become so.
func (b *builder) coldTime(e *Endpoint) time.Duration {
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
