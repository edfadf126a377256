package crash

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxCrashes is how many endpoints may end under a request before it is isolated.
	maxCrashes = 3
	// isolationTime is how long a request is isolated after its third crash. Each
	// further crash doubles it, maxDoublings times at most.
	isolationTime = 2 * time.Minute
	maxDoublings  = 5
	// recordTTL is how long crashes are remembered after the latest one, beyond the
	// isolation.
	recordTTL = 10 * time.Minute
	// maxRecords bounds the requests remembered. A full table drops the fraction
	// evictShare of them.
	maxRecords = 4096
	evictShare = 0.25
	// maxEndpoints bounds the endpoints remembered of one request.
	maxEndpoints = 16
	// repeatTime is how long a node repeats what it has learned, as messages get lost.
	repeatTime = 2 * time.Second
	// maxRecent and maxKnown bound the reports in a message.
	maxRecent = 32
	maxKnown  = 64
	// suspected is the number of crashes from which on every node passes on what it
	// learns of a request. Of fewer only the nodes that saw them report: most
	// requests at an endpoint that ends merely shared it.
	suspected = 2
	// verifyAfter is when a crash is compared with the platform's list of endpoints,
	// which by then no longer has a process that has ended.
	verifyAfter = 10 * time.Second
)

type (
	// Report is an endpoint that ended while it ran a request.
	Report struct {
		// Fingerprint identifies the request, Endpoint the start of the endpoint's
		// process by its Key.
		Fingerprint uint64
		Endpoint    uint32
		// Age is how long ago the endpoint ended.
		Age time.Duration
	}

	// News is what nodes report to each other.
	News struct {
		Crashes []Report
		// Cleared are crashes that the request did not cause: it was served since.
		Cleared []Report
	}

	// RecordsConfig configures Records.
	RecordsConfig struct {
		// Draw returns a random number from 0 to 1.
		Draw func() float64
	}

	// Records are the crashes of the fleet by request. A set of crashes and a set of
	// cleared ones only grow, so that nodes may receive reports in any order and any
	// number of times. Records are not safe for concurrent use.
	Records struct {
		config RecordsConfig
		by     map[uint64]*record
		// changed is when something was learned last.
		changed time.Time
	}

	record struct {
		endpoints map[uint32]*entry
		// last is when the latest endpoint ended, and until when the isolation ends.
		last  time.Time
		until time.Time
	}

	entry struct {
		// at is when the endpoint ended, and learned when this node learned it.
		at      time.Time
		learned time.Time
		// own says that this node saw it.
		own bool
		// cleared is when it was cleared, zero if it was not.
		cleared time.Time
		// toldCleared says that this node cleared it, and so reports that.
		toldCleared bool
		// verified says that it was compared with the list of endpoints.
		verified bool
	}

	// ranked is a report with what its order depends on.
	ranked struct {
		report  Report
		crashes int
		learned time.Time
	}
)

// NewRecords returns empty Records.
func NewRecords(c RecordsConfig) *Records {
	return &Records{config: c, by: map[uint64]*record{}}
}

// Add adds a crash and returns the number of the request's crashes, and whether the
// crash was new. The bool own says that this node saw it.
func (r *Records) Add(now time.Time, k Report, own bool) (crashes int, added bool) {
	if k.Age < 0 || k.Age >= recordTTL {
		return r.Crashes(k.Fingerprint), false
	}
	rec := r.record(now, k.Fingerprint)
	if rec.endpoints[k.Endpoint] != nil || !rec.hasRoom() {
		return rec.crashes(), false
	}
	at := now.Add(-k.Age)
	rec.endpoints[k.Endpoint] = &entry{at: at, learned: now, own: own}
	r.changed = now
	rec.last = later(rec.last, at)
	r.isolate(rec)
	return rec.crashes(), true
}

// isolate sets the end of a request's isolation. Nodes differ in it: when it ends,
// the first one to run the request again shows the others whether it still crashes.
func (r *Records) isolate(rec *record) {
	n := rec.crashes()
	if n < maxCrashes {
		rec.until = time.Time{}
		return
	}
	isolation := isolationTime << min(n-maxCrashes, maxDoublings)
	rec.until = rec.last.Add(isolation + time.Duration(r.config.Draw()*float64(isolation)))
}

// AddCleared adds a crash that another node has cleared.
func (r *Records) AddCleared(now time.Time, k Report) {
	if k.Age < 0 || k.Age >= recordTTL {
		return
	}
	rec := r.record(now, k.Fingerprint)
	e := rec.endpoints[k.Endpoint]
	if e == nil && rec.hasRoom() {
		e = &entry{at: now.Add(-k.Age), learned: now}
		rec.endpoints[k.Endpoint] = e
		rec.last = later(rec.last, e.at)
	}
	if e != nil && e.cleared.IsZero() {
		e.cleared = now
		r.isolate(rec)
	}
}

// Served clears the crashes of a request that was served, as it crashes nothing, and
// returns how many these were.
func (r *Records) Served(now time.Time, fingerprint uint64) int {
	rec := r.by[fingerprint]
	if rec == nil {
		return 0
	}
	n := 0
	for _, e := range rec.endpoints {
		if e.cleared.IsZero() {
			e.cleared, e.toldCleared = now, true
			r.changed = now
			n++
		}
	}
	r.isolate(rec)
	return n
}

// Has reports whether a crash of a request at an endpoint is known, cleared or not.
func (r *Records) Has(fingerprint uint64, endpoint uint32) bool {
	rec := r.by[fingerprint]
	return rec != nil && rec.endpoints[endpoint] != nil
}

