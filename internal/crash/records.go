package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxCrashes is how many endpoints may end under a feature before it is isolated.
	maxCrashes = 3
	// isolationTime is how long a feature is isolated after its third crash. Each
	// further crash doubles it, maxDoublings times at most.
	isolationTime = 2 * time.Minute
	maxDoublings  = 5
	// recordTTL is how long crashes are remembered after the latest one, beyond the
	// isolation.
	recordTTL = 10 * time.Minute
	// maxRecords bounds the features remembered. A full table drops the fraction
	// evictShare of them.
	maxRecords = 4096
	evictShare = 0.25
	// maxEndpoints bounds the endpoints remembered of one feature.
	maxEndpoints = 16
	// suspected is the number of crashes from which on every node passes on what it
	// learns of a feature. Of fewer only the nodes that saw them report: most
	// requests at an endpoint that ends merely shared it.
	suspected = 2
	// holdTime is how long a feature is held after an end that is not proven: as long as
	// it may take the platform to list the endpoint's next start, and more.
	holdTime = 2 * restartTime
	// holdDelay is how long the ends must be known before a feature is held.
	holdDelay = 300 * time.Millisecond
	// renewInterval is how often at most the report of such an end is renewed.
	renewInterval = time.Second
	// verifyAfter is when a crash is compared with the platform's list of endpoints,
	// which by then no longer has a process that has ended.
	verifyAfter = 10 * time.Second
)

type (
	// Report is an endpoint that ended while it ran a request with a feature.
	Report struct {
		Feature
		// Endpoint is the start of the endpoint's process by its Key.
		Endpoint uint32
		// Age is how long ago the endpoint ended.
		Age time.Duration
		// Unproven says that the endpoint refuses connections to a node, which does not
		// prove that it ended.
		Unproven bool
	}

	// RecordsConfig configures Records.
	RecordsConfig struct {
		// Draw returns a random number from 0 to 1.
		Draw func() float64
	}

	// Isolation is why and for how long a request must not be sent.
	Isolation struct {
		Feature
		// Crashes is how many endpoints ended under the feature.
		Crashes int
		// Held says that it takes ends which are not proven to make them maxCrashes.
		Held bool
		// Left is how long the isolation lasts, 0 if there is none.
		Left time.Duration
	}

	// Records are the crashes of the fleet by feature. A set of crashes and a set of
	// cleared ones only grow, so that nodes may receive reports in any order and any
	// number of times. Records are not safe for concurrent use.
	Records struct {
		config RecordsConfig
		by     map[uint64]*record
		// suspects are the features with maxCrashes ends or more.
		suspects map[uint64]bool
		// judgeAt is when a feature that it was too early to blame is to be judged again,
		// zero if there is none.
		judgeAt time.Time
		// answered are the features of requests that were answered.
		answered answered
		// confirmed is since when two nodes are known to be refused connections by each
		// endpoint.
		confirmed map[uint32]time.Time
		// forgotten are cleared crashes that are no longer in the records.
		forgotten forgotten
		// changed is when something was learned last.
		changed time.Time
	}
)

// NewRecords returns empty Records.
func NewRecords(c RecordsConfig) *Records {
	return &Records{config: c, by: map[uint64]*record{}, suspects: map[uint64]bool{}, confirmed: map[uint32]time.Time{}}
}

// Add adds a crash and returns the number of the feature's crashes, and whether the
// crash was new. The bool own says that this node saw it.
func (r *Records) Add(now time.Time, k Report, own bool) (crashes int, added bool) {
	innocent := now.Add(-k.Age).Sub(r.answered.latest(now, k.ID)) < servedTime
	if k.Age < 0 || k.Age >= recordTTL || own && innocent {
		return r.Crashes(k.ID), false
	}
	if r.forgotten.has(sighting{k.ID, k.Endpoint}) {
		return r.Crashes(k.ID), false
	}
	rec := r.record(now, k.Feature)
	if e := rec.endpoints[k.Endpoint]; e != nil {
		proven := r.update(now, k, own, rec, e)
		return rec.crashes(), proven
	}
	if !r.makeRoom(k.ID, rec) {
		return rec.crashes(), false
	}
	at := now.Add(-k.Age)
	e := &entry{at: at, learned: now, changed: now, own: own, unproven: k.Unproven, renewed: now, confirmed: r.isConfirmed(k.Endpoint)}
	rec.endpoints[k.Endpoint] = e
	if innocent {
		rec.vouch(now, e)
	}
	r.changed = now
	rec.last = later(rec.last, at)
	r.isolate(now, k.ID, rec)
	return rec.crashes(), true
}

// update records another report of a known end, and returns whether it proves it.
func (r *Records) update(now time.Time, k Report, own bool, rec *record, e *entry) (proven bool) {
	switch {
	case !e.unproven, k.Unproven && now.Sub(e.renewed) < renewInterval:
		return false
	case !k.Unproven:
		e.unproven, e.own, e.changed, e.sent = false, e.own || own, now, 0
	default:
		e.renewed = now
		if own {
			e.own, e.changed, e.sent = true, now, 0
		}
	}
	r.changed = now
	r.isolate(now, k.ID, rec)
	return !e.unproven
}

// isolate sets the end of a feature's isolation. Nodes differ in it: when it ends, the
// first one to run such a request again shows the others whether it still crashes.
func (r *Records) isolate(now time.Time, id uint64, rec *record) {
	n := rec.crashes()
	if n < maxCrashes {
		rec.until = rec.renewed().Add(holdTime)
	} else {
		isolation := isolationTime << min(n-maxCrashes, maxDoublings)
		rec.until = rec.last.Add(isolation + time.Duration(r.config.Draw()*float64(isolation)))
	}
	r.suspect(now, id, rec.ends() >= maxCrashes)
}

// suspect records whether a feature has maxCrashes ends or more, after a change of them.
func (r *Records) suspect(now time.Time, id uint64, on bool) {
	if !on && !r.suspects[id] {
		return
	}
	if on {
		r.suspects[id] = true
	} else {
		delete(r.suspects, id)
	}
	r.judge(now)
}

// AddCleared adds a crash that another node has cleared.
func (r *Records) AddCleared(now time.Time, k Report) {
	if k.Age < 0 || k.Age >= recordTTL || r.forgotten.has(sighting{k.ID, k.Endpoint}) {
		return
	}
	rec := r.record(now, k.Feature)
	e := rec.endpoints[k.Endpoint]
	if e == nil && r.makeRoom(k.ID, rec) {
		e = &entry{at: now.Add(-k.Age), learned: now, changed: now}
		rec.endpoints[k.Endpoint] = e
		rec.last = later(rec.last, e.at)
	}
	if e != nil && e.cleared.IsZero() {
		e.cleared = now
		r.isolate(now, k.ID, rec)
	}
}

// Served clears the crashes of a feature before a time, as an answer to a request with
// it began then and was whole. It returns how many these were.
func (r *Records) Served(now, began time.Time, id uint64) int {
	r.answered.add(now, began, id)
	return r.Clear(now, began, id)
}

// Clear clears the crashes of a feature up to a time, and returns how many these were.
func (r *Records) Clear(now, until time.Time, id uint64) int {
	rec := r.by[id]
	if rec == nil {
		return 0
	}
	n := 0
	for _, e := range rec.endpoints {
		if e.cleared.IsZero() && !e.at.After(until) {
			e.cleared, e.toldCleared = now, true
			r.changed = now
			n++
		}
	}
	if n > 0 {
		r.isolate(now, id, rec)
	}
	return n
}

// Has reports whether a crash of a feature at an endpoint is known, cleared or not.
func (r *Records) Has(id uint64, endpoint uint32) bool {
	rec := r.by[id]
	return rec != nil && rec.endpoints[endpoint] != nil
}

// Isolated returns the longest isolation of a request with some features; its Left is 0
// if there is none.
func (r *Records) Isolated(now time.Time, features ...Feature) Isolation {
	if len(r.suspects) > 0 && !r.judgeAt.IsZero() && !now.Before(r.judgeAt) {
		r.judge(now)
	}
	return r.longest(now, features)
}

// longest is Isolated as the records were last judged.
func (r *Records) longest(now time.Time, features []Feature) (longest Isolation) {
	for _, f := range features {
		if !r.suspects[f.ID] {
			continue
		}
		rec := r.by[f.ID]
		if left := rec.until.Sub(now); rec.blamed && left > longest.Left {
			n := rec.crashes()
			longest = Isolation{Feature: Feature{ID: f.ID, Scope: rec.scope}, Crashes: n, Held: n < maxCrashes, Left: left}
		}
	}
	return longest
}