// Isolated returns for how long a request is isolated, 0 if it is not.
func (r *Records) Isolated(now time.Time, fingerprint uint64) time.Duration {
	rec := r.by[fingerprint]
	if rec == nil {
		return 0
	}
	return max(rec.until.Sub(now), 0)
}

// Verify compares crashes with the endpoints that the platform lists, and clears those
// of endpoints that are still listed.
//
// A node that is cut off may be refused connections by endpoints that run on.
func (r *Records) Verify(now time.Time, listed func(endpoint uint32) bool) {
	for _, rec := range r.by {
		for endpoint, e := range rec.endpoints {
			if !e.due(now) {
				continue
			}
			e.verified = true
			if listed(endpoint) {
				e.cleared = now
				r.isolate(rec)
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

// Expire forgets requests whose latest crash is long ago.
func (r *Records) Expire(now time.Time) {
	for fingerprint, rec := range r.by {
		if now.Sub(later(rec.last, rec.until)) > recordTTL {
			delete(r.by, fingerprint)
		}
	}
}

// Recent returns what this node has learned after since, and at least within the
// repeat time: the crashes of the most suspected requests first.
func (r *Records) Recent(now, since time.Time) News {
	if repeated := now.Add(-repeatTime); repeated.Before(since) {
		since = repeated
	}
	if r.changed.Before(since) {
		return News{}
	}
	var crashes, cleared []ranked
	for fingerprint, rec := range r.by {
		n := rec.crashes()
		for endpoint, e := range rec.endpoints {
			k := ranked{report: Report{Fingerprint: fingerprint, Endpoint: endpoint, Age: e.age(now)}, crashes: n, learned: e.learned}
			switch {
			case e.toldCleared && !e.cleared.Before(since):
				cleared = append(cleared, k)
			case e.cleared.IsZero() && !e.learned.Before(since) && (e.own || n >= suspected):
				crashes = append(crashes, k)
			}
		}
	}
	return News{Crashes: first(crashes, maxRecent), Cleared: first(cleared, maxRecent)}
}

// Known returns the crashes of suspected requests, for nodes that may have missed
// them: the most suspected first.
func (r *Records) Known(now time.Time) News {
	var list []ranked
	for fingerprint, rec := range r.by {
		n := rec.crashes()
		if n < suspected {
			continue
		}
		for endpoint, e := range rec.endpoints {
			if e.cleared.IsZero() {
				list = append(list, ranked{report: Report{Fingerprint: fingerprint, Endpoint: endpoint, Age: e.age(now)}, crashes: n, learned: e.learned})
			}
		}
	}
	return News{Crashes: first(list, maxKnown)}
}

// List returns the crashes of all isolated requests, by request.
func (r *Records) List(now time.Time) map[uint64]int {
	list := map[uint64]int{}
	for fingerprint, rec := range r.by {
		if rec.until.After(now) {
			list[fingerprint] = rec.crashes()
		}
	}
	return list
}

// record returns the record of a request, which may be new.
func (r *Records) record(now time.Time, fingerprint uint64) *record {
	rec := r.by[fingerprint]
	if rec == nil {
		r.evict(now)
		rec = &record{endpoints: map[uint32]*entry{}}
		r.by[fingerprint] = rec
	}
	return rec
}

// evict makes room in a full table: it drops the least suspected requests, and of
// those the ones whose latest crash is longest ago.
func (r *Records) evict(now time.Time) {
	if len(r.by) < maxRecords {
		return
	}
	r.Expire(now)
	list := make([]ranked, 0, len(r.by))
	for fingerprint, rec := range r.by {
		list = append(list, ranked{report: Report{Fingerprint: fingerprint}, crashes: rec.crashes(), learned: rec.last})
	}
	slices.SortFunc(list, compareRanked)
	for _, k := range list[min(len(list), int((1-evictShare)*maxRecords)):] {
		delete(r.by, k.report.Fingerprint)
	}
}

// Crashes returns the number of a request's crashes that were not cleared.
func (r *Records) Crashes(fingerprint uint64) int {
	if rec := r.by[fingerprint]; rec != nil {
		return rec.crashes()
	}
	return 0
}

// crashes returns the number of crashes that were not cleared.
func (r *record) crashes() int {
	n := 0
	for _, e := range r.endpoints {
		if e.cleared.IsZero() {
			n++
		}
	}
	return n
}

// hasRoom reports whether there is room for another endpoint, after the one that was
// cleared first has made room for it.
func (r *record) hasRoom() bool {
	if len(r.endpoints) < maxEndpoints {
		return true
	}
	var oldest uint32
	var found *entry
	for endpoint, e := range r.endpoints {
		if !e.cleared.IsZero() && (found == nil || e.cleared.Before(found.cleared)) {
			oldest, found = endpoint, e
		}
	}
	if found != nil {
		delete(r.endpoints, oldest)
	}
	return found != nil
}

// age returns how long ago the endpoint ended, by a clock that may have been read
// before that.
func (e *entry) age(now time.Time) time.Duration { return max(now.Sub(e.at), 0) }

func (e *entry) due(now time.Time) bool {
	return !e.verified && e.cleared.IsZero() && now.Sub(e.learned) >= verifyAfter
}

// first returns up to most reports: of the most suspected requests first, then the
// newest.
func first(list []ranked, most int) []Report {
	slices.SortFunc(list, compareRanked)
	var reports []Report
	for _, k := range list[:min(len(list), most)] {
		reports = append(reports, k.report)
	}
	return reports
}

func compareRanked(a, b ranked) int {
	return cmp.Or(
		b.crashes-a.crashes, b.learned.Compare(a.learned),
		cmp.Compare(a.report.Fingerprint, b.report.Fingerprint), cmp.Compare(a.report.Endpoint, b.report.Endpoint),
	)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