// Verify compares crashes with the endpoints that the platform lists, and clears those
// of endpoints that are still listed.
//
// A node that is cut off may be refused connections by endpoints that run on.
func (r *Records) Verify(now time.Time, listed func(endpoint uint32) bool) {
	for id, rec := range r.by {
		for endpoint, e := range rec.endpoints {
			if !e.due(now) {
				continue
			}
			e.verified = true
			if listed(endpoint) {
				e.cleared = now
				r.isolate(now, id, rec)
			}
		}
	}
}

// Unverified reports whether a crash is due to be compared with the list of endpoints.
func (r *Records) Unverified(now time.Time) bool {
	for _, rec := range r.by {
		for _, e := range rec.endpoints {
			if e.due(now) {
				return true
			}
		}
	}
	return false
}

// Confirm records that two nodes are refused connections by an endpoint: ends of it that
// are not proven count from now on.
func (r *Records) Confirm(now time.Time, endpoint uint32) {
	r.confirmed[endpoint] = now
	for id, rec := range r.by {
		if e := rec.endpoints[endpoint]; e != nil && e.unproven && !e.confirmed {
			e.confirmed, e.learned = true, now
			r.isolate(now, id, rec)
		}
	}
}

func (r *Records) isConfirmed(endpoint uint32) bool {
	_, known := r.confirmed[endpoint]
	return known
}

// Reached forgets the ends of an endpoint that are not proven: a node was connected to
// it since they were reported. It returns how many features had one.
func (r *Records) Reached(now time.Time, endpoint uint32) int {
	n := 0
	delete(r.confirmed, endpoint)
	for id, rec := range r.by {
		if e := rec.endpoints[endpoint]; e != nil && e.unproven {
			delete(rec.endpoints, endpoint)
			r.isolate(now, id, rec)
			n++
		}
	}
	return n
}

// Expire forgets features whose latest crash is long ago, and ends that were never
// proven.
func (r *Records) Expire(now time.Time) {
	maps.DeleteFunc(r.confirmed, func(_ uint32, at time.Time) bool { return now.Sub(at) >= contactTTL })
	for id, rec := range r.by {
		if rec.expireUnproven(now) {
			r.isolate(now, id, rec)
		}
		if now.Sub(later(rec.last, rec.until)) > recordTTL {
			r.forget(now, id)
		}
	}
}

func (r *Records) forget(now time.Time, id uint64) {
	delete(r.by, id)
	r.suspect(now, id, false)
}

// List returns the isolations in force.
func (r *Records) List(now time.Time) []Isolation {
	var list []Isolation
	for id := range r.suspects {
		if i := r.Isolated(now, Feature{ID: id}); i.Left > 0 {
			list = append(list, i)
		}
	}
	slices.SortFunc(list, func(a, b Isolation) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// record returns the record of a feature, which may be new.
func (r *Records) record(now time.Time, f Feature) *record {
	rec := r.by[f.ID]
	if rec == nil {
		r.evict(now)
		rec = &record{scope: f.Scope, endpoints: map[uint32]*entry{}}
		r.by[f.ID] = rec
	}
	return rec
}

// evict makes room in a full table: it drops the least suspected features, and of
// those the ones whose latest crash is longest ago.
func (r *Records) evict(now time.Time) {
	if len(r.by) < maxRecords {
		return
	}
	r.Expire(now)
	list := make([]ranked, 0, len(r.by))
	for id, rec := range r.by {
		list = append(list, ranked{report: Report{Feature: Feature{ID: id}}, ends: rec.ends(), changed: rec.last, entry: &entry{}})
	}
	slices.SortFunc(list, compareRanked)
	for _, k := range list[min(len(list), int((1-evictShare)*maxRecords)):] {
		r.forget(now, k.report.ID)
	}
}

// Crashes returns the number of a feature's crashes that were not cleared.
func (r *Records) Crashes(id uint64) int {
	if rec := r.by[id]; rec != nil {
		return rec.crashes()
	}
	return 0
}

// makeRoom reports whether a feature's record has room for another endpoint, after the
// one that was cleared first has been forgotten if need be.
func (r *Records) makeRoom(id uint64, rec *record) bool {
	if len(rec.endpoints) < maxEndpoints {
		return true
	}
	var oldest uint32
	var found *entry
	for endpoint, e := range rec.endpoints {
		if e.cleared.IsZero() {
			continue
		}
		if found == nil || cmp.Or(e.cleared.Compare(found.cleared), cmp.Compare(endpoint, oldest)) < 0 {
			oldest, found = endpoint, e
		}
	}
	if found != nil {
		delete(rec.endpoints, oldest)
		r.forgotten.add(sighting{id, oldest})
	}
	return found != nil
}
